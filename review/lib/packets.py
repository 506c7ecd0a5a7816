"""Stand-ins of servers and clients that exchange packets as the users' PROTOCOL.md describes, for the scripts of review/.

Each runs in threads of its own on loopback addresses. A server answers its clients directly, as in the form `echo`.
"""

import json
import os
import socket
import struct
import threading
import time

HEADER = struct.Struct("!IHHIIIIIHBB")
SYN, ACK, FIN, RST = 4, 64, 8, 32
ROUTE_ADDRESS = "127.198.18.1"
# Copies of an opening packet are sent this long after the first one; the attempt ends at the last time.
COPY_TIMES_S, OPEN_LIMIT_S = (0.2, 0.6), 1.4
RETRANSMIT_S = 0.2


def to_int(address):
    return int.from_bytes(socket.inet_aton(address), "big")


def to_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """A packet with the header that PROTOCOL.md describes. `sum` is no checksum here: both ends are stand-ins, and a
    server writes the low 32 bits of its id into it, so that a reset tells who sent it (0: the system)."""

    def __init__(self, src, sport, dst, dport, flags, echo=0, seq=0, ack=0, data=b"", checksum=1):
        self.src, self.sport, self.dst, self.dport, self.flags = src, sport, dst, dport, flags
        self.echo, self.seq, self.ack, self.data, self.checksum = echo, seq, ack, data, checksum

    @staticmethod
    def decode(data):
        src, dport, sport, dst, echo, checksum, seq, ack, _length, flags, _pad = HEADER.unpack(data[:HEADER.size])
        return Packet(to_text(src), sport, to_text(dst), dport, flags, echo, seq, ack, data[HEADER.size:], checksum)

    def encode(self):
        return HEADER.pack(to_int(self.src), self.dport, self.sport, to_int(self.dst), self.echo, self.checksum,
                           self.seq, self.ack, len(self.data), self.flags, 0) + self.data


class Server:
    """One start of a server. It registers itself, accepts flows and answers each request on them once. `took_syn` and
    `ran` hold what reached it, with times."""

    def __init__(self, system, service, address, port=8080, zone="zone-a", instance=None, warmup_ms=0):
        self.system, self.service, self.address, self.port, self.zone = system, service, address, port, zone
        self.id = instance or f"i-{os.urandom(4).hex()}"
        self.number = int(self.id.rsplit("-", 1)[1], 16)
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.started, self.warmup_ms = time.monotonic(), warmup_ms
        self.alive, self.flows, self.took_syn, self.ran = True, {}, [], []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, port))
        self.socket.settimeout(0.2)
        self.announced = threading.Event()
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=run, daemon=True) for run in (self._serve, self._heartbeat)]
        for thread in self.threads:
            thread.start()

    def body(self, **changes):
        left_ms = max(0, self.warmup_ms - int((time.monotonic() - self.started) * 1000))
        fields = {"Service": self.service, "Address": f"{self.address}:{self.port}", "Zone": self.zone, "Version": "v1",
                  "Capacity": 2, "State": self.state, "WarmupLeftMs": left_ms, "Seq": self.seq, "born": self.born}
        return json.dumps(fields | changes)

    def heartbeat(self):
        """One heartbeat: to one daemon after another until one acknowledges within a second; False if none does."""
        with self.lock:
            self.seq += 1
            for address in self.system.control_addresses:
                if self.system.request(address, "PUT", f"/instances/{self.id}", self.body())[0] // 100 == 2:
                    return True
        return False

    def _heartbeat(self):
        while self.alive:
            if self.heartbeat():
                self.announced.set()
            self.wake.wait(1.2)
            self.wake.clear()

    def end(self):
        """Ends the process without a word."""
        self.alive = False
        self.wake.set()
        for thread in self.threads:
            thread.join()
        self.socket.close()

    def _serve(self):
        while self.alive:
            try:
                data, _source = self.socket.recvfrom(2048)
            except socket.timeout:
                continue
            intended = int.from_bytes(data[:8], "big")
            if intended in (0, self.number):
                self._take(Packet.decode(data[8:]))

    def _take(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            if key not in self.flows:
                self.took_syn.append((time.monotonic(), key))
            self.flows[key] = packet.echo
            self._send(key, SYN | ACK, ack=packet.seq + 1)
        elif key not in self.flows:
            if not packet.flags & RST:
                self._send(key, RST, ack=packet.seq, echo=packet.echo)
        elif packet.flags & RST:
            del self.flows[key]
        elif packet.flags & FIN:
            self.flows[key] = packet.echo
            self._send(key, FIN | ACK, ack=packet.seq + 1)
            del self.flows[key]
        elif packet.data:
            self.flows[key] = packet.echo
            request_id = packet.data.decode()
            if request_id not in [ran for _time, ran in self.ran]:
                self.ran.append((time.monotonic(), request_id))
            self._send(key, ACK, ack=packet.seq + len(packet.data), data=f"done {request_id}".encode())

    def _send(self, key, flags, ack=0, data=b"", echo=None):
        src, sport, dst, dport = key
        echo = self.flows.get(key, 0) if echo is None else echo
        packet = Packet(dst, dport, src, sport, flags, echo, 1000, ack, data, self.number & 0xFFFFFFFF)
        self.socket.sendto(packet.encode(), (src, self.system.ports["packets"]))


class Client:
    """A client address whose flows go through the given balancers."""

    def __init__(self, system, address, balancers):
        self.system, self.address, self.balancers = system, address, balancers
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, system.ports["packets"]))
        self.next_port = 1024

    def flow(self, route_port):
        self.next_port += 1
        return Flow(self, self.next_port, route_port)

    def close(self):
        self.socket.close()


class Flow:
    """A flow of a client, which runs one at a time. `reset_by` is the checksum of the reset that ended it: 0 if it came
    from the system."""

    def __init__(self, client, port, route_port):
        self.client, self.port, self.route_port = client, port, route_port
        self.echo, self.seq, self.is_open, self.reset_by = 0, 5000, False, None

    def send(self, flags, ack=0, data=b""):
        packet = Packet(self.client.address, self.port, ROUTE_ADDRESS, self.route_port, flags, self.echo, self.seq, ack,
                        data)
        balancers = [balancer for balancer in self.client.balancers if balancer.is_running()]
        if balancers:  # The routers keep a flow at one balancer while the set of balancers stays the same.
            chosen = balancers[self.port % len(balancers)]
            self.client.socket.sendto(packet.encode(), (chosen.address, self.client.system.ports["packets"]))

    def receive(self, limit_s):
        deadline = time.monotonic() + limit_s
        while (left_s := deadline - time.monotonic()) > 0:
            self.client.socket.settimeout(left_s)
            try:
                data, _source = self.client.socket.recvfrom(2048)
            except socket.timeout:
                return None
            packet = Packet.decode(data)
            if packet.dport != self.port:
                continue
            if packet.flags & RST:
                self.reset_by = packet.checksum  # 0 in a reset of the system's own.
                return packet
            self.echo = packet.echo
            return packet
        return None

    def open(self):
        """Opens the flow; False if no server answers or a reset arrives."""
        started = time.monotonic()
        for copy, until_s in enumerate((*COPY_TIMES_S, OPEN_LIMIT_S)):
            self.echo = 0
            self.send(SYN, ack=copy)
            while (left_s := started + until_s - time.monotonic()) > 0:
                packet = self.receive(left_s)
                if packet is None:
                    break
                if packet.flags & RST:
                    return False
                if packet.flags & SYN:
                    self.is_open = True
                    self.seq += 1
                    self.send(ACK, ack=packet.seq + 1)
                    return True
        return False

    def request(self, request_id, limit_s=2.0):
        """Sends a request on the open flow: "answered", "reset" or "silent"."""
        deadline, wait_s = time.monotonic() + limit_s, RETRANSMIT_S
        while time.monotonic() < deadline:
            self.send(ACK, ack=1001, data=request_id.encode())
            packet = self.receive(min(wait_s, max(0.01, deadline - time.monotonic())))
            wait_s = min(wait_s * 2, 1.6)
            if packet is None:
                continue
            if packet.flags & RST:
                self.is_open = False
                return "reset"
            if packet.data == f"done {request_id}".encode():
                self.seq += len(request_id)
                return "answered"
        return "silent"

    def close(self):
        if self.is_open:
            self.send(FIN | ACK, ack=1001)
            self.is_open = False
