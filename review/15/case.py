"""All processes are killed while a server is cold. The rule FAILBACK is judged from what the server gets afterwards."""

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
WARMUP_S, COLD_PER_S = 8.0, 20.0
FLOWS_PER_S = 300
# All processes are back within a second.
FIRST_BACK_S, LAST_BACK_S = 0.2, 0.9
CONFIG = {"Version": 7,
          "Routes": [{"Name": "r-desk", "Host": standins.PUBLIC_HOST, "PathPrefix": f"/{PORT}/", "Type": "unsafe",
                      "TimeoutMs": 2500, "SloMs": 150, "Priority": 1, "Service": SERVICE, "MaxAttempts": 2}],
          "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False,
                        "WarmupS": WARMUP_S, "ColdPerS": COLD_PER_S}],
          "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def make_world():
    return standins.ColdWorld(CASE, ZONES, controls=3, balancers=9, cold_per_s=COLD_PER_S)


async def play(world):
    prefix = f"127.{world.network}"

    async def add_first():
        await world.add_server(SERVICE, f"{prefix}.3.1", ZONES[0])
    await world.start(CONFIG, [add_first])
    for number, zone in enumerate(ZONES):
        client = await world.add_client(f"{prefix}.4.{number + 1}", zone)
        world.tasks.append(asyncio.ensure_future(world.keep_calling(client, PORT, FLOWS_PER_S / len(ZONES))))
    await asyncio.sleep(3.0)

    # Planned: the server is replaced. The new one starts first, and the old one drains.
    old = world.servers[0]
    new = await world.add_server(SERVICE, f"{prefix}.3.9", ZONES[1], announce=False)
    new.cold_until = time.monotonic() + WARMUP_S
    world.tasks.append(asyncio.ensure_future(new.announce()))
    await asyncio.sleep(1.0)
    old.state = "draining"
    if await old.beat() is None:
        raise RuntimeError("the drain is not acknowledged")
    await asyncio.sleep(1.5)
    before = standins.most_in_a_second(world.cold_arrivals.get(new.identity, []))
    if world.trouble:
        for daemon in world.daemons:
            daemon.signal(signal.SIGKILL)
        killed = time.monotonic()
        for daemon in world.daemons:
            daemon.process.wait()
        first, *others = world.control_daemons
        await asyncio.sleep(killed + FIRST_BACK_S - time.monotonic())
        for daemon in world.shuffled([first, *world.balancer_daemons]):
            daemon.start()
        await asyncio.sleep(killed + LAST_BACK_S - time.monotonic())
        for daemon in others:
            daemon.start()
    await asyncio.sleep(max(0.0, new.cold_until - time.monotonic()))
    most = world.judge_cold(new)
    world.note("result", before=before, most_in_a_second=most, limit=world.limit,
               outcomes=world.outcomes)
    print(f"cold server: at most {most} requests in one second, {before} before the kill; the limit is {world.limit:g}; "
          f"flows {world.outcomes}")
    if world.outcomes.get("served", 0) < 100:
        raise RuntimeError(f"too few requests were served: {world.outcomes}")


if __name__ == "__main__":
    sys.exit(standins.run("all killed", make_world, play))
