"""Runs a deployment under load for a scenario and reports results; the fabric follows the health of the balancers."""

import json
import threading
import time

import deployment

# A balancer that has not answered its health checks for this long is removed from the fabric.
HEALTH_TIMEOUT_S = 1.0
HEALTH_INTERVAL_S = 0.1
# The ramp raises the allowance of a new target to its full value in three steps of 2 s.
RAMP_S = 7.0


class FabricHealthChecker(threading.Thread):
    """Removes a balancer from the fabric when its health checks fail or time out, and adds it when it is healthy."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.in_fabric = {index: True for index in cluster.balancer_indices}
        self.last_answer = {index: time.monotonic() for index in cluster.balancer_indices}
        self.stopping = threading.Event()
        self.changes = []

    def run(self):
        checks = [threading.Thread(target=self.poll_balancer, args=(index,), daemon=True) for index in self.in_fabric]
        for check in checks:
            check.start()
        for check in checks:
            check.join()

    def poll_balancer(self, index):
        while not self.stopping.wait(HEALTH_INTERVAL_S):
            self.set_in_fabric(index, self.answers_healthy(index))

    def answers_healthy(self, index):
        try:
            endpoint = self.cluster.balancer_http_endpoint(index)
            status = deployment.http("GET", endpoint, "/v1/health", timeout=0.5)[0]
        except (OSError, ValueError):
            return self.in_fabric[index] and time.monotonic() - self.last_answer[index] < HEALTH_TIMEOUT_S
        self.last_answer[index] = time.monotonic()
        return status == 200

    def set_in_fabric(self, index, is_up):
        if is_up == self.in_fabric[index]:
            return
        verb = "up" if is_up else "down"
        path = f"/v1/balancers/{self.cluster.balancer_data_endpoint(index)}/{verb}"
        deployment.http("POST", self.cluster.fabric_http_endpoint, path)
        self.in_fabric[index] = is_up
        self.changes.append((time.monotonic(), index, verb))

    def stop(self):
        self.stopping.set()
        self.join(5)


class TableVersionMonitor(threading.Thread):
    """Samples the table versions of each balancer and records every version that decreases."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.stopping = threading.Event()
        self.highest = {}
        self.regressions = []

    def run(self):
        while not self.stopping.wait(0.2):
            for index in self.cluster.balancer_indices:
                try:
                    self.record_versions(index, table_versions(self.cluster, index))
                except (OSError, ValueError):
                    continue

    def record_versions(self, index, versions):
        for key, version in versions.items():
            if version < self.highest.get((index, key), version):
                self.regressions.append((index, key, self.highest[(index, key)], version))
            self.highest[(index, key)] = max(version, self.highest.get((index, key), version))

    def stop(self):
        self.stopping.set()
        self.join(5)


def table_versions(cluster, index):
    """Returns the table versions of one balancer as (epoch, generation) by (service, data centre)."""
    endpoint = cluster.balancer_http_endpoint(index)
    tables = json.loads(deployment.http("GET", endpoint, "/v1/members", timeout=0.5)[1])["tables"]
    return {(table["service"], table["data_centre"]): (table["epoch"], table["generation"]) for table in tables}


def state_generation(cluster, index):
    """Returns the generation of the replicated state in force on one balancer."""
    text = deployment.http("GET", cluster.balancer_http_endpoint(index), "/metrics", timeout=0.5)[1]
    lines = [line for line in text.splitlines() if line.startswith("fighatch_state_generation ")]
    return float(lines[0].split()[1])


class Scenario:
    """One run of a scenario: starts the deployment, applies load while the scenario acts, and prints the results."""

    def __init__(self, name, user, **options):
        self.name = name
        self.user = user
        self.cluster = deployment.Deployment(user, **options)
        self.failed_checks = []
        self.fabric_health = None
        self.load = None

    def __enter__(self):
        try:
            return self.prepare()
        except BaseException:
            self.cluster.stop()
            raise

    def prepare(self):
        self.cluster.start()
        warm_up_load = self.cluster.make_load("warmup", 1000, flows={"rate": 5, "hold_ms": 500}, requests={"rate": 5})
        self.cluster.wait_for("targets in the tables", lambda: self.warm_run_succeeds(warm_up_load), 40)
        time.sleep(RAMP_S)
        self.fabric_health = FabricHealthChecker(self.cluster)
        self.fabric_health.start()
        return self

    def __exit__(self, *exception):
        if self.fabric_health:
            self.fabric_health.stop()
        if self.load:
            self.load.kill()
        self.cluster.stop()

    @staticmethod
    def warm_run_succeeds(warm_up_load):
        warm_up_load.start()
        warm_up_load.child.wait(30)
        return all(report["completed"] == report["started"] for report in warm_up_load.report()["services"])

    def start_load(self, duration_s, rate=100, post_share=0.3, hold_ms=4000):
        self.load = self.cluster.make_load(
            "load", int(duration_s * 1000), plot=True,
            flows={"rate": rate, "hold_ms": hold_ms, "segment_interval_ms": 200},
            requests={"rate": rate, "post_share": post_share})
        self.load.start()

    def finish_load(self):
        """Waits for the load tool; returns the reports of the flows and of the requests."""
        code = self.load.child.wait(120)
        if code != 0:
            raise RuntimeError(f"load tool ended with {code}; logs are in {self.cluster.folder}")
        flows, requests = self.load.report()["services"]
        return flows, requests

    def report(self, value_name, value, unit, bound, at_least=False):
        passed = value >= bound if at_least else value <= bound
        line = {"name": f"scenario_{self.name}/{self.user}/{value_name}", "value": value, "unit": unit,
                "bound": bound, "baseline": None, "pass": passed}
        print(json.dumps(line), flush=True)
        if not passed:
            self.failed_checks.append(line["name"])

    def report_common(self, flows, requests):
        """Reports the results that must hold in every scenario, whatever the fault."""
        print(json.dumps({"broken_by_target": flows["broken_by_target"], "fabric": [
            change[1:] for change in self.fabric_health.changes], "not_run": requests["not_run"],
            "unknown": requests["unknown"], "no_answer": requests["no_answer"], "codes": requests["codes"],
            "flows": flows["started"], "requests": requests["started"]}), flush=True)
        self.report("wrong_segments", flows["wrong_answers"], "segments", 0)
        self.report("wrong_or_truncated_answers", requests["wrong_answers"] + requests["truncated_answers"],
                    "answers", 0)
        self.report("misdelivered", self.cluster.sum_stat("misdelivered"), "packets", 0)
        records_by_key = self.records_by_key()
        self.report("double_records", sum(count - 1 for count in records_by_key.values()), "records", 0)
        wrongly_not_run = [key for key in requests["not_run_keys"] if key in records_by_key]
        self.report("not_run_but_recorded", len(wrongly_not_run), "entries", 0)

    def records_by_key(self):
        """Returns the number of records per idempotency key, summed over all running targets."""
        counts = {}
        for target in self.targets(self.cluster.user["request"]):
            for key, count in json.loads(deployment.http("GET", target.http, "/v1/records")[1]).items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def targets(self, service=None, data_centre=None):
        return [target for target in self.cluster.targets if target.is_running()
                and service in (None, target.service) and data_centre in (None, target.data_centre)]

    def broken_in_other_data_centres(self, flows, data_centre):
        """Counts broken flows of targets in other data centres, including flows without an answered segment."""
        targets_in_data_centre = {f"{target.service}/{target.settings['gue']}" for target in self.cluster.targets
                  if target.data_centre == data_centre}
        return sum(count for name, count in flows["broken_by_target"].items() if name not in targets_in_data_centre)
