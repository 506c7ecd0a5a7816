"""A small deployment of the project's own programs on loopback, with stand-ins for servers, clients and the operator.

Each host has an address in 127.0.0.0/8. The programs are started with the commands of deploy/system.toml; their settings
hold what the templates beside it make. The stand-ins follow PROTOCOL.md. Sums of packets are left 0: their key is not
disclosed, and the system does not change what they cover.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TARGET = os.environ.get("TARGET_DIR", os.path.join(ROOT, "target"))
SYN, FIN, RST, ACK = 4, 8, 32, 64
HEAD = struct.Struct(">4sHH4sIIIIHBB")  # src, dport, sport, dst, echo, sum, seq, ack, len, flags, pad
HEARTBEAT_S = 1.2


GIVEN_PORTS = set()


def free_port(kind):
    """A free port of 127.0.0.1 that no earlier call returned: the kernel may give a port that was closed again."""
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Proxy:
    """Forwards the datagrams that arrive at `listen` to `forward`; drops them while `is_cut`."""

    def __init__(self, listen, forward):
        self.is_cut = False
        self.forward = forward
        self.sockets = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(listen)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            data, source = self.socket.recvfrom(65536)
            if self.is_cut:
                continue
            # One socket for each sender: receivers tell messages apart by their source.
            if source not in self.sockets:
                self.sockets[source] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sockets[source].sendto(data, self.forward)


class Deployment:
    """Control hosts and balancers as separate processes. Hosts are named control-N and balancer-N, from 1."""

    def __init__(self, record, zones, controls=3, balancers=2, proxied=()):
        self.record = record
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="fighatch-review-")
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.http_port = free_port(socket.SOCK_STREAM)
        self.readiness_port = free_port(socket.SOCK_STREAM)
        self.metrics_port = free_port(socket.SOCK_STREAM)
        self.data_port = free_port(socket.SOCK_DGRAM)
        self.control_port = free_port(socket.SOCK_DGRAM)
        self.balancer_port = free_port(socket.SOCK_DGRAM)
        self.proxy_control_port = free_port(socket.SOCK_DGRAM)
        self.proxy_balancer_port = free_port(socket.SOCK_DGRAM)
        self.processes = {}
        self.logs = {}
        self.controls = [f"control-{n + 1}" for n in range(controls)]
        self.balancers = [f"balancer-{n + 1}" for n in range(balancers)]
        self.proxies = []
        self.is_proxied = bool(proxied)
        # With proxies the balancers and control hosts reach each other through them, so that a balancer can be cut off.
        if self.is_proxied:
            for name in self.controls:
                self.proxies.append(
                    (name, Proxy((self.ip(name), self.proxy_control_port), (self.ip(name), self.control_port))))
            for name in self.balancers:
                self.proxies.append(
                    (name, Proxy((self.ip(name), self.proxy_balancer_port), (self.ip(name), self.balancer_port))))

    def ip(self, name):
        kind, number = name.split("-")
        return f"{self.net}.{({'control': 0, 'balancer': 50}[kind]) + int(number)}"

    def zone(self, name):
        return self.zones[(int(name.split("-")[1]) - 1) % len(self.zones)]

    def cut(self, name, is_cut):
        """Cuts a balancer off from the control hosts, or joins it again."""
        self.record(f"{'cut' if is_cut else 'joined'} {name}")
        for host, proxy in self.proxies:
            if host == name:
                proxy.is_cut = is_cut

    def settings(self, name, first):
        common = {
            "address": self.ip(name),
            "data_centre": self.zone(name),
            "seeds": [f"{self.ip(host)}:{self.http_port}" for host in self.controls[:3]],
            "unsealed_messages": True,
            "metrics_port": self.metrics_port,
        }
        if name.startswith("control"):
            return common | {
                "control_message_port": self.control_port,
                "balancer_message_port": self.proxy_balancer_port if self.is_proxied else self.balancer_port,
                "http": f"{self.ip(name)}:{self.http_port}",
                "data_folder": os.path.join(self.folder, name, "data"),
                "found_group": first,
                "tolerated_lost_disks": 1,
                "log_lines_per_second": 20,
                "announcement_period_ms": int(HEARTBEAT_S * 1000),
            }
        return common | {
            "control_message_port": self.proxy_control_port if self.is_proxied else self.control_port,
            "balancer_message_port": self.balancer_port,
            "packets": f"{self.ip(name)}:{self.data_port}",
            "readiness": f"{self.ip(name)}:{self.readiness_port}",
            "log_lines_per_second": 10,
            "link_mbps": 1000.0,
            "rate_shares": True,
            "stop_grace_ms": 6000,
        }

    def start(self, name, first=False):
        folder = os.path.join(self.folder, name)
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        path = os.path.join(folder, "settings.conf")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(name, first), file)
        program = "fighatch-platform-control" if name.startswith("control") else "fighatch-platform-balancer"
        log = open(os.path.join(folder, "log"), "ab")
        self.processes[name] = subprocess.Popen([os.path.join(TARGET, program), "--config", path], stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log)
        self.record(f"started {name}")

    def start_all(self):
        for name in self.controls + self.balancers:
            self.start(name, first=True)

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, names):
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.processes[name].wait()

    def log(self, name):
        with open(os.path.join(self.folder, name, "log"), errors="replace", encoding="utf-8") as file:
            return file.read()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator, who follows redirects twice and then tries the next control host.

    def call(self, name, method, path, body=None, timeout=1.0):
        """One call to one host; returns (status, text, location), status 0 without an answer."""
        connection = http.client.HTTPConnection(self.ip(name), self.http_port, timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            return response.status, response.read().decode(), response.getheader("Location")
        except (OSError, http.client.HTTPException):
            return 0, "", None
        finally:
            connection.close()

    def order(self, method, path, body=None, limit_s=10):
        """Sends an order until it is answered clearly; returns the status and when the answer came."""
        deadline = time.monotonic() + limit_s
        self.record(f"order {method} {path} {('version ' + str(json.loads(body)['Version'])) if body else ''}")
        while time.monotonic() < deadline:
            for name in random.sample(self.controls, len(self.controls)):
                status, text, location = self.call(name, method, path, body)
                for _ in range(2):
                    if status != 307 or not location:
                        break
                    ip = location.split("/")[2].split(":")[0]
                    name = next(host for host in self.controls if self.ip(host) == ip)
                    status, text, location = self.call(name, method, path, body)
                if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                    self.record(f"answer {status} to {method} {path} from {name}")
                    return status, text, time.monotonic()
            time.sleep(0.1)
        self.record(f"no answer to {method} {path}")
        return 0, "", None


class Server(threading.Thread):
    """A server that announces itself and runs one request in each flow. `runs` lists (time, request id, route)."""

    def __init__(self, deployment, service, number, zone, announce=True, born=None, work_s=0.02):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.service = service
        self.zone = zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.number = int(self.id[2:], 16)
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = born or int(time.time() * 1000)
        self.runs = []
        self.flows = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.address = (f"{deployment.net}.{100 + number}", free_port(socket.SOCK_DGRAM))
        self.socket.bind(self.address)
        self.start()
        if announce:
            threading.Thread(target=self.announce_loop, daemon=True).start()

    def restart(self, born):
        """Starts again under the same id: it knows nothing of before, and its counts start anew."""
        self.flows = {}
        self.sequence = 0
        self.state = "ready"
        self.born = born
        self.deployment.record(f"restarted {self.id} with born {born}")

    def announce(self):
        """One announcement, to one control host after the other; true once it is acknowledged."""
        self.sequence += 1
        body = json.dumps({
            "Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}", "Zone": self.zone, "Version": "v1",
            "Capacity": 2, "State": self.state, "WarmupLeftMs": 0, "Seq": self.sequence, "born": self.born
        })
        for name in random.sample(self.deployment.controls, len(self.deployment.controls)):
            status, _, _ = self.deployment.call(name, "PUT", f"/instances/{self.id}", body)
            if 200 <= status < 300:
                return True
        return False

    def announce_loop(self):
        while True:
            is_acknowledged = self.announce()
            time.sleep(HEARTBEAT_S if is_acknowledged else 0.1)

    def run(self):
        while True:
            datagram, _ = self.socket.recvfrom(65536)
            wanted = int.from_bytes(datagram[:8], "big")
            if wanted in (0, self.number) and len(datagram) >= 8 + HEAD.size:
                self.take(datagram[8:])

    def reply(self, packet, flags, seq, ack, data=b""):
        src, dport, sport, dst, echo = packet[:5]
        if src[0] != 127:  # Every address in a case is a loopback address.
            return
        head = HEAD.pack(dst, sport, dport, src, echo, 0, seq, ack, len(data), flags, 0)
        self.socket.sendto(head + data, (socket.inet_ntoa(src), self.deployment.data_port))

    def take(self, bytes_):
        packet = HEAD.unpack(bytes_[:HEAD.size])
        src, dport, sport, dst, _, _, seq, ack, _, flags, _ = packet
        key = (src, sport, dst, dport)
        data = bytes_[HEAD.size:]
        if flags & SYN:
            flow = self.flows.setdefault(key, {"seq": random.getrandbits(31), "is_run": False})
            return self.reply(packet, SYN | ACK, flow["seq"], seq + 1)
        flow = self.flows.get(key)
        if flow is None:
            return None if flags & RST else self.reply(packet, RST, ack, seq)
        if data and not flow["is_run"]:
            flow["is_run"] = True
            request = data.decode().split("Request-Id: ")[1].split("\r\n")[0]
            route = f"{socket.inet_ntoa(dst)}:{dport}"
            self.runs.append((time.monotonic(), request, route))
            self.deployment.record(f"run {request} for {route} at {self.id} ({self.service})")
        if data:
            answer = f"HTTP/1.1 200 OK\r\nServer-Signature: {self.id}\r\nContent-Length: 2\r\n\r\nok".encode()
            threading.Timer(self.work_s, self.reply, (packet, ACK | FIN, flow["seq"] + 1, seq + len(data), answer)).start()
        return None


class Client:
    """Opens one flow for each request, through the balancer that the caller names."""

    def __init__(self, deployment, number=1):
        self.deployment = deployment
        self.ip = f"{deployment.net}.{200 + number}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, deployment.data_port))
        self.next_port = random.randint(1024, 30000)
        self.number = number
        self.count = 0

    def send(self, balancer, route, port, flags, seq, ack, echo, data=b""):
        ip, dport = route
        head = HEAD.pack(socket.inet_aton(self.ip), dport, port, socket.inet_aton(ip), echo, 0, seq, ack, len(data), flags, 0)
        self.socket.sendto(head + data, (self.deployment.ip(balancer), self.deployment.data_port))

    def receive(self, port, until):
        while True:
            left = until - time.monotonic()
            if left <= 0:
                return None
            self.socket.settimeout(left)
            try:
                data, _ = self.socket.recvfrom(65536)
            except TimeoutError:
                return None
            packet = HEAD.unpack(data[:HEAD.size])
            if packet[1] == port:
                return packet, data[HEAD.size:]

    def request(self, balancer, route):
        """Returns (id, when it was sent, outcome): 'reset', 'silent', 'reset while open',
        'no answer' or 'ok'."""
        self.count += 1
        request = f"c{self.number}-r{self.count}"
        self.next_port += 1
        port = self.next_port
        sent = time.monotonic()
        self.deployment.record(f"sent {request} to {route[0]}:{route[1]} through {balancer}")
        outcome = self.exchange(balancer, route, port, request, sent)
        self.deployment.record(f"answer to {request}: {outcome}")
        return request, sent, outcome

    def exchange(self, balancer, route, port, request, sent):
        seq = random.getrandbits(31)
        opened = None
        for copy, wait_until in enumerate((0.2, 0.6, 1.4)):
            self.send(balancer, route, port, SYN, seq, copy, 0)
            opened = self.receive(port, sent + wait_until)
            if opened:
                break
        if not opened:
            return "silent"
        if opened[0][9] & RST:
            return "reset"
        _, _, _, _, echo, _, server_seq, _, _, _, _ = opened[0]
        data = f"GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {request}\r\n\r\n".encode()
        for _ in range(4):
            self.send(balancer, route, port, ACK, seq + 1, server_seq + 1, echo, data)
            answer = self.receive(port, time.monotonic() + 0.3)
            if answer and answer[0][9] & RST:
                sender = "the system" if answer[0][4] == 0 else "a server"  # The system's resets carry no echo.
                self.deployment.record(f"{request} is open and gets a reset of {sender} with seq {answer[0][6]}")
                return "reset while open"
            if answer and answer[1]:
                self.send(balancer, route, port, ACK | FIN, seq + 1 + len(data), answer[0][6] + len(answer[1]), echo)
                return "ok"
        return "no answer"


def config(version, routes, services):
    """A configuration; `routes` maps (address, port) to a service."""
    return json.dumps({
        "Version": version,
        "Routes": [{
            "Name": f"r-{ip}-{port}", "Host": ip, "PathPrefix": f"/{port}/", "Type": "safe", "TimeoutMs": 1500, "SloMs": 150,
            "Priority": 2, "Service": service, "MaxAttempts": 2
        } for (ip, port), service in routes.items()],
        "Services": [{
            "Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False, "WarmupS": 2.0,
            "ColdPerS": 0.0
        } for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    })


def run_case(folder, play, **options):
    """Runs `play(system, record, trouble)`, which returns 1 if the rule was broken, 0 if it held and 2 if the case could
    not run, and exits with that. Ends all processes also after an error or a SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    code = 2
    system = Deployment(record, ["zone-a", "zone-b", "zone-c"], **options)
    try:
        code = play(system, record, os.environ.get("TROUBLE", "1") != "0")
    except Exception:  # An error of the case itself must not look like a broken rule.
        record(traceback.format_exc())
    finally:
        system.stop()
    record(f"exit code {code}")
    sys.exit(code)
