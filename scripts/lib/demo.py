"""Runs the demo: 8 balancers in 3 data centres, both services of one user, and a fabric that sends each packet to a
random balancer.

During the run a ticket is applied and new targets join. Exits with 0 only if every checked guarantee held.
"""

import copy
import sys
import time

import deployment

DURATION_MS = 12000


def main():
    user = sys.argv[1] if len(sys.argv) > 1 else "agency"
    cluster = deployment.Deployment(user)
    problems = []

    def check_at_most(name, value, bound):
        passed = value <= bound
        print(f"{'ok  ' if passed else 'FAIL'} {name}: {value} (at most {bound})")
        if not passed:
            problems.append(name)

    try:
        print(f"starting 3 control hosts, {len(cluster.balancers)} balancers, {len(cluster.targets)} targets")
        cluster.start()
        flow_targets = [target for target in cluster.targets if target.service == cluster.user["flow"]]
        request_targets = [target for target in cluster.targets if target.service == cluster.user["request"]]
        warm_up_load = cluster.make_load("warmup", 1000, flows={"rate": 5, "hold_ms": 500}, requests={"rate": 5})
        cluster.wait_for("targets in the tables", lambda: warm_run_succeeds(cluster, warm_up_load), 40)
        time.sleep(9)  # The allowance of new targets rises in steps of 2 s.
        load = cluster.make_load("load", DURATION_MS, plot=True,
                                 flows={"rate": 200, "hold_ms": 4000, "segment_interval_ms": 150},
                                 requests={"rate": 200, "post_share": 0.3})
        load.start()
        time.sleep(3)
        print("a ticket doubles the weight of one data centre, and two targets join", cluster.user["flow"])
        ticket = copy.deepcopy(dict(cluster.ticket, number=2))
        for service in ticket["services"]:
            service["weights"][0]["weight"] = 2
        cluster.ctl("apply", cluster.write_ticket("ticket2", ticket))
        new_targets = [cluster.make_target(cluster.user["flow"], 4 + index, 110 + index).start() for index in range(2)]
        cluster.targets += new_targets
        if load.child.wait(60) != 0:
            problems.append("load tool failed")
        flows, requests = load.report()["services"]
        print(f"flows: {flows['started']} started, {flows['established']} established, "
              f"{flows['completed']} completed, p99 {flows['latency_us']['p99']} us")
        print(f"requests: {requests['started']} started, {requests['completed']} answered, "
              f"{requests['not_run']} not run, {requests['unknown']} unknown, p99 {requests['latency_us']['p99']} us")
        check_at_most("broken flows", flows["broken"], 0)
        check_at_most("flows that did not open", flows["failed_to_open"], 0)
        check_at_most("segments of a wrong target", flows["wrong_answers"], 0)
        check_at_most("wrong or truncated answers", requests["wrong_answers"] + requests["truncated_answers"], 0)
        check_at_most("requests without an answer", requests["no_answer"], 0)
        check_at_most("requests not answered by a target", requests["not_run"] + requests["unknown"],
                      requests["started"] // 100)
        check_at_most("misdelivered packets", cluster.sum_stat("misdelivered"), 0)
        check_at_most("double records", cluster.sum_stat("double_records", request_targets), 0)
        new_flows = cluster.sum_stat("opened", new_targets)
        print(f"the new targets took {new_flows} flows; the first ones {cluster.sum_stat('opened', flow_targets)}")
        check_at_most("new targets without flows", int(new_flows == 0), 0)
        print("plot of the run:", load.plot_file)
    finally:
        cluster.stop()
    print("demo failed: " + ", ".join(problems) if problems else "demo passed")
    return 1 if problems else 0


def warm_run_succeeds(cluster, load):
    """Runs a short load; returns whether every request and flow of every service completed."""
    load.start()
    load.child.wait(30)
    reports = load.report()["services"]
    return all(report["completed"] == report["started"] for report in reports)


if __name__ == "__main__":
    sys.exit(main())
