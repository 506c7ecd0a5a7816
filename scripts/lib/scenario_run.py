"""A deployment under load with a fabric that follows the health of the balancers, and what the scenarios measure on it."""

import json
import threading
import time

import deployment

# A balancer that does not answer its health check for this long is taken out of the fabric.
SILENT_AFTER_S = 1.0
HEALTH_INTERVAL_S = 0.1
# A target climbs the ramp to its full allowance in three steps of 2 s.
RAMP_S = 7.0


class FabricHealth(threading.Thread):
    """Takes a balancer out of the fabric when its health fails or it is silent, and puts it back when it is ok."""

    def __init__(self, run):
        super().__init__(daemon=True)
        self.run_under_test = run
        self.up = {index: True for index in run.balancer_numbers}
        self.last_answer = {index: time.monotonic() for index in run.balancer_numbers}
        self.stopping = threading.Event()
        self.changes = []

    def run(self):
        checks = [threading.Thread(target=self.follow, args=(index,), daemon=True) for index in self.up]
        for check in checks:
            check.start()
        for check in checks:
            check.join()

    def follow(self, index):
        while not self.stopping.wait(HEALTH_INTERVAL_S):
            self.set_up(index, self.is_up(index))

    def is_up(self, index):
        try:
            endpoint = self.run_under_test.balancer_http(index)
            status = deployment.http("GET", endpoint, "/v1/health", timeout=0.5)[0]
        except (OSError, ValueError):
            return self.up[index] and time.monotonic() - self.last_answer[index] < SILENT_AFTER_S
        self.last_answer[index] = time.monotonic()
        return status == 200

    def set_up(self, index, up):
        if up == self.up[index]:
            return
        verb = "up" if up else "down"
        path = f"/v1/balancers/{self.run_under_test.balancer_data(index)}/{verb}"
        deployment.http("POST", self.run_under_test.fabric_http, path)
        self.up[index] = up
        self.changes.append((time.monotonic(), index, verb))

    def stop(self):
        self.stopping.set()
        self.join(5)


class VersionWatch(threading.Thread):
    """Samples the table versions of each balancer and counts those that go down."""

    def __init__(self, run):
        super().__init__(daemon=True)
        self.run_under_test = run
        self.stopping = threading.Event()
        self.highest = {}
        self.reverts = []

    def run(self):
        while not self.stopping.wait(0.2):
            for index in self.run_under_test.balancer_numbers:
                try:
                    self.take(index, table_versions(self.run_under_test, index))
                except (OSError, ValueError):
                    continue

    def take(self, index, versions):
        for key, version in versions.items():
            if version < self.highest.get((index, key), version):
                self.reverts.append((index, key, self.highest[(index, key)], version))
            self.highest[(index, key)] = max(version, self.highest.get((index, key), version))

    def stop(self):
        self.stopping.set()
        self.join(5)


def table_versions(run, index):
    """Versions by (service, data centre) on one balancer."""
    endpoint = run.balancer_http(index)
    tables = json.loads(deployment.http("GET", endpoint, "/v1/members", timeout=0.5)[1])["tables"]
    return {(table["service"], table["data_centre"]): (table["epoch"], table["generation"]) for table in tables}


def state_generation(run, index):
    """Generation of the replicated state in force on one balancer."""
    text = deployment.http("GET", run.balancer_http(index), "/metrics", timeout=0.5)[1]
    lines = [line for line in text.splitlines() if line.startswith("fighatch_state_generation ")]
    return float(lines[0].split()[1])


class Scenario:
    """One run: starts the deployment, offers load while an action is taken, and prints what was measured."""

    def __init__(self, name, user, **options):
        self.name = name
        self.user = user
        self.run = deployment.Deployment(user, **options)
        self.failed = []
        self.fabric_health = None
        self.load = None

    def __enter__(self):
        try:
            return self.prepare()
        except BaseException:
            self.run.stop()
            raise

    def prepare(self):
        self.run.start()
        warm = self.run.make_load("warmup", 1000, flows={"rate": 5, "hold_ms": 500}, requests={"rate": 5})
        self.run.wait("targets in the tables", lambda: self.warm_run(warm), 40)
        time.sleep(RAMP_S)
        self.fabric_health = FabricHealth(self.run)
        self.fabric_health.start()
        return self

    def __exit__(self, *exception):
        if self.fabric_health:
            self.fabric_health.stop()
        if self.load:
            self.load.kill()
        self.run.stop()

    @staticmethod
    def warm_run(warm):
        warm.start()
        warm.child.wait(30)
        return all(report["completed"] == report["started"] for report in warm.report()["services"])

    def start_load(self, duration_s, rate=100, post_share=0.3, hold_ms=4000):
        self.load = self.run.make_load(
            "load", int(duration_s * 1000), plot=True,
            flows={"rate": rate, "hold_ms": hold_ms, "segment_interval_ms": 200},
            requests={"rate": rate, "post_share": post_share})
        self.load.start()

    def finish_load(self):
        """Waits for the load tool; returns the reports of the flows and of the requests."""
        code = self.load.child.wait(120)
        if code != 0:
            raise RuntimeError(f"load tool ended with {code}; logs are in {self.run.folder}")
        flows, requests = self.load.report()["services"]
        return flows, requests

    def emit(self, value_name, value, unit, bound, at_least=False):
        passed = value >= bound if at_least else value <= bound
        line = {"name": f"scenario_{self.name}/{self.user}/{value_name}", "value": value, "unit": unit,
                "bound": bound, "baseline": None, "pass": passed}
        print(json.dumps(line), flush=True)
        if not passed:
            self.failed.append(line["name"])

    def emit_common(self, flows, requests):
        """What no fault excuses."""
        print(json.dumps({"broken_by_target": flows["broken_by_target"], "fabric": [
            change[1:] for change in self.fabric_health.changes], "not_run": requests["not_run"],
            "unknown": requests["unknown"], "no_answer": requests["no_answer"], "codes": requests["codes"],
            "flows": flows["started"], "requests": requests["started"]}), flush=True)
        self.emit("wrong_segments", flows["wrong_answers"], "segments", 0)
        self.emit("wrong_or_truncated_answers", requests["wrong_answers"] + requests["truncated_answers"], "answers", 0)
        self.emit("misdelivered", self.run.total("misdelivered"), "packets", 0)
        recorded = self.records()
        self.emit("double_records", sum(count - 1 for count in recorded.values()), "records", 0)
        false_refusals = [key for key in requests["not_run_keys"] if key in recorded]
        self.emit("not_run_but_recorded", len(false_refusals), "entries", 0)

    def records(self):
        """Number of records by idempotency key over all targets."""
        counts = {}
        for target in self.targets(self.run.user["request"]):
            for key, count in json.loads(deployment.http("GET", target.http, "/v1/records")[1]).items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def targets(self, service=None, data_centre=None):
        return [target for target in self.run.targets if target.is_running()
                and service in (None, target.service) and data_centre in (None, target.data_centre)]

    def broken_outside(self, flows, data_centre):
        """Broken flows of targets in other data centres; flows without an answered segment count too."""
        inside = {f"{target.service}/{target.settings_json['gue']}" for target in self.run.targets
                  if target.data_centre == data_centre}
        return sum(count for name, count in flows["broken_by_target"].items() if name not in inside)
