"""The service that scores texts is down to one slow server for some seconds; calls that outlast the
deadline which the daemon hands to it are answered 504 there, and their items are given up."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import (App, Engine, Fleet, HOST, MODEL, call, configuration, main, now,  # noqa: E402
                      response)

GROUPS, SIZE, EVENTS = 6, 4, 15  # 40 ms an event.
WORK_S = 0.03  # SYSTEM.md, `etalonnage`
HEAVY, HEAVY_WORK_S = 4, 0.1  # Some calls take longer; the site's longest take 0.22 s.
SLOW_X, SLOW_S = 8, 14  # The site's largest: x 4.2 and 8 s; doubled 8.4 and 16 s.
DOWN_S = 9  # The site's longest crash: 4.9 s; doubled 9.8 s.
JOB = "7c41e09b52d6a3f8"


class Scorer(App):
    """An application server. At the deadline that it is handed it stops work and answers 504."""

    slow_x = 1
    is_down = False

    async def connection(self, reader, writer):
        if not self.is_down:
            self.writers.add(writer)
            await super().connection(reader, writer)

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.writers, self.statuses = set(), {}

    async def crash(self):
        self.is_down = True
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def refusal(self, request):
        self.deadline_s = int(request.header("deadline-ms", "60000")) / 1000
        return super().refusal(request)

    async def run(self, request_id):
        arrived, limit = asyncio.get_running_loop().time(), self.deadline_s
        self.count(request_id)
        self.running += 1
        number = int(request_id[-4:])
        work = (HEAVY_WORK_S if number < HEAVY else WORK_S) * self.slow_x
        if work < limit:
            await asyncio.sleep(work)
            status = 200
        else:
            await asyncio.sleep(limit - 0.004)
            while asyncio.get_running_loop().time() < arrived + limit:
                pass  # A timer of the event loop would be up to a millisecond late.
            status = 504
        self.running -= 1
        self.statuses.setdefault(request_id, []).append(status)
        if status != 200 or number < HEAVY:
            self.record(f"scorer {self.id}: {request_id} runs, {limit:.3f} s are handed to it, "
                        f"{status} after {asyncio.get_running_loop().time() - arrived:.4f} s")
        stamp = f"{self.id}.{request_id}"
        return response(status, [("Request-Id", request_id), ("Server-Stamp", stamp)], b"x" * 100)


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
    scorers = [Scorer(record, store, number) for number in range(3)]
    for server in engines + scorers:
        server.events = lambda item: EVENTS
        await server.start()
    await fleet.start()
    record("3 daemons are ready")
    if trouble:
        left, crashed, remaining = scorers
        store.put("servers", left.id, spec=dict(left.entry(), state="draining"))
        record(f"scorer {left.id} drains")
        await asyncio.sleep(3)
        store.remove("servers", left.id)
        record(f"scorer {left.id} has left")
        remaining.slow_x = SLOW_X
        record(f"scorer {remaining.id} is {SLOW_X} times as slow")
    else:
        await asyncio.sleep(3)
    asked = now()
    answer = await call(fleet.daemons[0].front, "POST", "/lots/step",
                        [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")],
                        step_body())
    record(f"trainer: asks for a step at front-1: {answer and answer.status}")
    if not answer or answer.status != 202:
        raise RuntimeError("the batch job was not accepted")

    async def disrupt():
        await asyncio.sleep(0.3)
        await crashed.crash()
        record(f"scorer {crashed.id} crashes")
        await asyncio.sleep(3.6)
        store.remove("servers", crashed.id)  # Three heartbeats of silence.
        await asyncio.sleep(DOWN_S - 3.6)
        following = Scorer(record, store, 3)
        scorers.append(following)
        await following.start()
        record(f"scorer {following.id} has started")
        await asyncio.sleep(max(0, asked + SLOW_S - 3 - now()))
        remaining.slow_x = 1
        record(f"scorer {remaining.id} is as fast as before")

    disruption = asyncio.ensure_future(disrupt()) if trouble else None
    results = []
    while now() < asked + 12 and len(results) < GROUPS * SIZE:
        daemon = fleet.daemons[len(results) % 3]
        answer = await call(daemon.front, "GET", f"/api/lots/{JOB}?after_rev={len(results)}",
                            [("Host", HOST)], timeout=1.5)
        if answer and answer.status == 200:
            page = answer.json()["results"]
            results += page
            for result in page:
                record(f"trainer: reads {result['id']}: {result['state']}, score {result.get('score')}")
        await asyncio.sleep(0.5)
    if disruption:
        disruption.cancel()
    broken = 0
    for result in results:
        if result["state"] != "terminated":
            continue
        call_id = "5c0e" + result["id"][-4:]
        answers = [status for scorer in scorers for status in scorer.statuses.get(call_id, [])]
        record(f"MIXED: {result['id']} is terminated; its text was made without a failure, its reward "
               f"call was answered {answers}: {answers.count(500)} answers of 500, max_attempts is 4; "
               f"the job is open, {now() - asked:.1f} s of its 12 s have passed")
        broken += answers.count(500) < 4
    record(f"results: {len(results)} of {GROUPS * SIZE}, terminated without cause: {broken}")
    return broken > 0


main(FOLDER, scenario)
