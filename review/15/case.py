"""A zone is evacuated and taken back, and its servers have become cold shortly before. The rule FAILBACK is judged from what
they get."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-3"))
sys.dont_write_bytecode = True

import standins  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE, PORT = "desk", 8443
WARMUP_S, COLD_PER_S = 2.0, 10.0
FLOWS_PER_S = 450
EVACUATED_S = 8.0
CONFIG = {"Version": 7,
          "Routes": [{"Name": "r-desk", "Host": standins.PUBLIC_HOST, "PathPrefix": f"/{PORT}/", "Type": "unsafe",
                      "TimeoutMs": 2500, "SloMs": 150, "Priority": 1, "Service": SERVICE, "MaxAttempts": 2}],
          "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False,
                        "WarmupS": WARMUP_S, "ColdPerS": COLD_PER_S}],
          "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def make_world():
    return standins.ColdWorld(CASE, ZONES, controls=3, balancers=6, cold_per_s=COLD_PER_S)


async def play(world):
    prefix = f"127.{world.network}"

    async def add(number):
        return await world.add_server(SERVICE, f"{prefix}.3.{number + 1}", ZONES[number % 3])
    await world.start(CONFIG, [lambda number=number: add(number) for number in range(9)])
    for number, zone in enumerate(ZONES):
        client = await world.add_client(f"{prefix}.4.{number + 1}", zone)
        world.tasks.append(asyncio.ensure_future(world.keep_calling(client, PORT, FLOWS_PER_S / len(ZONES))))
    await asyncio.sleep(4.0)
    await world.order("POST", f"/evacuate/{ZONES[2]}")
    await asyncio.sleep(EVACUATED_S - 0.2)
    returning = [server for server in world.servers if server.zone == ZONES[2]]
    if world.trouble:
        for server in returning:
            server.cold_until = time.monotonic() + WARMUP_S
            world.note("cold", server=server.identity, until_s=round(server.cold_until - world.started, 3))
    await asyncio.sleep(0.2)
    await world.order("DELETE", f"/evacuate/{ZONES[2]}")
    await asyncio.sleep(WARMUP_S + 2.0)
    most = [world.judge_cold(server) for server in returning]
    world.note("result", most_in_a_second=most, limit=world.limit, outcomes=world.outcomes)
    print(f"cold servers: at most {most} requests in one second, the limit is {world.limit:g}; flows {world.outcomes}")
    if world.outcomes.get("served", 0) < 500:
        raise RuntimeError(f"too few requests were served: {world.outcomes}")


if __name__ == "__main__":
    sys.exit(standins.run("return", make_world, play))
