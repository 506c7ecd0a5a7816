"""Stand-ins for the scripts of the third review: the platform, the operator, servers and clients of a small deployment.

They speak what PROTOCOL.md says and run in one asyncio event loop. The daemons are separate processes, started with the
commands of deploy/system.toml and settings made from its templates. All addresses are loopback addresses.
"""

import asyncio
import hashlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEADER = struct.Struct("!IHHIIIIIHBB")  # src, dport, sport, dst, echo, sum, seq, ack, len, flags, pad
SYN, ACK, FIN, RST = 4, 64, 8, 32
DATAGRAM_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, METRICS_PORT = 18172, 18167, 18166, 18080, 9100
INTERNAL_PORTS = [17720, 17735]
RESET_WINDOW = 76800
HEARTBEAT_S = 1.2
# Times of a client's transmissions of its opening packet, and when it gives up.
SYN_TIMES_S, SYN_LIMIT_S = (0.0, 0.2, 0.6), 1.4
PUBLIC_HOST = "198.18.0.1"  # Only a value in packets and routes; nothing is sent to it.
BOUNDS = {"WarmupMultiplier": 1.5, "WarmupSlack": 5, "StableWindowMs": 4000, "FlowMs": 2000, "DrainMs": 3000,
          "EvacuateMs": 5000, "ConfigApplyMs": 3000, "GraceS": 6}


def to_number(address):
    return int.from_bytes(socket.inet_aton(address), "big")


def to_address(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def checksum(fields, body):
    src, dport, sport, dst, seq, ack, length, flags = fields
    text = struct.pack("!IHHIIIHB", src, dport, sport, dst, seq, ack, length, flags) + body
    return zlib.crc32(text) | 1  # Never 0, which is the sum of the system's own resets.


def make_packet(src, sport, dst, dport, echo, seq, ack, flags, body=b""):
    total = checksum((src, dport, sport, dst, seq, ack, len(body), flags), body)
    return HEADER.pack(src, dport, sport, dst, echo, total, seq, ack, len(body), flags, 0) + body


def render(text, fields):
    """Fills a settings template in, as far as the templates of this repository need it (DEPLOY.md)."""
    def lookup(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if lookup(m[1]) else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}",
                  lambda m: json.dumps(lookup(m[1])) if m[2] else str(lookup(m[1])), text)


class Daemon:
    """One process of the system on a machine of its own, which is a loopback address."""

    def __init__(self, world, role, address, zone):
        self.world, self.role, self.address, self.zone = world, role, address, zone
        self.folder = world.folder / address
        self.folder.mkdir()
        self.process, self.bootstrap = None, True

    def start(self):
        is_control = self.role == "control"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][self.role]
        fields = {"Ip": self.address, "Zone": self.zone, "Seeds": [f"{h}:{CONTROL_PORT}" for h in self.world.control[:3]],
                  "InternalPortRange": INTERNAL_PORTS, "Bootstrap": self.bootstrap, "HeartbeatMs": int(HEARTBEAT_S * 1000),
                  "DataDir": str(self.folder / "data"), "Bounds": BOUNDS, "Limits": {"LinkMbps": 1000.0},
                  "FaultTolerance": {"Machines": 1},
                  "Listen": {"DatagramAddr": f"{self.address}:{DATAGRAM_PORT}",
                             "ReadinessAddr": f"{self.address}:{READY_PORT}", "Control": f"{self.address}:{CONTROL_PORT}"}}
        settings = self.folder / "settings.conf"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        command = [word if word != "/etc/fighatch/settings.conf" else str(settings) for word in deploy["run"].split()]
        with open(self.folder / "log", "a") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.bootstrap = False
        self.world.note("start", role=self.role, machine=self.address, first=is_control and fields["Bootstrap"])

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.note("signal", machine=self.address, signal=signal.Signals(number).name)

    async def wait_end(self, limit_s=BOUNDS["GraceS"]):
        """Waits for the end after a SIGTERM; kills the process after the grace time."""
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait()

    def log_text(self):
        return (self.folder / "log").read_text(errors="replace")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Server(asyncio.DatagramProtocol):
    """A server. It answers each request after `work_s`, holds its flows until it ends, and announces itself."""

    def __init__(self, world, service, address, zone, identity=None, work_s=0.01, keep=False):
        self.world, self.service, self.address, self.zone = world, service, address, zone
        self.identity = identity or f"i-{world.random.getrandbits(32):08x}"
        self.number = int(self.identity[2:], 16)
        self.work_s, self.keep, self.slots = work_s, keep, asyncio.Semaphore(2)
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.cold_until, self.cold_known_at = 0.0, 0.0
        self.acknowledged = 0  # The highest Seq that was acknowledged.
        self.alive, self.flows, self.opened, self.runs, self.foreign = True, {}, [], [], 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _peer):
        if not self.alive or len(data) < 8 + HEADER.size:
            return
        wanted, packet = int.from_bytes(data[:8], "big"), data[8:]
        src, dport, sport, dst, echo, total, seq, ack, length, flags, _pad = HEADER.unpack(packet[:HEADER.size])
        body = packet[HEADER.size:]
        if wanted not in (0, self.number):
            return
        if total != checksum((src, dport, sport, dst, seq, ack, length, flags), body):
            self.world.violate("UNASKED", f"{self.identity} got a packet that its sender did not write so")
            return
        key = (src, sport, dst, dport)
        now = time.monotonic()
        if flags & SYN:
            flow = self.flows.get(key)
            if flow is None:
                flow = self.flows[key] = {"seq": self.world.random.getrandbits(32), "open": False, "next": seq + 1, "echo": echo,
                                          "sent": 1, "answers": {}}
                self.opened.append((now, key))
                self.world.server_took(self, key, now)
            flow["echo"] = echo
            self.send(key, flow, SYN | ACK, flow["seq"], seq + 1)
            return
        flow = self.flows.get(key)
        if flow is None or (not flow["open"] and ack != (flow["seq"] + 1) & 0xffffffff):
            self.foreign += 1
            self.world.note("foreign_packet", server=self.identity, service=self.service, client=to_address(src), port=sport)
            self.send(key, {"echo": echo}, RST, ack, 0)
            return
        flow["echo"] = echo
        if not flow["open"]:
            flow["open"] = True
            self.world.flow_opened(self, key)
        if flags & (FIN | RST):
            del self.flows[key]
            if flags & FIN:
                self.send(key, flow, ACK, ack, seq + 1)
            return
        if length:
            if seq in flow["answers"]:
                if flow["answers"][seq]:
                    self.respond(key, flow, seq, length)
                return
            flow["answers"][seq] = None
            asyncio.ensure_future(self.run(key, flow, seq, body))

    async def run(self, key, flow, seq, body):
        request = body.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
        async with self.slots:
            self.runs.append((time.monotonic(), request))
            self.world.note("run", server=self.identity, request=request)
            await asyncio.sleep(self.work_s)
        if not self.alive or key not in self.flows:
            return
        text = f"{self.identity} {request}"
        flow["answers"][seq] = (f"HTTP/1.1 200 OK\r\nServer-Signature: {self.identity}\r\nContent-Length: {len(text)}\r\n\r\n"
                                f"{text}").encode()
        self.respond(key, flow, seq, len(body))

    def respond(self, key, flow, seq, length):
        # A draining server closes the flow after its next answer.
        closing = not self.keep or self.state == "draining"
        self.send(key, flow, ACK | (FIN if closing else 0), flow["seq"] + flow["sent"], seq + length, flow["answers"][seq])

    def send(self, key, flow, flags, seq, ack, body=b""):
        src, sport, dst, dport = key
        packet = make_packet(dst, dport, src, sport, flow["echo"], seq & 0xffffffff, ack & 0xffffffff, flags, body)
        self.transport.sendto(packet, (to_address(src), DATAGRAM_PORT))

    def warmup_left_ms(self):
        return max(0.0, self.cold_until - time.monotonic()) * 1000

    def beat_body(self, **changes):
        self.sequence += 1
        body = {"Service": self.service, "Address": f"{self.address}:{SERVER_PORT}", "Zone": self.zone, "Version": "v1",
                "Capacity": 2, "State": self.state, "WarmupLeftMs": round(self.warmup_left_ms()), "Seq": self.sequence,
                "born": self.born}
        body.update(changes)
        return body

    async def beat(self):
        """One call, repeated at the next daemon until one of them acknowledges it; returns the time of that."""
        body = self.beat_body()
        for host in self.world.shuffled(self.world.control):
            status, _ = await self.world.call(host, "PUT", f"/instances/{self.identity}", body)
            if status == 200:
                self.acknowledged = max(self.acknowledged, body["Seq"])
                self.world.note("beat", server=self.identity, at=host, state=body["State"], seq=body["Seq"],
                                warmup_left_ms=body["WarmupLeftMs"])
                return time.monotonic()
        return None

    async def announce(self):
        while self.alive:
            started = time.monotonic()
            await self.beat()
            await asyncio.sleep(max(0.0, started + HEARTBEAT_S - time.monotonic()))


class Client(asyncio.DatagramProtocol):
    """The clients of one zone at one address. Each flow has a port of its own."""

    def __init__(self, world, address, zone):
        self.world, self.address, self.zone, self.flows = world, address, zone, {}
        self.next_port = 20000

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _peer):
        fields = HEADER.unpack(data[:HEADER.size])
        flow = self.flows.get(fields[1])
        if flow is not None and flow.dport == fields[2]:
            flow.receive(fields, data[HEADER.size:])

    async def open_flow(self, dport):
        """Opens a flow; returns it with `state` "open", or "refused" or "unanswered" if the attempt has ended."""
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port, dport)
        await flow.open()
        return flow


class Flow:
    """One flow of a client. A request is one packet."""

    def __init__(self, client, sport, dport):
        self.client, self.world, self.sport, self.dport = client, client.world, sport, dport
        self.seq, self.ack, self.echo = client.world.random.getrandbits(32), 0, 0
        self.state, self.changed, self.answer, self.reset_by = "opening", asyncio.Event(), None, None
        self.key = (to_number(client.address), sport, to_number(PUBLIC_HOST), dport)
        self.first_sent = None

    def send(self, flags, ack, body=b""):
        packet = make_packet(self.key[0], self.sport, self.key[2], self.dport, self.echo, self.seq & 0xffffffff,
                             ack & 0xffffffff, flags, body)
        balancer = self.world.route(self.client.zone, self.key)
        if balancer:
            self.client.transport.sendto(packet, (balancer, DATAGRAM_PORT))

    def receive(self, fields, body):
        _src, _dport, _sport, _dst, echo, total, seq, _ack, _length, flags, _pad = fields
        if self.state in ("refused", "unanswered", "reset", "closed"):
            return
        if flags & RST:
            if self.state == "opening":
                self.end("refused")
            elif total != 0 or min((seq - self.ack) & 0xffffffff, (self.ack - seq) & 0xffffffff) <= RESET_WINDOW:
                self.reset_by = "system" if total == 0 else "server"
                self.world.note("reset", port=self.sport, by=self.reset_by)
                self.end("reset")
            return
        if self.state == "opening":
            if flags & SYN and flags & ACK:
                self.seq, self.ack, self.echo = self.seq + 1, (seq + 1) & 0xffffffff, echo
                self.end("open")
                self.send(ACK, self.ack)
            return
        if flags & SYN or seq != self.ack:
            return  # A second answer to the opening packet, or a repeated packet.
        self.echo = echo
        if body:
            self.answer = body.decode()
            self.ack = (self.ack + len(body)) & 0xffffffff if flags & FIN else self.ack
        if flags & FIN:
            self.send(FIN | ACK, self.ack + 1)
            self.end("closed")
        self.changed.set()

    def end(self, state):
        self.state = state
        self.changed.set()

    async def wait(self, limit_s):
        try:
            await asyncio.wait_for(self.changed.wait(), max(limit_s, 0.001))
        except asyncio.TimeoutError:
            pass
        self.changed.clear()

    async def open(self):
        started = self.first_sent = time.monotonic()
        for copy, sent_at in enumerate(SYN_TIMES_S):
            self.send(SYN, copy)
            until = SYN_TIMES_S[copy + 1] if copy + 1 < len(SYN_TIMES_S) else SYN_LIMIT_S
            await self.wait(started + until - time.monotonic())
            if self.state != "opening":
                break
        if self.state == "opening":
            self.end("unanswered")
            self.changed.clear()

    async def request(self, deadline_s):
        """Sends a request on the open flow; returns the answer, or none. Sends the packet again while it is not answered."""
        request = f"r{self.world.next_request()}"
        body = f"POST /entry HTTP/1.1\r\nRequest-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode()
        self.world.note("send", request=request, port=self.sport)
        end, pause, self.answer = time.monotonic() + deadline_s, 0.2, None
        while self.answer is None and self.state == "open" and time.monotonic() < end:
            self.send(ACK, self.ack, body)
            await self.wait(min(pause, end - time.monotonic()))
            pause = min(pause * 2, 1.6)
        self.seq += len(body)
        self.world.note("answered" if self.answer else "unanswered", request=request, state=self.state)
        return self.answer


class World:
    """A small deployment with everything around it."""

    def __init__(self, folder, zones, controls, balancers):
        self.case = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random()
        self.started = time.monotonic()
        self.record = open(folder / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fighatch-review-"))
        self.network = self.free_network()
        self.zones = zones
        self.control, self.daemons, self.servers, self.clients, self.tasks = [], [], [], [], []
        self.rotation, self.violations, self.requests, self.failures = {}, [], 0, []
        addresses = [f"127.{self.network}.1.{n + 1}" for n in range(controls)]
        self.control = addresses
        self.control_daemons = [Daemon(self, "control", a, zones[n % len(zones)]) for n, a in enumerate(addresses)]
        self.balancer_daemons = [Daemon(self, "balancer", f"127.{self.network}.2.{n + 1}", zones[n % len(zones)])
                                 for n in range(balancers)]
        self.daemons = self.control_daemons + self.balancer_daemons

    def free_network(self):
        """A second byte of loopback addresses at which the ports are free."""
        for network in self.random.sample(range(40, 250), 50):
            try:
                for port in (DATAGRAM_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, METRICS_PORT, *INTERNAL_PORTS):
                    with socket.socket() as probe:
                        probe.bind((f"127.{network}.1.1", port))
                return network
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    def note(self, event, **fields):
        if self.record.closed:
            return
        self.record.write(json.dumps({"s": round(time.monotonic() - self.started, 3), "event": event, **fields}) + "\n")

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.note("violation", rule=rule, text=text)

    def shuffled(self, hosts):
        return self.random.sample(hosts, len(hosts))

    def next_request(self):
        self.requests += 1
        return self.requests

    def server_took(self, server, key, now):
        pass

    def flow_opened(self, server, key):
        pass

    def route(self, zone, key):
        """Steady hashing over the balancers of the zone that are in rotation; of the other zones if none is."""
        own = [d.address for d in self.balancer_daemons if d.zone == zone]
        ready = [a for a in own if self.rotation.get(a, True)]
        usable = ready if len(ready) * 2 >= len(own) else own
        if not ready:
            usable = [d.address for d in self.balancer_daemons if self.rotation.get(d.address, True)] or own
        return max(usable, key=lambda a: hashlib.blake2b(f"{key} {a}".encode(), digest_size=8).digest())

    async def probe(self):
        """GET /ready twice per second; two misses take a balancer out of rotation."""
        misses = {}

        async def probe_one(daemon):
            status, _ = await self.call(daemon.address, "GET", "/ready", port=READY_PORT, limit_s=0.45)
            misses[daemon.address] = 0 if status == 200 else misses.get(daemon.address, 0) + 1
            self.rotation[daemon.address] = misses[daemon.address] < 2
        while True:
            started = time.monotonic()
            await asyncio.gather(*(probe_one(d) for d in self.balancer_daemons))
            await asyncio.sleep(max(0.0, started + 0.5 - time.monotonic()))

    async def call(self, host, method, path, body=None, redirects=2, port=CONTROL_PORT, limit_s=1.0):
        """An HTTP call; returns (status, text), with status 0 if there was no answer within the limit."""
        def exchange():
            connection = http.client.HTTPConnection(host, port, timeout=limit_s)
            try:
                text = None if body is None else body if isinstance(body, str) else json.dumps(body)
                connection.request(method, path, text, {"Content-Type": "application/json"})
                response = connection.getresponse()
                return response.status, response.read().decode(), response.getheader("Location")
            except (OSError, http.client.HTTPException):
                return 0, "", None
            finally:
                connection.close()
        status, text, location = await asyncio.get_running_loop().run_in_executor(self.pool, exchange)
        if status == 307 and redirects:
            return await self.call(location.split("/")[2].split(":")[0], method, path, body, redirects - 1)
        return status, text

    async def order(self, method, path, body=None, limit_s=10.0):
        """An order of the operator, sent again until it is acknowledged; returns the time of that."""
        end, pause = time.monotonic() + limit_s, 0.1
        while time.monotonic() < end:
            for host in self.shuffled(self.control):
                status, _ = await self.call(host, method, path, body)
                if status == 200:
                    self.note("order_acknowledged", order=f"{method} {path}", at=host,
                              version=body.get("Version") if isinstance(body, dict) else None)
                    return time.monotonic()
                if status in (400, 409, 412, 413, 422):
                    raise RuntimeError(f"{method} {path} is refused with {status}")
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.0)
        raise RuntimeError(f"{method} {path} is not acknowledged")

    async def add_server(self, *arguments, announce=True, **options):
        server = Server(self, *arguments, **options)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: server,
                                                                  local_addr=(server.address, SERVER_PORT))
        self.servers.append(server)
        self.note("server", id=server.identity, service=server.service, address=server.address, zone=server.zone)
        if announce:
            self.tasks.append(asyncio.ensure_future(server.announce()))
        return server

    async def add_client(self, address, zone):
        client = Client(self, address, zone)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: client, local_addr=(address, DATAGRAM_PORT))
        self.clients.append(client)
        return client

    async def start(self, config, servers=()):
        """Starts the daemons, has the first configuration accepted, and waits until all balancers are ready."""
        for daemon in self.daemons:
            daemon.start()
        self.tasks.append(asyncio.ensure_future(self.probe()))
        for make in servers:
            await make()
        await self.order("PUT", "/config", config, limit_s=20.0)
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            states = [await self.call(d.address, "GET", "/ready", port=READY_PORT) for d in self.balancer_daemons]
            if all(status == 200 for status, _ in states):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the balancers are not ready")

    def close(self):
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.alive = False
        for endpoint in self.servers + self.clients:
            endpoint.transport.close()
        for daemon in self.daemons:
            daemon.end()
        self.note("end", violations=len(self.violations))
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class ColdWorld(World):
    """A deployment with a limit for cold servers, which counts what a cold server gets."""

    def __init__(self, folder, zones, controls, balancers, cold_per_s):
        super().__init__(folder, zones, controls, balancers)
        self.limit = cold_per_s * BOUNDS["WarmupMultiplier"] + BOUNDS["WarmupSlack"]
        self.sent_at, self.cold_arrivals, self.outcomes = {}, {}, {}

    def server_took(self, server, key, now):
        cold = now < server.cold_until
        self.note("taken", server=server.identity, port=key[1], cold=cold)
        if not cold or now < server.cold_known_at or key not in self.sent_at:
            return
        arrivals = self.cold_arrivals.setdefault(server.identity, [])
        arrivals.append((self.sent_at[key], now))

    def judge_cold(self, server):
        """Checks FAILBACK for a server; returns the most requests that it got in one second while it was cold."""
        most = most_in_a_second(self.cold_arrivals.get(server.identity, []))
        if most > self.limit:
            self.violate("FAILBACK", f"{server.identity} got {most} requests in one second while it was cold, the limit is "
                                     f"{self.limit:g}")
        return most

    async def call_once(self, client, dport):
        """One request on a flow of its own."""
        client.next_port += 1
        flow = client.flows[client.next_port] = Flow(client, client.next_port, dport)
        self.sent_at[flow.key] = time.monotonic()
        await flow.open()
        if flow.state == "open":
            await flow.request(2.0)
        outcome = "served" if flow.answer else "lost" if flow.state in ("open", "reset") else flow.state
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        del client.flows[flow.sport]

    async def keep_calling(self, client, dport, per_s):
        """Clients that come at random times."""
        while True:
            await asyncio.sleep(self.random.expovariate(per_s))
            asyncio.ensure_future(self.call_once(client, dport))


def most_in_a_second(arrivals):
    """The most requests that were sent and arrived inside one second."""
    return max((sum(1 for sent, arrived in arrivals if sent >= start and arrived <= start + 1.0)
                for start, _ in arrivals), default=0)


def run(case, make_world, play, limit_s=115.0):
    """Plays a case; returns the exit code: 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    from concurrent.futures import ThreadPoolExecutor

    async def main():
        # A stop from outside ends the daemons as well.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = make_world()
        world.pool = ThreadPoolExecutor(64)
        try:
            await asyncio.wait_for(play(world), limit_s)
        finally:
            world.close()
        return world
    try:
        world = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print(f"{case}: could not run: {type(error).__name__} {error}")
        return 2
    for rule, text in world.violations[:5]:
        print(f"{case}: {rule}: {text}")
    print(f"{case}: {'broken' if world.violations else 'held'}")
    return 1 if world.violations else 0
