"""The daemon that runs a step is killed; the answer to the write by which another daemon takes the
batch job over is lost."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import (App, BOUNDS, Engine, Fleet, HOST, MODEL, call, configuration, main,  # noqa: E402
                      now)

CONTACT_S = BOUNDS["contact_ms"] / 1000
DEADLINE_S = 12  # How long the trainer waits (SYSTEM.md, `bulletin`).
LYING_S = 5  # "at no server for 5 s of steady state"
DARK_S = 3.2  # How long the killed daemon is away; the site has 2.7 to 3.5 s.
LATE_S = 0.4  # How much later the store does the write whose answer is lost.
GROUPS, SIZE, EVENTS = 6, 4, 40  # 40 ms an event.
JOB = "7c41e09b52d6a3f8"


def step_body():
    requests = []
    for number in range(GROUPS * SIZE):
        requests.append({
            "id": f"{JOB[-4:]}{number:04}", "path": f"/lots/{number}",
            "headers": {"Model": MODEL, "Token-Count": "20,60", "Length-Hint": str(EVENTS)},
            "body": "cHJvbXB0", "tokens": 80, "group": f"g{number // SIZE}",
            "scorer": {"id": f"5c0e{number:04}", "host": HOST, "path": "/score/x", "body": "3q2+7w=="}})
    return json.dumps({"step": 0, "model": MODEL, "min_version": 1, "desired": GROUPS,
                       "requests": requests}).encode()


async def scenario(record, trouble):
    fleet = Fleet(record, ["front-1", "front-2", "front-3"])
    try:
        return await play(fleet, record, trouble)
    finally:
        fleet.stop(os.environ.get("KEEP_LOGS"))


async def play(fleet, record, trouble):
    store = fleet.store
    lots = {"name": "lots", "host": HOST, "path_prefix": "/lots/", "kind": "rollout",
            "service": "llm", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
            "max_attempts": 3, "result_deadline_ms": 7500, "max_queue_s": 12}
    score = {"name": "score", "host": HOST, "path_prefix": "/score/", "kind": "safe",
             "service": "app", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
             "max_attempts": 4}
    services = [{"name": "llm", "health_path": "/health", "max_conns": 150, "engine": {}},
                {"name": "app", "health_path": "/health", "max_conns": 110}]
    store.put("config", "main", spec=configuration(1, [lots, score], services))
    engines = [Engine(record, store, number) for number in range(4)]
    apps = [App(record, store, number) for number in range(3)]
    for server in engines + apps:
        server.events = lambda item: EVENTS
        await server.start()
    await fleet.start()
    record("3 daemons are ready")
    await asyncio.sleep(6)  # The daemons' first loads of all jobs are over.

    def owner():
        spec = store.spec("heronbend-work", JOB)
        return spec and spec["owner"]["name"]

    asked = now()
    answer = await call(fleet.daemons[0].front, "POST", "/lots/step",
                        [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")],
                        step_body())
    record(f"trainer: asks for a step at front-1: {answer and answer.status}")
    if not answer or answer.status != 202:
        raise RuntimeError("the batch job was not accepted")
    await asyncio.sleep(0.5)
    first = fleet.by_name(owner())
    record(f"{first.name} runs the step; {sum(engine.running for engine in engines)} items are at servers")
    alive = [daemon for daemon in fleet.daemons if not trouble or daemon is not first]
    if trouble:
        lost_at = []

        def lose(address, request):
            """The answer to the first write of the ownership is lost."""
            if request.method == "PUT" and request.path.endswith(f"/heronbend-work/{JOB}"):
                store.fault = lambda address, request: None
                lost_at.append(now())
                # Done a little late: after the load of all ownerships that follows a lost daemon.
                return LATE_S
            return None

        store.fault = lose
        first.kill()
        back_at = now() + DARK_S
        record(f"{first.name} is killed, and dark for {DARK_S} s")

        async def restart():
            await asyncio.sleep(DARK_S)
            first.start()
            record(f"{first.name} is started again")

        asyncio.ensure_future(restart())

    # The trainer reads twice a second, each time at another daemon.
    results, turn = [], 0
    while now() < asked + DEADLINE_S and len(results) < GROUPS * SIZE:
        daemon = alive[turn % len(alive)]
        turn += 1
        answer = await call(daemon.front, "GET", f"/api/lots/{JOB}?after_rev={len(results)}",
                            [("Host", HOST)], timeout=1.5)
        status = answer.status if answer else None
        if status == 200:
            results += answer.json()["results"]
        record(f"trainer: reads at {daemon.name}: {status}; {len(results)} of {GROUPS * SIZE} results")
        await asyncio.sleep(0.5)
    ended = now()
    if trouble:
        if not lost_at:
            raise RuntimeError("nobody wrote the ownership")
        calm_at = max(lost_at[0] + LATE_S, back_at) + CONTACT_S
        record(f"the step is owned by {owner()} in the store; steady state since {calm_at:.3f}")
    if len(results) >= GROUPS * SIZE:
        record("the step is whole")
        return False
    listed = {result["id"] for result in results}
    lying = []
    for number in range(GROUPS * SIZE):
        item = f"{JOB[-4:]}{number:04}"
        finished = any(item in engine.finished for engine in engines)
        at_server = any(item in engine.at for engine in engines)
        left = max((engine.last.get(item, 0) for engine in engines), default=0)
        if item not in listed and not finished and not at_server:
            if ended - max(left, calm_at) >= LYING_S:
                lying.append(item)
    begun = sum(any(f"{JOB[-4:]}{number:04}" in engine.first for engine in engines)
                for number in range(GROUPS * SIZE))
    running = sum(engine.running for engine in engines)
    record(f"the step runs out of time: {begun} items had begun, {running} of "
           f"{sum(engine.slots for engine in engines)} places are taken, no version was named")
    record(f"items that no server finished or failed, at no server for {LYING_S} s of steady state: "
           f"{len(lying)}")
    if lying and begun and running * 2 < sum(engine.slots for engine in engines):
        record(f"LOST: {', '.join(lying)}")
        return True
    return False


main(FOLDER, scenario)
