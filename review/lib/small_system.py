"""A small deployment of the deploy file's programs on loopback addresses, for the scripts of review/.

It renders the settings templates of deploy/ and starts the programs with the commands of deploy/system.toml as separate
processes. The operator follows the users' PROTOCOL.md: it sends an order again, to another daemon, after a failure, a
5xx or a second without an answer, and follows two redirects. Everything seen is written to record.txt.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The build of the deploy file puts the programs here.
TARGET = pathlib.Path(os.environ.get("TARGET_DIR", ROOT / "target")).resolve()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Bounds and limits of the site files of the milestone.
STABLE_WINDOW_S, CATCHUP_S = 4.0, 4.0
HEARTBEAT_S = 1.2


class CouldNotRun(Exception):
    """The case could not be brought about; it says nothing about the rule."""


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def free_ports(address, count):
    """Ports that are free for UDP and TCP at this moment."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            try:
                udp.bind((address, port))
                tcp.bind((address, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes: values, JSON values and sections."""
    def value(path):
        item = fields
        for part in path.split("."):
            if isinstance(item, list):
                item = item[int(part)] if int(part) < len(item) else None
            else:
                item = item.get(part) if isinstance(item, dict) else None
        return item

    def section(match):
        item = value(match[2])
        shown = bool(item) if match[1] == "#" else not item
        return match[3] if shown else ""

    def placeholder(match):
        item = value(match[1])
        if match[2]:
            return json.dumps(item)
        return "" if item is None else str(item)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Daemon:
    """A process of the system with its settings, data folder and log."""

    def __init__(self, system, role, address, zone):
        self.system, self.role, self.address, self.zone, self.process = system, role, address, zone, None
        self.folder = system.folder / f"{role}-{address}"
        self.folder.mkdir()

    def start(self, bootstrap=False):
        system = self.system
        if system.is_closed:  # A thread of a case may still want to restart it.
            return
        fields = {
            "Ip": self.address, "Zone": self.zone, "Seeds": system.seeds, "Bootstrap": bootstrap,
            "InternalPortRange": [system.ports["control"], system.ports["balancer"]],
            "DataDir": str(self.folder / "data"), "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Bounds": {"GraceS": 6}, "Limits": {"LinkMbps": 1000.0},
            "Listen": {"Control": f"{self.address}:{system.ports['http']}",
                       "DatagramAddr": f"{self.address}:{system.ports['packets']}",
                       "ReadinessAddr": f"{self.address}:{system.ports['ready']}"}}
        template = (ROOT / f"deploy/{self.role}.json.template").read_text(encoding="utf-8")
        settings = self.folder / "settings.json"
        settings.write_text(render(template, fields), encoding="utf-8")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen([TARGET / f"fighatch-platform-{self.role}", "--config", settings],
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        system.record(f"start {self.role} {self.address} bootstrap={bootstrap} pid={self.process.pid}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.system.record(f"{signal.Signals(number).name} to {self.role} {self.address}")
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def stop(self, grace_s=6.0):
        """Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self.system.record(f"{self.role} {self.address} has ended with {self.process.returncode}")

    def delete_disk(self):
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.system.record(f"{self.role} {self.address} has lost its disk")


class System:
    """Control hosts and balancers in three zones, and the operator's calls to them."""

    def __init__(self, case_folder, controls=3, balancers=0):
        self.record = Record(pathlib.Path(case_folder))
        self.is_closed = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fighatch-review-"))
        self.network = random.randrange(32, 250)
        names = ("http", "control", "balancer", "packets", "ready")
        self.ports = dict(zip(names, free_ports(f"127.{self.network}.1.1", len(names))))
        self.control_addresses = [f"127.{self.network}.1.{number + 1}" for number in range(controls)]
        self.seeds = [f"{address}:{self.ports['http']}" for address in self.control_addresses]
        self.daemons = []
        self.controls = [self.add("control", address) for address in self.control_addresses]
        self.balancers = [self.add("balancer", f"127.{self.network}.2.{number + 1}") for number in range(balancers)]

    def add(self, role, address):
        if not (TARGET / f"fighatch-platform-{role}").exists():
            raise CouldNotRun(f"{role} is not built; run the build of the deploy file first")
        zones = ("zone-a", "zone-b", "zone-c")
        daemon = Daemon(self, role, address, zones[int(address.rsplit(".", 1)[1]) % len(zones)])
        self.daemons.append(daemon)
        return daemon

    def close(self):
        self.is_closed = True
        time.sleep(0.1)
        for daemon in self.daemons:
            if daemon.is_running():
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP"):
            self.record(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def request(self, address, method, path, body=None, timeout_s=1.0):
        """One HTTP call, without redirects: status (0 for no answer), body and Location."""
        connection = http.client.HTTPConnection(address, self.ports["http"], timeout=timeout_s)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
            response = connection.getresponse()
            return response.status, response.read().decode(), response.getheader("Location")
        except (OSError, http.client.HTTPException):
            return 0, "", None
        finally:
            connection.close()

    def call(self, address, method, path, body=None, timeout_s=1.0):
        """A call that follows up to two redirects: status, body and the address that answered."""
        for _redirect in range(3):
            status, text, location = self.request(address, method, path, body, timeout_s)
            if status != 307 or not location:
                break
            address = location.split("/")[2].split(":")[0]
        return status, text, address

    def order(self, addresses, method, path, body=None, limit_s=15.0, timeout_s=1.0):
        """Sends an order again, to another daemon each time, until it is answered clearly. Returns the status, the body
        and who answered; status 0 if the time is up."""
        deadline, pause_s, turn = time.monotonic() + limit_s, 0.05, 0
        while time.monotonic() < deadline:
            status, text, answered = self.call(addresses[turn % len(addresses)], method, path, body, timeout_s)
            turn += 1
            if status != 0 and status < 500 and status not in (307, 408, 429):
                return status, text, answered
            time.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 0.5)
        return 0, "", None

    def put_config(self, addresses, document, limit_s=15.0, timeout_s=1.0):
        body = json.dumps(document)
        status, _text, answered = self.order(addresses, "PUT", "/config", body, limit_s, timeout_s)
        self.record(f"PUT /config version {document['Version']} ({len(body)} bytes): {status or 'no clear answer'}"
                    f" by {answered}")
        return status, answered

    def read_version(self, addresses, limit_s=15.0, timeout_s=1.0):
        """The version that the operator reads back; None if nothing comes."""
        status, text, answered = self.order(addresses, "GET", "/config", None, limit_s, timeout_s)
        version = json.loads(text)["Version"] if status == 200 else None
        self.record(f"GET /config: {status or 'no clear answer'} version {version} by {answered}")
        return version


def document(version, services=("desk",), idle_routes=0, timeout_ms=1500):
    """A configuration: one route to each service, at the ports from 8001 on, and routes without traffic."""
    routes = [{"Name": f"r-{index}", "Host": "127.198.18.1", "PathPrefix": f"/{8001 + index}/", "Type": "unsafe",
               "TimeoutMs": timeout_ms, "SloMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2}
              for index, service in enumerate(services)]
    routes += [{"Name": f"r-idle{number}", "Host": f"127.{199 + (number >> 16)}.{number >> 8 & 255}.{number & 255}", "PathPrefix": "/443/",
                "Type": "safe", "TimeoutMs": timeout_ms, "SloMs": 150, "Priority": 2, "Service": services[0],
                "MaxAttempts": 2} for number in range(idle_routes)]
    described = [{"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False,
                  "WarmupS": 2.0, "ColdPerS": 0.0} for name in services]
    return {"Version": version, "Routes": routes, "Services": described,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


def run_case(case_folder, play, **sizes):
    """Plays a case and returns the exit code: `play` gets the system and returns the text of a broken rule, or None."""
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(COULD_NOT_RUN))
    try:
        system = System(case_folder, **sizes)
    except CouldNotRun as reason:
        print(f"could not run: {reason}")
        return COULD_NOT_RUN
    try:
        broken = play(system)
        system.record(f"BROKEN: {broken}" if broken else "the rule held")
        return BROKEN if broken else HELD
    except CouldNotRun as reason:
        system.record(f"could not run: {reason}")
        return COULD_NOT_RUN
    finally:
        system.close()
