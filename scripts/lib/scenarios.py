"""Scenarios with faults and planned changes on a running deployment under load.

Each scenario is one function, which prints its results as JSON lines; the bounds come from the guarantees in section 2
of the design page.
"""

import argparse
import json
import signal
import sys
import threading
import time
import traceback

import deployment
from scenario_run import Scenario, TableVersionMonitor, state_generation, table_versions


def answered_share(requests, entries):
    started, completed = requests["entries_started"], requests["entries_completed"]
    if not entries:
        started, completed = requests["started"] - started, requests["completed"] - completed
    return round(completed / max(started, 1), 4)


def report_request_losses(scenario, requests, lost_bound):
    scenario.report("requests_lost", requests["unknown"] + requests["no_answer"], "requests", lost_bound)
    scenario.report("requests_not_run", requests["not_run"], "requests", requests["started"] // 100)


def data_centre_move(user):
    """A data centre is taken out by ticket and brought back 10 s later."""
    with Scenario("data_centre_move", user) as scenario:
        cluster = scenario.cluster
        scenario.start_load(20)
        time.sleep(3)
        name = cluster.data_centres[0]
        moved_targets = scenario.targets(cluster.user["flow"], name)
        ticket_time = time.monotonic()
        cluster.ctl("out", name)
        time.sleep(max(0, ticket_time + 3 - time.monotonic()))
        packets_at_3s = [cluster.stats(target)["packets"] for target in moved_targets]
        requests_at_3s = [cluster.stats(target)["requests"]
                          for target in scenario.targets(cluster.user["request"], name)]
        time.sleep(max(0, ticket_time + 10 - time.monotonic()))
        late_packets = sum(cluster.stats(target)["packets"] for target in moved_targets) - sum(packets_at_3s)
        late_requests = sum(cluster.stats(target)["requests"]
                            for target in scenario.targets(cluster.user["request"], name)) - sum(requests_at_3s)
        cluster.ctl("in", name)
        flows, requests = scenario.finish_load()
        scenario.report("packets_3s_after_out", late_packets, "packets", 0)
        scenario.report("requests_3s_after_out", late_requests, "requests", 0)
        scenario.report("broken_in_other_data_centres", scenario.broken_in_other_data_centres(flows, name), "flows", 0)
        scenario.report("failed_to_open", flows["failed_to_open"], "flows", 0)
        scenario.report("lookups_answered", answered_share(requests, False), "share", 0.99, at_least=True)
        scenario.report("entries_answered", answered_share(requests, True), "share", 0.99, at_least=True)
        packets_after_return = (sum(cluster.stats(target)["packets"] for target in moved_targets)
                                - sum(packets_at_3s) - late_packets)
        scenario.report("packets_after_return", packets_after_return, "packets", 1, at_least=True)
        scenario.report_common(flows, requests)
        print(json.dumps({"plot": scenario.load.plot_file}), flush=True)
        return scenario


def planned_stop(user):
    """A balancer is stopped in the planned way and started again; the fabric follows its health checks."""
    with Scenario("planned_stop", user) as scenario:
        scenario.start_load(16)
        time.sleep(3)
        balancer = scenario.cluster.balancers[0]  # The coordinator of its data centre.
        code = balancer.stop()
        time.sleep(1)
        balancer.start()
        flows, requests = scenario.finish_load()
        scenario.report("exit_code", code, "code", 0)
        scenario.report("broken", flows["broken"], "flows", 0)
        scenario.report("failed_to_open", flows["failed_to_open"], "flows", 0)
        report_request_losses(scenario, requests, 0)
        scenario.report_common(flows, requests)
        return scenario


def balancer_kill(user):
    """A balancer is killed; the fabric removes it 1 s later and adds it again after its restart."""
    with Scenario("balancer_kill", user) as scenario:
        scenario.start_load(14)
        time.sleep(3)
        scenario.cluster.balancers[3].kill()
        time.sleep(4)
        scenario.cluster.balancers[3].start()
        flows, requests = scenario.finish_load()
        scenario.report("broken", flows["broken"], "flows", 0)
        # Entries with a request id issued by the killed balancer are answered "unknown" (design, section 6). Ids are
        # valid for 30 s, and one balancer of eight issues about an eighth of them.
        scenario.report("requests_unknown", requests["unknown"], "requests", requests["entries_started"] // 8)
        scenario.report("requests_no_answer", requests["no_answer"], "requests", 0)
        scenario.report_common(flows, requests)
        return scenario


def target_drain(user):
    """A flow target and a request target announce a drain."""
    with Scenario("target_drain", user) as scenario:
        cluster = scenario.cluster
        scenario.start_load(12)
        time.sleep(3)
        flow_target = scenario.targets(cluster.user["flow"])[0]
        request_target = scenario.targets(cluster.user["request"])[0]
        for target in (flow_target, request_target):
            deployment.http("POST", target.http, "/v1/control/drain")
        time.sleep(3)
        opened, received = cluster.stats(flow_target)["opened"], cluster.stats(request_target)["requests"]
        flows, requests = scenario.finish_load()
        scenario.report("new_flows_3s_after_drain", cluster.stats(flow_target)["opened"] - opened, "flows", 0)
        scenario.report("requests_3s_after_drain", cluster.stats(request_target)["requests"] - received, "requests", 0)
        scenario.report("broken", flows["broken"], "flows", 0)
        report_request_losses(scenario, requests, 0)
        scenario.report_common(flows, requests)
        return scenario


def cold_target(user):
    """A request target is killed and restarts cold with a higher incarnation."""
    with Scenario("cold_target", user) as scenario:
        cluster = scenario.cluster
        scenario.start_load(14)
        time.sleep(3)
        target = scenario.targets(cluster.user["request"])[0]
        target.kill()
        time.sleep(0.5)
        target.rewrite_settings(incarnation=2, warm_up_ms=4000)
        target.start()
        flows, requests = scenario.finish_load()
        stats = cluster.stats(target)
        scenario.report("overloads", stats["overloads"], "requests", 0)
        scenario.report("requests_after_return", stats["requests"], "requests", 1, at_least=True)
        scenario.report("broken", flows["broken"], "flows", 0)
        scenario.report_common(flows, requests)
        return scenario


def leader_index(cluster):
    for host in cluster.control_http_endpoints():
        try:
            entries = json.loads(deployment.http("GET", host, "/v1/hosts")[1])
        except (OSError, ValueError):
            continue
        for entry in entries["control_hosts"]:
            if entry["leader"]:
                return entry["host"] - 101
    raise RuntimeError("no control leader found")


def leader_kill(user):
    """The leader of the control hosts is killed and a ticket is applied immediately afterwards."""
    with Scenario("leader_kill", user) as scenario:
        cluster = scenario.cluster
        scenario.start_load(12)
        time.sleep(3)
        before = max(state_generation(cluster, index) for index in cluster.balancer_indices)
        leader = leader_index(cluster)
        cluster.control[leader].kill()
        start = time.monotonic()
        ticket = cluster.write_ticket("ticket2", dict(cluster.ticket, number=2))
        apply_thread = threading.Thread(target=cluster.ctl, args=("apply", ticket), kwargs={"check": False},
                                        daemon=True)
        apply_thread.start()
        cluster.wait_for("the ticket on all balancers", lambda: all(
            state_generation(cluster, index) > before for index in cluster.balancer_indices), 15)
        in_force_s = round(time.monotonic() - start, 2)
        cluster.control[leader].start()
        apply_thread.join(20)
        flows, requests = scenario.finish_load()
        scenario.report("ticket_in_force", in_force_s, "s", 5)
        scenario.report("broken", flows["broken"], "flows", 0)
        report_request_losses(scenario, requests, 0)
        scenario.report_common(flows, requests)
        return scenario


def frozen_data_centre(user):
    """All balancers of one data centre are suspended (SIGSTOP) for 6 s, and a ticket is applied meanwhile."""
    with Scenario("frozen_data_centre", user) as scenario:
        cluster = scenario.cluster
        version_monitor = TableVersionMonitor(cluster)
        version_monitor.start()
        scenario.start_load(20)
        time.sleep(3)
        frozen = [index for index in cluster.balancer_indices
                  if cluster.data_centre_of_balancer(index) == cluster.data_centres[0]]
        for index in frozen:
            cluster.balancers[index].child.send_signal(signal.SIGSTOP)
        try:
            start = time.monotonic()
            cluster.ctl("--deadline", "3000", "apply",
                        cluster.write_ticket("ticket2", dict(cluster.ticket, number=2)), check=False)
            time.sleep(max(0, start + 6 - time.monotonic()))
        finally:
            for index in frozen:
                cluster.balancers[index].child.send_signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        cluster.wait_for("agreement", lambda: balancers_agree(cluster), 15)
        agreement_s = round(time.monotonic() - resumed_at, 2)
        flows, requests = scenario.finish_load()
        version_monitor.stop()
        scenario.report("versions_gone_down", len(version_monitor.regressions), "versions", 0)
        scenario.report("agreement_after_return", agreement_s, "s", 5)
        scenario.report("broken_in_other_data_centres",
                        scenario.broken_in_other_data_centres(flows, cluster.data_centres[0]), "flows", 0)
        scenario.report_common(flows, requests)
        return scenario


def balancers_agree(cluster):
    """Returns whether all balancers have the same state generation and the same version of every table."""
    generations = {state_generation(cluster, index) for index in cluster.balancer_indices}
    versions = [table_versions(cluster, index) for index in cluster.balancer_indices]
    return len(generations) == 1 and all(entry == versions[0] for entry in versions)


SCENARIOS = {function.__name__: function for function in (
    data_centre_move, planned_stop, balancer_kill, target_drain, cold_target, leader_kill, frozen_data_centre)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="scenarios: " + ", ".join(SCENARIOS))
    parser.add_argument("--user", choices=sorted(deployment.USERS), default="agency")
    arguments = parser.parse_args()
    unknown = [name for name in arguments.names if name not in SCENARIOS]
    if unknown:
        parser.error(f"no scenario {', '.join(unknown)}; there are {', '.join(SCENARIOS)}")
    failed = []
    for name in arguments.names or SCENARIOS:
        try:
            scenario = SCENARIOS[name](arguments.user)
            failed += scenario.failed_checks
            print(json.dumps({"logs": str(scenario.cluster.folder)}), flush=True)
        except Exception:  # A scenario that cannot finish has failed; the others still run.
            traceback.print_exc()
            failed.append(f"scenario_{name}")
    print("failed: " + ", ".join(failed) if failed else "all scenarios passed", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
