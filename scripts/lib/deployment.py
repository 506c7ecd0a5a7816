"""Runs a whole fighatch deployment on loopback: control hosts, balancers, targets and the fabric.

Every host gets its own address in 127.0.0.0/8. The second octet is derived from the process id, so that several
deployments can run concurrently.
"""

import json
import os
import pathlib
import secrets
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve()
# Must not overlap the addresses of any service in examples/tickets: the fabric sends packets for this network to
# callers.
CALLER_BASE = "192.0.2.0"

USERS = {
    "agency": {"ticket": "examples/tickets/agency.json", "request": "crate-desk", "flow": "ledger-house"},
    "head_office": {"ticket": "examples/tickets/head_office.json", "request": "crew-desk", "flow": "image-vault"},
}


def strip_comments(text):
    """Removes // comments from JSON text, to the end of the line."""
    lines = []
    for line in text.splitlines():
        at = line.find("//")
        lines.append(line if at < 0 else line[:at])
    return "\n".join(lines)


def http(method, endpoint, path, body=b"", timeout=2.0):
    """Sends a request to IP:PORT and returns (status, body text)."""
    request = urllib.request.Request(f"http://{endpoint}{path}", data=body or None, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Process:
    """A child process with its settings file and log."""

    def __init__(self, name, program, settings, folder):
        self.name = name
        self.settings_path = folder / f"{name}.json"
        self.settings = settings
        self.rewrite_settings()
        self.log = folder / f"{name}.log"
        self.program = BUILD / program
        self.child = None

    def rewrite_settings(self, **changed):
        """Changes fields of the settings and writes the settings file for the next start."""
        self.settings.update(changed)
        self.settings_path.write_text(json.dumps(self.settings, indent=1))

    def start(self, *extra):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [str(self.program), "--config", str(self.settings_path), *extra],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self

    def stop(self, timeout=30.0):
        """Stops the process with SIGTERM, or kills it after the timeout; returns the exit code."""
        if self.child is None or self.child.poll() is not None:
            return self.child.returncode if self.child else None
        self.child.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
        return self.child.wait() if self.child else None

    def is_running(self):
        return self.child is not None and self.child.poll() is None


class Deployment:
    """Control hosts, balancers in three data centres, targets of one user's services, and the fabric."""

    def __init__(self, user="agency", balancers=8, request_targets=15, flow_targets=4, service_time_ms=5,
                 warm_up_ms=0, trace=False, control_hosts=3):
        self.user = USERS[user]
        self.second_octet = 16 + os.getpid() % 200
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fighatch-"))
        self.service_time_ms = service_time_ms
        self.warm_up_ms = warm_up_ms
        self.trace = trace
        self.ticket = json.loads(strip_comments((ROOT / self.user["ticket"]).read_text()))
        self.data_centres = [data_centre["name"] for data_centre in self.ticket["data_centres"]]
        self.addresses = {service["name"]: service["addresses"] for service in self.ticket["services"]}
        self.keys = {kind: self._write_key(kind) for kind in ("cluster", "operator", "target")}
        self.fabric_endpoint = f"{self._ip(4, 1)}:6080"
        self.fabric_http_endpoint = f"{self._ip(4, 1)}:9000"
        self.load_endpoint = f"{self._ip(5, 1)}:6080"
        self.balancer_indices = list(range(balancers))
        self.control_indices = list(range(control_hosts))
        self.control = [self._make_control(index) for index in self.control_indices]
        self.balancers = [self._make_balancer(index) for index in self.balancer_indices]
        self.fabric = self._make_fabric()
        self.targets = []
        for index in range(request_targets):
            self.targets.append(self.make_target(self.user["request"], index, index))
        for index in range(flow_targets):
            self.targets.append(self.make_target(self.user["flow"], index, 100 + index))

    def _ip(self, kind, number):
        return f"127.{self.second_octet}.{kind}.{number}"

    def _write_key(self, kind):
        path = self.folder / f"{kind}.key"
        path.write_text(secrets.token_hex(32) + "\n")
        return str(path)

    def control_http_endpoints(self):
        return [f"{self._ip(3, 1 + index)}:7400" for index in self.control_indices]

    def _make_control(self, index):
        hosts = [{"host": 101 + other, "messages": f"{self._ip(3, 1 + other)}:7401",
                  "http": f"{self._ip(3, 1 + other)}:7400"} for other in self.control_indices]
        settings = {
            "host": 101 + index,
            "data_centre": self.data_centres[index % len(self.data_centres)],
            "data_folder": str(self.folder / f"control{index}"),
            "operator_key_file": self.keys["operator"],
            "cluster_keys": [{"id": 1, "file": self.keys["cluster"]}],
            "control_hosts": hosts,
        }
        return Process(f"control{index}", "fighatch-control", settings, self.folder)

    def balancer_http_endpoint(self, index):
        return f"{self._ip(1, 1 + index)}:9000"

    def balancer_data_endpoint(self, index):
        return f"{self._ip(1, 1 + index)}:6080"

    def data_centre_of_balancer(self, index):
        return self.data_centres[index % len(self.data_centres)]

    def _make_balancer(self, index):
        folder = self.folder / f"balancer{index}"
        folder.mkdir(exist_ok=True)
        settings = {
            "host": 1 + index,
            "data_centre": self.data_centre_of_balancer(index),
            "control_endpoint": f"{self._ip(1, 1 + index)}:7402",
            "data_endpoint": self.balancer_data_endpoint(index),
            "http_endpoint": self.balancer_http_endpoint(index),
            "fabric_endpoint": self.fabric_endpoint,
            "control_hosts": self.control_http_endpoints(),
            "seeds": [f"{self._ip(1, 1 + other)}:7402" for other in self.balancer_indices if other != index],
            "cluster_keys": [{"id": 1, "file": self.keys["cluster"]}],
            "target_keys": [{"id": 1, "file": self.keys["target"]}],
            "data_folder": str(folder),
        }
        if self.trace:
            settings["trace_file"] = str(self.folder / f"trace-balancer{index}.json")
        return Process(f"balancer{index}", "fighatch-balancer", settings, self.folder)

    def _make_fabric(self):
        settings = {
            "listen": self.fabric_endpoint,
            "http": self.fabric_http_endpoint,
            "balancers": [self.balancer_data_endpoint(index) for index in self.balancer_indices],
            "callers": [{"prefix": CALLER_BASE + "/24", "endpoint": self.load_endpoint}],
            "seed": 7,
        }
        return Process("fabric", "fighatch-fabric", settings, self.folder)

    def make_target(self, service, index, number):
        data_centre = self.data_centres[index % len(self.data_centres)]
        announce_to = [self.balancer_http_endpoint(other) for other in self.balancer_indices
                       if self.data_centre_of_balancer(other) == data_centre]
        settings = {
            "service": service,
            "data_centre": data_centre,
            "gue": f"{self._ip(2, 1 + number)}:6080",
            "http": f"{self._ip(2, 1 + number)}:8080",
            "fabric": self.fabric_endpoint,
            "service_addresses": [address["endpoint"] for address in self.addresses[service]],
            "announce_to": announce_to,
            "key_file": self.keys["target"],
            "service_time_ms": self.service_time_ms,
            "warm_up_ms": self.warm_up_ms,
        }
        target = Process(f"target{number}", "fighatch-target", settings, self.folder)
        target.http = settings["http"]
        target.service = service
        target.data_centre = data_centre
        return target

    def make_load(self, name, duration_ms, flows=None, requests=None, plot=False):
        def address(service):
            return self.addresses[service][0]["endpoint"]

        settings = {
            "local": self.load_endpoint, "fabric": self.fabric_endpoint, "caller_base": CALLER_BASE,
            "duration_ms": duration_ms, "seed": 11, "report_file": str(self.folder / f"{name}-report.json"),
        }
        if flows:
            settings["flows"] = [{"service": self.user["flow"], "address": address(self.user["flow"]), **flows}]
        if requests:
            settings["requests"] = [
                {"service": self.user["request"], "address": address(self.user["request"]), **requests}]
        if plot:
            settings["plot_file"] = str(self.folder / f"{name}.svg")
        load = Process(name, "fighatch-load", settings, self.folder)
        load.report = lambda: json.loads(pathlib.Path(settings["report_file"]).read_text())
        load.plot_file = settings.get("plot_file")
        return load

    def ctl(self, *arguments, check=True):
        """Runs fighatchctl and returns (exit code, output)."""
        command = [str(BUILD / "fighatchctl"), "--control", ",".join(self.control_http_endpoints()),
                   "--key", self.keys["operator"], "--author", "demo", *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"fighatchctl {' '.join(arguments)}: {result.stdout}{result.stderr}")
        return result.returncode, result.stdout + result.stderr

    def write_ticket(self, name, ticket):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(ticket, indent=1))
        return str(path)

    def start(self):
        for process in self.control:
            subprocess.run([str(process.program), "--config", str(process.settings_path), "--found"],
                           check=True, capture_output=True)
            process.start()
        self.wait_for("a control leader", lambda: self.ctl("show", check=False)[0] == 0)
        for process in [*self.balancers, self.fabric]:
            process.start()
        self.ctl("apply", self.write_ticket("ticket1", self.ticket))
        self.wait_for("balancers", lambda: all(self.health(index) == 200 for index in self.balancer_indices))
        for process in self.targets:
            process.start()
        return self

    def health(self, index):
        try:
            return http("GET", self.balancer_http_endpoint(index), "/v1/health")[0]
        except OSError:
            return 0

    def members(self, index):
        return json.loads(http("GET", self.balancer_http_endpoint(index), "/v1/members")[1])

    def stats(self, target):
        return json.loads(http("GET", target.http, "/v1/stats")[1])

    def sum_stat(self, field, targets=None):
        return sum(self.stats(target)[field] for target in (targets or self.targets) if target.is_running())

    def wait_for(self, what, condition, timeout=30.0):
        """Waits until a condition holds; raises an error with its name after the timeout."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError(f"timed out waiting for {what}; logs are in {self.folder}")

    def stop(self):
        for process in [*self.targets, *self.balancers, self.fabric, *self.control]:
            process.kill()
