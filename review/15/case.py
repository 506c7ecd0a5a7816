"""A server becomes cold again before it was warm, and tells so. The rule FAILBACK is judged from what it gets."""

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
WARMUP_S, COLD_PER_S = 4.0, 10.0
FLOWS_PER_S = 240
EVACUATED_S = 2.3
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
        return await world.add_server(SERVICE, f"{prefix}.3.{number + 1}", ZONES[number])
    await world.start(CONFIG, [lambda number=number: add(number) for number in range(3)])
    for number, zone in enumerate(ZONES):
        client = await world.add_client(f"{prefix}.4.{number + 1}", zone)
        world.tasks.append(asyncio.ensure_future(world.keep_calling(client, PORT, FLOWS_PER_S / len(ZONES))))
    await asyncio.sleep(3.0)

    # Planned: a server is added in zone-c, and the zone is emptied and taken back.
    added = await world.add_server(SERVICE, f"{prefix}.3.9", ZONES[2], announce=False)
    started = time.monotonic()
    added.cold_until = started + WARMUP_S
    world.tasks.append(asyncio.ensure_future(added.announce()))
    await asyncio.sleep(0.05)
    await world.order("POST", f"/evacuate/{ZONES[2]}")
    await asyncio.sleep(started + EVACUATED_S - time.monotonic())
    if world.trouble:
        # The server has become cold again. Its next heartbeat tells it; what arrives before isn't counted.
        sequence = added.sequence
        added.cold_until, added.cold_known_at = time.monotonic() + WARMUP_S, float("inf")
        world.note("cold_again", server=added.identity, until_s=round(added.cold_until - world.started, 3))
    await world.order("DELETE", f"/evacuate/{ZONES[2]}")
    if world.trouble:
        while added.acknowledged <= sequence:
            await asyncio.sleep(0.02)
        added.cold_known_at = time.monotonic()
        world.note("cold_known", server=added.identity, left_ms=round(added.warmup_left_ms()))
    await asyncio.sleep(started + 8.0 - time.monotonic())
    most = world.judge_cold(added)
    world.note("result", most_in_a_second=most, limit=world.limit, outcomes=world.outcomes)
    print(f"cold server: at most {most} requests in one second, the limit is {world.limit:g}; flows {world.outcomes}")
    if world.outcomes.get("served", 0) < 500:
        raise RuntimeError(f"too few requests were served: {world.outcomes}")


if __name__ == "__main__":
    sys.exit(standins.run("cold again", make_world, play))
