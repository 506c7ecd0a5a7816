"""Callers, targets and an operator for the fault soak, and the promises that they check from outside.

All of it runs in one asyncio loop. Packets have the format of platform/packet_format.h.
"""

import asyncio
import http.client
import json
import random
import struct
import time

HEAD = struct.Struct("!IHHIIIIIHBB")
OPEN, ACK, FIN, RST = 4, 64, 8, 32
PACKET_PORT, READY_PORT, HTTP_PORT, CONTROL_PORT, BALANCER_PORT = 18172, 18167, 18166, 17720, 17721
DRAIN_LIMIT_S = 3.0
STABLE_S = 4.0


def number_of(address):
    a, b, c, d = (int(part) for part in address.split("."))
    return a << 24 | b << 16 | c << 8 | d


def text_of(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


class Violations:
    """What broke a promise; `calm` tells whether rules with a time bound are in force."""

    def __init__(self):
        self.found = []
        self.last_fault = time.monotonic()

    def add(self, text):
        self.found.append(f"{time.monotonic():.3f} {text}")

    def note_fault(self):
        self.last_fault = time.monotonic()

    def calm_for(self):
        return time.monotonic() - self.last_fault


class Target(asyncio.DatagramProtocol):
    """A target of one service: answers opening packets, and each data packet with as much data."""

    def __init__(self, world, number, service, address):
        self.world, self.service, self.address = world, service, address
        self.ident = f"i-{random.getrandbits(32):08x}"
        self.number = int(self.ident[2:], 16)
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.drain_acked, self.alive = 0, "ready", None, True
        self.flows, self.index = {}, number

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _source):
        if not self.alive or len(data) < 8 + HEAD.size:
            return
        meant = int.from_bytes(data[:8], "big")
        src, dport, sport, dst, echo, _sum, seq, ack, length, flags, _pad = HEAD.unpack(data[8:8 + HEAD.size])
        if meant != self.number:
            return  # Meant for an earlier target at this address.
        key = (src, sport, dst, dport)
        service = self.world.service_of_route.get(dport)
        if flags & OPEN:
            if service not in (None, self.service):
                self.world.violations.add(f"flow for {service} reaches {self.service}")
            late = self.drain_acked and time.monotonic() - self.drain_acked > DRAIN_LIMIT_S
            if late and self.world.violations.calm_for() > STABLE_S + DRAIN_LIMIT_S:
                self.world.violations.add(f"new flow {time.monotonic() - self.drain_acked:.1f} s after a drain")
            self.flows[key] = echo
            self.send(key, OPEN | ACK, echo, b"")
        elif key not in self.flows:
            self.world.foreign_packets += 1
            self.send(key, RST, echo, b"")
        elif flags & (FIN | RST):
            del self.flows[key]
            self.send(key, FIN | ACK, echo, b"")
        elif length:
            self.send(key, ACK, echo, data[8 + HEAD.size:])

    def send(self, key, flags, echo, body):
        src, sport, dst, dport = key
        head = HEAD.pack(dst, sport, dport, src, echo, self.number, 1, 1, len(body), flags, 0)
        self.transport.sendto(head + body, (text_of(src), PACKET_PORT))

    async def announce(self):
        """Calls one control host after another until one acknowledges."""
        while self.alive:
            self.sequence += 1
            body = json.dumps({"Service": self.service, "Address": f"{self.address}:8080", "Zone": "a", "Version": "v1",
                               "Capacity": 2, "State": self.state, "WarmupLeftMs": 0, "Seq": self.sequence,
                               "born": self.born})
            state = self.state
            for host in random.sample(self.world.controls, len(self.world.controls)):
                status, _ = await self.world.call(host, "PUT", f"/instances/{self.ident}", body)
                if status == 200:
                    if state == "draining" and self.drain_acked is None:
                        self.drain_acked = time.monotonic()
                    break
            await asyncio.sleep(0.8)


class Caller(asyncio.DatagramProtocol):
    """Opens flows through any balancer and keeps them open for some seconds with a packet now and then."""

    def __init__(self, world, address):
        self.world, self.address, self.waiting = world, address, {}
        self.next_port = 1024

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _source):
        fields = HEAD.unpack(data[:HEAD.size])
        queue = self.waiting.get(fields[1])
        if queue:
            queue.put_nowait((fields[9], fields[4], fields[5]))

    def send(self, port, route, flags, echo, ack=0, body=b""):
        if random.random() < self.world.packet_loss:
            return
        head = HEAD.pack(number_of(self.address), route, port, number_of(self.world.public), echo, 7, 1, ack, len(body),
                         flags, 0)
        self.transport.sendto(head + body, (random.choice(self.world.balancers), PACKET_PORT))

    async def flow(self):
        self.next_port = self.next_port % 60000 + 1024
        port, route = self.next_port, random.choice(list(self.world.service_of_route))
        queue = self.waiting[port] = asyncio.Queue()
        try:
            echo = await self.open(port, route, queue)
            self.world.note_open(echo is not None)
            if echo is not None:
                await self.talk(port, route, queue, echo)
        finally:
            del self.waiting[port]

    async def open(self, port, route, queue):
        for copy, wait in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.send(port, route, OPEN, 0, copy)
            try:
                flags, echo, _sender = await asyncio.wait_for(queue.get(), wait)
            except asyncio.TimeoutError:
                continue
            return echo if flags & OPEN else None
        return None

    async def talk(self, port, route, queue, echo):
        target = self.world.target_with(echo)
        end = time.monotonic() + random.uniform(0.5, 5)
        silent_since = time.monotonic()
        self.send(port, route, ACK, echo, 1)
        while time.monotonic() < end:
            self.send(port, route, ACK, echo, 1, b"x" * random.randrange(1, 200))
            try:
                flags, _echo, sender = await asyncio.wait_for(queue.get(), 0.3)
            except asyncio.TimeoutError:
                continue
            silent_since = time.monotonic()
            if flags & RST:
                # The sender's sum names the target; a balancer's reset has 0.
                if target and target.alive and sender == 0:
                    self.world.violations.add(f"open flow at living {target.ident} is reset by a balancer")
                return
            await asyncio.sleep(0.1)
        if target and target.alive and time.monotonic() - silent_since > 2.5 and self.world.violations.calm_for() > STABLE_S:
            self.world.violations.add(f"open flow at living {target.ident} is silent for over 2.5 s in a calm time")
        self.send(port, route, FIN | ACK, echo, 1)


class World:
    """Everything outside the system."""

    def __init__(self, seed, network, controls, balancers):
        random.seed(seed)
        self.network = network
        self.controls, self.balancers = controls, balancers
        self.public, self.violations = "198.18.0.1", Violations()
        self.service_of_route = {443: "desk", 8443: "vault"}
        self.targets, self.callers, self.tasks = [], [], []
        self.packet_loss, self.foreign_packets = 0.0, 0
        self.opened = self.refused = self.recent_opened = self.recent_refused = 0
        self.version, self.sent, self.acked = 0, {}, 0
        self.operator_mode = "pass"
        self.closed = False

    def close(self):
        """Ends targets and callers, so that another run may use their addresses."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for end in self.targets + self.callers:
            end.transport.close()

    def note_open(self, opened):
        self.opened += opened
        self.refused += not opened
        self.recent_opened += opened
        self.recent_refused += not opened

    def target_with(self, echo):
        return next((target for target in self.targets if target.number == echo), None)

    async def call(self, host, method, path, body=None, redirects=2):
        """Returns (status, body); status 0 stands for no answer. Follows redirects to a leader."""
        def exchange():
            connection = http.client.HTTPConnection(host, HTTP_PORT, timeout=1.0)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                return response.status, response.read().decode(), response.getheader("Location")
            except (OSError, http.client.HTTPException):
                return 0, "", None
            finally:
                connection.close()

        status, text, location = await asyncio.get_running_loop().run_in_executor(None, exchange)
        if status == 307 and redirects:
            return await self.call(location.split("/")[2].split(":")[0], method, path, body, redirects - 1)
        return status, text

    async def add_target(self, service):
        address = f"127.{self.network}.3.{len(self.targets) + 1}"
        target = Target(self, len(self.targets), service, address)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: target, local_addr=(address, 8080))
        self.targets.append(target)
        self.tasks.append(asyncio.create_task(target.announce()))

    async def add_caller(self, number, flows):
        address = f"127.{self.network}.4.{number}"
        caller = Caller(self, address)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: caller, local_addr=(address, PACKET_PORT))
        self.callers.append(caller)
        for _ in range(flows):
            self.tasks.append(asyncio.create_task(self.keep_calling(caller)))

    async def keep_calling(self, caller):
        # A cancellation that meets the end of a wait is lost in it, so that the flag ends the task as well.
        while not self.closed:
            await caller.flow()
            await asyncio.sleep(random.uniform(0.01, 0.3))

    def document(self, version):
        routes = [{"Name": f"r{port}", "Host": self.public, "PathPrefix": f"/{port}/", "Type": "safe",
                   "TimeoutMs": 1000 + version, "Service": service} for port, service in self.service_of_route.items()]
        services = [{"Name": name, "ColdPerS": 0.0} for name in ("desk", "vault")]
        return json.dumps({"Version": version, "Routes": routes, "Services": services})

    async def operate(self):
        """Sends documents in uneven steps, again until they are acknowledged, and reads them back from any host."""
        while True:
            self.version += random.randrange(1, 4)
            version = self.version
            self.sent[version] = self.document(version)
            for _attempt in range(60):
                status, _ = await self.call(random.choice(self.controls), "PUT", "/config", self.sent[version])
                if status == 200:
                    self.acked = max(self.acked, version)
                    break
                if 400 <= status < 500:
                    self.violations.add(f"valid version {version} is refused with {status}")
                    break
                await asyncio.sleep(0.1)
            await self.read_back(random.choice(self.controls))
            await asyncio.sleep(random.uniform(0.05, 1.0))

    async def read_back(self, host):
        floor = self.acked
        status, text = await self.call(host, "GET", "/config")
        if status != 200:
            return False
        version = json.loads(text)["Version"]
        if version < floor:
            self.violations.add(f"{host} shows version {version} after {floor} was acknowledged")
        if text != self.sent.get(version):
            self.violations.add(f"{host} shows other content under version {version}")
        return True
