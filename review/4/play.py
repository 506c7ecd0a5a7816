"""A heartbeat of another writer, with a service that no configuration names, holds the address of a running server."""

import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
sys.dont_write_bytecode = True

import packets  # noqa: E402
import small_system as small  # noqa: E402

ROUTE_PORT = 8001
WATCH_S = 6.0


def count_new_flows(system, clients, servers):
    """Records where flows go afterwards; no part of the check."""
    taken = {server.id: len(server.took_syn) for server in servers}
    for client in clients:
        flow = client.flow(ROUTE_PORT)
        if flow.open():
            flow.request("later")
            flow.close()
    system.record("new flows by server: " + json.dumps({server.id: len(server.took_syn) - taken[server.id]
                                                        for server in servers}))


def play(system):
    for daemon in system.daemons:
        daemon.start(bootstrap=True)
    if system.put_config(system.control_addresses, small.document(3))[0] != 200:
        raise small.CouldNotRun("the configuration is not acknowledged")
    servers = [packets.Server(system, "desk", f"127.{system.network}.3.{number}") for number in (1, 2, 3)]
    for server in servers:
        if not server.announced.wait(10):
            raise small.CouldNotRun("a server is not registered")
        system.record(f"server {server.id} of desk at {server.address}:{server.port}, born {server.born}")
    time.sleep(small.STABLE_WINDOW_S + 1.0)  # Everything is in touch from now on.

    clients = [packets.Client(system, f"127.{system.network}.4.{number + 1}", system.balancers) for number in range(9)]
    flows = [client.flow(ROUTE_PORT) for client in clients]
    for number, flow in enumerate(flows):
        if not flow.open() or flow.request(f"first-{number}") != "answered":
            raise small.CouldNotRun("a flow does not open")
    held = {flow: next(server for server in servers if flow.echo == server.number) for flow in flows}
    system.record("open flows by server: " + json.dumps({server.id: sum(held[flow] is server for flow in flows)
                                                         for server in servers}))

    if small.TROUBLE:
        named = held[flows[0]]
        body = json.dumps({"Service": "node-agent", "Address": f"{named.address}:{named.port}", "Zone": named.zone,
                           "Version": "v1", "Capacity": 2, "State": "ready", "WarmupLeftMs": 0, "Seq": 1,
                           "born": int(time.time() * 1000)})
        other = f"i-{os.urandom(4).hex()}"
        status = system.request(system.control_addresses[0], "PUT", f"/instances/{other}", body)[0]
        system.record(f"another writer: PUT /instances/{other} {body}: {status}")

    broken = []
    deadline, turn = time.monotonic() + WATCH_S, 0
    while time.monotonic() < deadline:
        for number, flow in enumerate(flows):
            if not flow.is_open:
                continue
            outcome = flow.request(f"next-{turn}-{number}", limit_s=0.5)
            server = held[flow]
            if outcome == "reset":
                sender = "its server" if flow.reset_by == server.number & 0xFFFFFFFF else "the system"
                system.record(f"flow {number} at {server.id}, which runs ({server.alive}), is reset by {sender}")
                if flow.reset_by == 0 and server.alive:
                    broken.append(number)
        turn += 1
        time.sleep(0.2)
    for flow in flows:
        flow.close()
    count_new_flows(system, clients, servers)
    for client in clients:
        client.close()
    for server in servers:
        server.end()
    if broken:
        return f"{len(broken)} open flows at a running server got a reset that the server did not send"
    return None


sys.exit(small.run_case(FOLDER, play, balancers=2))
