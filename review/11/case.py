"""A server leaves while one control host is frozen, and starts again under its id. The frozen host then carries the old
call out. The rule FLOW is judged from what clients get on flows that are open at the running server."""

import asyncio
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-3"))
sys.dont_write_bytecode = True

import standins  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE, PORT = "desk", 8443
FREEZE_S = 4.0
CONFIG = {"Version": 7,
          "Routes": [{"Name": "r-desk", "Host": standins.PUBLIC_HOST, "PathPrefix": f"/{PORT}/", "Type": "unsafe",
                      "TimeoutMs": 2500, "SloMs": 150, "Priority": 1, "Service": SERVICE, "MaxAttempts": 2}],
          "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False,
                        "WarmupS": 2.0, "ColdPerS": 0.0}],
          "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class World(standins.World):
    def __init__(self):
        super().__init__(CASE, ZONES, controls=3, balancers=6)
        self.server_of = {}

    def flow_opened(self, server, key):
        self.server_of[key] = server


async def find_follower(world):
    """A control host that redirects reads, so that the leader is another one."""
    for host in world.control:
        status, _ = await world.call(host, "GET", "/config", redirects=0)
        if status == 307:
            return host
    raise RuntimeError("no control host redirects")


async def leave(world, server, first):
    """Tells that the server has ended: one control host after the other, until one acknowledges it."""
    for host in [first, *(h for h in world.control if h != first)]:
        status, _ = await world.call(host, "DELETE", f"/instances/{server.identity}")
        world.note("leave", server=server.identity, at=host, status=status)
        if status == 200:
            return
    raise RuntimeError("no control host acknowledges that the server leaves")


async def play(world):
    prefix = f"127.{world.network}"

    async def add(number, **options):
        return await world.add_server(SERVICE, f"{prefix}.3.{number + 1}", ZONES[number], keep=True, **options)
    await world.start(CONFIG, [lambda number=number: add(number) for number in range(3)])
    clients = [await world.add_client(f"{prefix}.4.{number + 1}", zone) for number, zone in enumerate(ZONES)]
    await asyncio.sleep(4.5)

    # Planned: the server drains, leaves, and starts again under its id.
    old = world.servers[1]
    old.state = "draining"
    if await old.beat() is None:
        raise RuntimeError("the drain is not acknowledged")
    await asyncio.sleep(standins.BOUNDS["DrainMs"] / 1000 + 0.3)
    follower = await find_follower(world)
    frozen = next(d for d in world.control_daemons if d.address == follower)
    if world.trouble:
        frozen.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    await leave(world, old, follower)
    old.alive = False
    old.transport.close()
    world.note("server_ended", server=old.identity)
    await asyncio.sleep(0.3)
    new = await add(1, identity=old.identity, announce=False)
    if await new.beat() is None:
        raise RuntimeError("the start is not acknowledged")
    world.tasks.append(asyncio.ensure_future(new.announce()))

    # Clients open flows, each with a request, and keep them open.
    flows = []
    for number in range(36):
        flow = await clients[number % 3].open_flow(PORT)
        if flow.state == "open" and await flow.request(2.0):
            flows.append(flow)
    at_new = [flow for flow in flows if world.server_of.get(flow.key) is new]
    if len(at_new) < 3:
        raise RuntimeError(f"only {len(at_new)} of {len(flows)} flows are open at the server")
    await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
    if world.trouble:
        frozen.signal(signal.SIGCONT)

    # All machines are in touch again before the clients go on.
    await asyncio.sleep(standins.BOUNDS["StableWindowMs"] / 1000 + 1.0)
    served = resets = 0
    for flow in flows:
        answer = await flow.request(2.0) if flow.state == "open" else None
        served += answer is not None
        if flow.reset_by == "system":
            resets += 1
            server = world.server_of[flow.key]
            if server.alive:
                world.violate("FLOW", f"the flow from port {flow.sport} is reset by the system; its server "
                                      f"{server.identity} runs and has had no disruption")
    # For information: how many new flows the server gets.
    before = len(new.opened)
    for number in range(36):
        await clients[number % 3].open_flow(PORT)
    world.note("result", flows=len(flows), at_new=len(at_new), served=served, resets=resets,
               new_flows_at_server=len(new.opened) - before, heartbeats_acknowledged=new.acknowledged)
    print(f"{len(flows)} open flows, {len(at_new)} of them at the server: {served} requests served, {resets} resets; of 36 "
          f"new flows the server gets {len(new.opened) - before}, heartbeat {new.acknowledged} is acknowledged")


if __name__ == "__main__":
    sys.exit(standins.run("late leave", World, play))
