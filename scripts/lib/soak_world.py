"""Simulated callers, targets and operator of scripts/soak, which check the guarantees of the system from outside.

All of them run in one asyncio event loop. Packets have the format of platform/packet_format.h.
"""

import asyncio
import http.client
import json
import random
import struct
import time

HEADER = struct.Struct("!IHHIIIIIHBB")
OPEN, ACK, FIN, RST = 4, 64, 8, 32
PACKET_PORT, READY_PORT, HTTP_PORT, CONTROL_PORT, BALANCER_PORT = 18172, 18167, 18166, 17720, 17721
# No new flow may reach a target this long after its drain was acknowledged.
DRAIN_LIMIT_S = 3.0
# Rules with a time limit apply only if no fault has happened for at least this long.
SETTLE_S = 4.0
# Share of the documents that are large.
LARGE_DOCUMENT_SHARE = 0.15


def address_to_int(address):
    a, b, c, d = (int(part) for part in address.split("."))
    return a << 24 | b << 16 | c << 8 | d


def int_to_address(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


class Violations:
    """Violations found so far, and the time of the last fault, which tells whether rules with a time limit apply."""

    def __init__(self):
        self.messages = []
        self.last_fault = time.monotonic()

    def add(self, text):
        self.messages.append(f"{time.monotonic():.3f} {text}")

    def record_fault(self):
        self.last_fault = time.monotonic()

    def seconds_since_fault(self):
        return time.monotonic() - self.last_fault


class Target(asyncio.DatagramProtocol):
    """A simulated target of one service. It accepts new flows and echoes the data of each packet."""

    def __init__(self, environment, number, service, address):
        self.environment, self.service, self.address = environment, service, address
        self.instance_id = f"i-{random.getrandbits(32):08x}"
        self.number = int(self.instance_id[2:], 16)
        self.started_at_ms = int(time.time() * 1000)
        self.sequence, self.state, self.drain_acknowledged_at, self.alive = 0, "ready", None, True
        self.flows, self.index = {}, number

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _source):
        if not self.alive or len(data) < 8 + HEADER.size:
            return
        target_id = int.from_bytes(data[:8], "big")
        src, dport, sport, dst, cookie, _sum, seq, ack, length, flags, _pad = HEADER.unpack(data[8:8 + HEADER.size])
        if target_id != self.number:
            return  # Addressed to an earlier target at this address.
        key = (src, sport, dst, dport)
        service = self.environment.service_of_route.get(dport)
        if flags & OPEN:
            if service not in (None, self.service):
                self.environment.violations.add(f"flow for {service} reaches {self.service}")
            is_past_drain_limit = (self.drain_acknowledged_at
                                   and time.monotonic() - self.drain_acknowledged_at > DRAIN_LIMIT_S)
            if is_past_drain_limit and self.environment.violations.seconds_since_fault() > SETTLE_S + DRAIN_LIMIT_S:
                self.environment.violations.add(
                    f"new flow {time.monotonic() - self.drain_acknowledged_at:.1f} s after a drain")
            self.flows[key] = cookie
            self.send(key, OPEN | ACK, cookie, b"")
        elif key not in self.flows:
            self.environment.unknown_flow_packets += 1
            self.send(key, RST, cookie, b"")
        elif flags & (FIN | RST):
            del self.flows[key]
            self.send(key, FIN | ACK, cookie, b"")
        elif length:
            self.send(key, ACK, cookie, data[8 + HEADER.size:])

    def send(self, key, flags, cookie, body):
        src, sport, dst, dport = key
        header = HEADER.pack(dst, sport, dport, src, cookie, self.number, 1, 1, len(body), flags, 0)
        self.transport.sendto(header + body, (int_to_address(src), PACKET_PORT))

    async def announce(self):
        """Announces the target every 0.8 s, to one control host after another until one acknowledges."""
        while self.alive:
            self.sequence += 1
            body = json.dumps({"Service": self.service, "Address": f"{self.address}:8080", "Zone": "a", "Version": "v1",
                               "Capacity": 2, "State": self.state, "WarmupLeftMs": 0, "Seq": self.sequence,
                               "born": self.started_at_ms})
            state = self.state
            for host in random.sample(self.environment.control_hosts, len(self.environment.control_hosts)):
                status, _ = await self.environment.call(host, "PUT", f"/instances/{self.instance_id}", body)
                if status == 200:
                    if state == "draining" and self.drain_acknowledged_at is None:
                        self.drain_acknowledged_at = time.monotonic()
                    break
            await asyncio.sleep(0.8)


class Caller(asyncio.DatagramProtocol):
    """A simulated caller. It opens flows through random balancers and exchanges data on each for up to 5 s."""

    def __init__(self, environment, address):
        self.environment, self.address, self.reply_queues = environment, address, {}
        self.next_port = 1024

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _source):
        fields = HEADER.unpack(data[:HEADER.size])
        queue = self.reply_queues.get(fields[1])
        if queue:
            queue.put_nowait((fields[9], fields[4], fields[5]))

    def send(self, port, route, flags, cookie, ack=0, body=b""):
        if random.random() < self.environment.packet_loss:
            return
        header = HEADER.pack(address_to_int(self.address), route, port, address_to_int(self.environment.public), cookie,
                             7, 1, ack, len(body), flags, 0)
        self.transport.sendto(header + body, (random.choice(self.environment.balancers), PACKET_PORT))

    async def run_flow(self):
        self.next_port = self.next_port % 60000 + 1024
        port, route = self.next_port, random.choice(list(self.environment.service_of_route))
        queue = self.reply_queues[port] = asyncio.Queue()
        try:
            cookie = await self.open_flow(port, route, queue)
            self.environment.count_open_result(cookie is not None)
            if cookie is not None:
                await self.exchange_data(port, route, queue, cookie)
        finally:
            del self.reply_queues[port]

    async def open_flow(self, port, route, queue):
        for copy, wait in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.send(port, route, OPEN, 0, copy)
            try:
                flags, cookie, _sender = await asyncio.wait_for(queue.get(), wait)
            except asyncio.TimeoutError:
                continue
            return cookie if flags & OPEN else None
        return None

    async def exchange_data(self, port, route, queue, cookie):
        target = self.environment.target_by_cookie(cookie)
        end = time.monotonic() + random.uniform(0.5, 5)
        last_reply_at = time.monotonic()
        self.send(port, route, ACK, cookie, 1)
        while time.monotonic() < end:
            self.send(port, route, ACK, cookie, 1, b"x" * random.randrange(1, 200))
            try:
                flags, _cookie, sender = await asyncio.wait_for(queue.get(), 0.3)
            except asyncio.TimeoutError:
                continue
            last_reply_at = time.monotonic()
            if flags & RST:
                # A target puts its id into the sum field; in a reset from a balancer the field is 0.
                if target and target.alive and sender == 0:
                    self.environment.violations.add(
                        f"open flow at running target {target.instance_id} is reset by a balancer")
                return
            await asyncio.sleep(0.1)
        if (target and target.alive and time.monotonic() - last_reply_at > 2.5
                and self.environment.violations.seconds_since_fault() > SETTLE_S):
            self.environment.violations.add(
                f"open flow at running target {target.instance_id} got no answer for over 2.5 s without a recent fault")
        self.send(port, route, FIN | ACK, cookie, 1)


class Environment:
    """Everything outside the system under test: callers, targets, the operator and the network."""

    def __init__(self, seed, network, control_hosts, balancers):
        random.seed(seed)
        self.network = network
        self.control_hosts, self.balancers = control_hosts, balancers
        self.public, self.violations = "198.18.0.1", Violations()
        self.service_of_route = {443: "desk", 8443: "vault"}
        self.targets, self.callers, self.tasks = [], [], []
        self.packet_loss, self.unknown_flow_packets = 0.0, 0
        self.opened = self.not_opened = self.recent_opened = self.recent_not_opened = 0
        self.version, self.sent_documents, self.acknowledged_version = 0, {}, 0
        self.operator_mode = "pass"
        self.closed = False

    def close(self):
        """Stops targets and callers, so that another run can use their addresses."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for endpoint in self.targets + self.callers:
            endpoint.transport.close()

    def count_open_result(self, opened):
        self.opened += opened
        self.not_opened += not opened
        self.recent_opened += opened
        self.recent_not_opened += not opened

    def target_by_cookie(self, cookie):
        return next((target for target in self.targets if target.number == cookie), None)

    async def call(self, host, method, path, body=None, redirects=2):
        """Sends an HTTP request, following redirects to the leader; returns (status, body), status 0 for no answer."""
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
            self.tasks.append(asyncio.create_task(self.run_flows(caller)))

    async def run_flows(self, caller):
        # wait_for can swallow a cancellation that arrives just as the wait ends, so the flag ends the task as well.
        while not self.closed:
            await caller.run_flow()
            await asyncio.sleep(random.uniform(0.01, 0.3))

    def make_document(self, version):
        routes = [{"Name": f"r{port}", "Host": self.public, "PathPrefix": f"/{port}/", "Type": "safe",
                   "TimeoutMs": 1000 + version, "Service": service} for port, service in self.service_of_route.items()]
        # Some documents carry so many routes without traffic that their log entries exceed 256 KiB.
        idle_routes = random.randrange(3000, 9000) if random.random() < LARGE_DOCUMENT_SHARE else 0
        routes += [{"Name": f"idle{number}", "Host": f"198.18.{number >> 8}.{number & 255}", "PathPrefix": "/443/",
                    "Type": "safe", "TimeoutMs": 1000, "Service": "desk"} for number in range(256, 256 + idle_routes)]
        services = [{"Name": name, "ColdPerS": 0.0} for name in ("desk", "vault")]
        return json.dumps({"Version": version, "Routes": routes, "Services": services})

    async def run_operator(self):
        """Sends documents with increasing versions, retries each until it is acknowledged, and reads it back."""
        while True:
            self.version += random.randrange(1, 4)
            version = self.version
            self.sent_documents[version] = self.make_document(version)
            for _attempt in range(60):
                status, _ = await self.call(random.choice(self.control_hosts), "PUT", "/config",
                                            self.sent_documents[version])
                if status == 200:
                    self.acknowledged_version = max(self.acknowledged_version, version)
                    break
                if 400 <= status < 500:
                    self.violations.add(f"valid version {version} is refused with {status}")
                    break
                await asyncio.sleep(0.1)
            await self.check_document(random.choice(self.control_hosts))
            await asyncio.sleep(random.uniform(0.05, 1.0))

    async def check_document(self, host):
        """Checks the document on one control host; returns whether the host served one."""
        acknowledged_before = self.acknowledged_version
        status, text = await self.call(host, "GET", "/config")
        if status != 200:
            return False
        version = json.loads(text)["Version"]
        if version < acknowledged_before:
            self.violations.add(f"{host} shows version {version} after {acknowledged_before} was acknowledged")
        if text != self.sent_documents.get(version):
            self.violations.add(f"{host} shows other content under version {version}")
        return True
