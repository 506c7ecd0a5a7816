"""A balancer is cut off while a route is dropped and the control hosts are killed and started again.

Exit code 1 if the dropped route is served after that, 0 if not, 2 if the case could not run.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import deployment as d  # noqa: E402

STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
KEPT, DROPPED = ("127.198.18.1", 8443), ("127.198.18.2", 8443)


def play(system, record, trouble):
    system.start_all()
    both = {KEPT: "desk", DROPPED: "desk"}
    if system.order("PUT", "/config", d.config(3, both, ["desk"]), 20)[0] != 200:
        return 2
    servers = [d.Server(system, "desk", n, system.zones[n % 3]) for n in range(4)]
    client = d.Client(system)
    time.sleep(4)
    for balancer in system.balancers:
        if client.request(balancer, DROPPED)[2] != "ok" or client.request(balancer, KEPT)[2] != "ok":
            return 2
    if system.order("POST", "/evacuate/zone-b")[0] != 200:
        return 2
    time.sleep(1)
    if trouble:
        system.cut("balancer-1", True)
    time.sleep(0.5)
    status, _, acknowledged = system.order("PUT", "/config", d.config(7, {KEPT: "desk"}, ["desk"]))
    if status != 200:
        return 2
    time.sleep(1)
    if trouble:
        system.kill(system.controls)
        time.sleep(0.5)
        for name in system.controls:
            system.start(name)
    time.sleep(2.5)
    if trouble:
        system.cut("balancer-1", False)
    time.sleep(STABLE_WINDOW_S + CONFIG_APPLY_S)
    late = []
    for _ in range(5):
        for balancer in system.balancers:
            request, sent, _ = client.request(balancer, DROPPED)
            late.append((request, sent, balancer))
            if client.request(balancer, KEPT)[2] != "ok":
                return 2
    ran = {run[1] for server in servers for run in server.runs}
    broken = [(request, balancer) for request, sent, balancer in late
              if request in ran and sent > acknowledged + CONFIG_APPLY_S]
    for request, balancer in broken:
        record(f"CONFIG broken: {request} through {balancer} was run on a route that version 7 dropped")
    return 1 if broken else 0


if __name__ == "__main__":
    d.run_case(os.path.dirname(os.path.abspath(__file__)), play, balancers=2, proxied=True)
