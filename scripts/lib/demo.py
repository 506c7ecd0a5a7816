"""The demo: 8 balancers in 3 data centres, both services of one user, a fabric that sprays every packet at random, and
a ticket and new targets during the run. Exits 0 only if every promise that it exercised held."""

import copy
import sys
import time

import deployment

DURATION_MS = 12000


def main():
    user = sys.argv[1] if len(sys.argv) > 1 else "agency"
    run = deployment.Deployment(user)
    problems = []

    def expect(name, value, bound):
        holds = value <= bound
        print(f"{'ok  ' if holds else 'FAIL'} {name}: {value} (at most {bound})")
        if not holds:
            problems.append(name)

    try:
        print(f"starting 3 control hosts, {len(run.balancers)} balancers, {len(run.targets)} targets")
        run.start()
        flow_targets = [target for target in run.targets if target.service == run.user["flow"]]
        request_targets = [target for target in run.targets if target.service == run.user["request"]]
        warm = run.make_load("warmup", 1000, flows={"rate": 5, "hold_ms": 500}, requests={"rate": 5})
        run.wait("targets in the tables", lambda: warm_run(run, warm), 40)
        time.sleep(9)  # Targets climb the ramp in steps of 2 s.
        load = run.make_load("load", DURATION_MS, plot=True,
                             flows={"rate": 200, "hold_ms": 4000, "segment_interval_ms": 150},
                             requests={"rate": 200, "post_share": 0.3})
        load.start()
        time.sleep(3)
        print("a ticket doubles the weight of one data centre, and two targets join", run.user["flow"])
        ticket = copy.deepcopy(dict(run.ticket, number=2))
        for service in ticket["services"]:
            service["weights"][0]["weight"] = 2
        run.ctl("apply", run.write_ticket("ticket2", ticket))
        joined = [run.make_target(run.user["flow"], 4 + index, 110 + index).start() for index in range(2)]
        run.targets += joined
        if load.child.wait(60) != 0:
            problems.append("load tool failed")
        flows, requests = load.report()["services"]
        print(f"flows: {flows['started']} started, {flows['established']} established, "
              f"{flows['completed']} completed, p99 {flows['latency_us']['p99']} us")
        print(f"requests: {requests['started']} started, {requests['completed']} answered, "
              f"{requests['not_run']} not run, {requests['unknown']} unknown, p99 {requests['latency_us']['p99']} us")
        expect("broken flows", flows["broken"], 0)
        expect("flows that did not open", flows["failed_to_open"], 0)
        expect("segments of a wrong target", flows["wrong_answers"], 0)
        expect("wrong or truncated answers", requests["wrong_answers"] + requests["truncated_answers"], 0)
        expect("requests without an answer", requests["no_answer"], 0)
        expect("requests not answered by a target", requests["not_run"] + requests["unknown"],
               requests["started"] // 100)
        expect("misdelivered packets", run.total("misdelivered"), 0)
        expect("double records", run.total("double_records", request_targets), 0)
        new_flows = run.total("opened", joined)
        print(f"the new targets took {new_flows} flows; the first ones {run.total('opened', flow_targets)}")
        expect("new targets without flows", int(new_flows == 0), 0)
        print("plot of the run:", load.plot_file)
    finally:
        run.stop()
    print("demo failed: " + ", ".join(problems) if problems else "demo passed")
    return 1 if problems else 0


def warm_run(run, load):
    """True once a short run finds every service served."""
    load.start()
    load.child.wait(30)
    reports = load.report()["services"]
    return all(report["completed"] == report["started"] for report in reports)


if __name__ == "__main__":
    sys.exit(main())
