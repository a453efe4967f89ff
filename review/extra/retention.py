"""Not a case: it takes longer than a script may. Nine daemons, a trainer that asks for a step each
4 s, no disruption. Prints what the daemons call at the store, each 20 s.

usage: python3 -B retention.py MINUTES
"""

import asyncio
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import (App, Engine, Fleet, HOST, MODEL, Store, call, configuration, now,  # noqa: E402
                      read_request, response)

WRITES_PER_S, READS_PER_S = 400, 2000  # SYSTEM.md, rhl-crues
GROUPS, SIZE, WANTED = 25, 4, 0.9


class LimitedStore(Store):
    """A store that counts calls, and answers 429 beyond its rates."""

    def __init__(self, record):
        super().__init__(record)
        self.counts, self.in_second = {}, {}

    def count(self, key):
        self.counts[key] = self.counts.get(key, 0) + 1

    async def connection(self, cell, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            is_write = request.method != "GET"
            second = (is_write, int(time.monotonic()))
            if "stale" not in request.query:
                self.in_second[second] = self.in_second.get(second, 0) + 1
            kind = "-".join(request.path.split("/")[3].split("-")[:2])
            self.count(f"{'WATCH' if 'watch' in request.query else request.method} {kind}")
            if self.in_second.get(second, 0) > (WRITES_PER_S if is_write else READS_PER_S):
                self.count("429 " + ("writes" if is_write else "reads"))
                status, body = 429, {}
            elif is_write:
                status, body = self.write(request)
            else:
                status, body = await self.read(request)
            await asyncio.sleep(self.answer_s)
            writer.write(response(status, [("Content-Type", "application/json")],
                                  json.dumps(body).encode()))
            await writer.drain()


async def step(fleet, number, steps, refused):
    job, asked = f"{random.randrange(16**12):012x}", now()
    requests = [{"id": f"{job[-6:]}{item:03}", "path": "/lots/x",
                 "headers": {"Model": MODEL, "Token-Count": "20,60", "Length-Hint": "18"},
                 "body": "cHJvbXB0" * 100, "tokens": 80, "group": f"g{item // SIZE}",
                 "scorer": {"id": f"r{job[-6:]}{item:03}", "host": HOST, "path": "/score/x",
                            "body": "3q2+7w=="}} for item in range(GROUPS * SIZE)]
    body = json.dumps({"step": number, "model": MODEL, "min_version": 1,
                       "desired": int(GROUPS * WANTED), "requests": requests}).encode()

    async def insist(method, target, headers, data, wanted):
        for _ in range(10):
            answer = await call(random.choice(fleet.daemons).front, method, target,
                                [("Host", HOST)] + headers, data, timeout=3)
            if answer and answer.status == wanted:
                return
            refused[0] += 1
            await asyncio.sleep(0.3)

    await insist("POST", "/lots/step", [("Request-Id", job)], body, 202)
    read = 0
    while now() < asked + 12 and read < GROUPS * SIZE * WANTED:
        answer = await call(random.choice(fleet.daemons).front, "GET",
                            f"/api/lots/{job}?after_rev={read}", [("Host", HOST)], timeout=2)
        if answer and answer.status == 200:
            read += len(answer.json()["results"])
        await asyncio.sleep(0.5)
    await insist("DELETE", f"/api/lots/{job}", [], b"", 200)
    steps.append((round(now() - asked, 1), read))


async def run(minutes):
    def quiet(_):
        pass

    fleet = Fleet(quiet, [f"front-{number}" for number in range(1, 10)])
    store = fleet.store = LimitedStore(quiet)
    try:
        lots = {"name": "lots", "host": HOST, "path_prefix": "/lots/", "kind": "rollout",
                "service": "llm", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
                "max_attempts": 3, "result_deadline_ms": 7500, "max_queue_s": 12}
        score = {"name": "score", "host": HOST, "path_prefix": "/score/", "kind": "safe",
                 "service": "app", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
                 "max_attempts": 4}
        services = [{"name": "llm", "health_path": "/health", "max_conns": 150, "engine": {}},
                    {"name": "app", "health_path": "/health", "max_conns": 110}]
        store.put("config", "main", spec=configuration(1, [lots, score], services))
        engines = [Engine(quiet, store, number, event_ms=20) for number in range(8)]
        for server in engines + [App(quiet, store, number) for number in range(3)]:
            server.events = lambda item: 18
            await server.start()
        await fleet.start()
        steps, refused, tasks = [], [0], []

        async def report():
            before, at = {}, now()
            while True:
                await asyncio.sleep(20)
                counts, span = dict(store.counts), now() - at
                rates = {key: round((count - before.get(key, 0)) / span, 1)
                         for key, count in counts.items()}
                writes = sum(rate for key, rate in rates.items()
                             if key.split()[0] in ("POST", "PUT", "DELETE"))
                reads = sum(rate for key, rate in rates.items() if key.startswith("GET"))
                memory = [int(open(f"/proc/{daemon.process.pid}/statm").read().split()[1]) * 4 // 1024
                          for daemon in fleet.daemons]
                shown = {key: rate for key, rate in rates.items() if rate >= 1}
                print(f"{now():7.1f} s  writes/s {writes:.0f}  reads/s {reads:.0f}  MB {memory}  "
                      f"steps {len(steps)}, last {steps[-2:]}  refused {refused[0]}  {shown}", flush=True)
                before, at = counts, now()
                second = int(time.monotonic())
                store.in_second = {key: value for key, value in store.in_second.items()
                                   if key[1] > second - 3}

        reporting = asyncio.ensure_future(report())
        end, number = now() + minutes * 60, 0
        while now() < end:
            tasks.append(asyncio.ensure_future(step(fleet, number, steps, refused)))
            number += 1
            await asyncio.sleep(4)
        await asyncio.gather(*tasks)
        reporting.cancel()
    finally:
        fleet.stop()


asyncio.run(run(float(sys.argv[1])))
