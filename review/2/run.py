"""Non-idempotent requests while servers are full now and then and send some answers twice."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import (Fleet, HOST, Server, call, configuration, main, now, read_request,  # noqa: E402
                      response)

LENGTH_S = 60
SHARE_DOUBLED = 0.05  # Of the answers; the largest of rhl-crues is 0.03 (garble, "extra late").
WORK_S = (0.02, 0.09)


class App(Server):
    """An application server. Some answers are followed by a second copy, which comes late: in the
    place where the next answer on the connection is due."""

    service = "app"
    doubles = False

    async def connection(self, reader, writer):
        extra = None
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if extra:
                if extra[0].startswith("order"):
                    self.record(f"server {self.id}: sends its answer to {extra[0]} again "
                                f"({extra[1]}), as {request_id} arrives")
                writer.write(extra[2])
                extra = None
            request_id = request.header("request-id", "")
            if request.path == "/health":
                answer, status = response(200, [("Instance-Id", self.id)]), 200
            else:
                answer, status = self.refusal(request), 503
                if answer is None:
                    answer, status = await self.run(request_id), 200
                elif request_id.startswith("order"):
                    self.record(f"server {self.id}: {request_id} not run (full)")
            writer.write(answer)
            await writer.drain()
            if self.doubles and random.random() < SHARE_DOUBLED:
                extra = (request_id, status, answer)

    async def run(self, request_id):
        self.count(request_id)
        self.running += 1
        if request_id.startswith("order"):
            self.record(f"server {self.id}: runs {request_id}")
        await asyncio.sleep(random.uniform(*WORK_S))
        self.running -= 1
        return response(200, [("Request-Id", request_id), ("Server-Stamp", f"{self.id}.{request_id}")],
                        b"x" * 100)


async def scenario(record, trouble):
    fleet = Fleet(record, ["front-a", "front-b", "front-c"])
    try:
        return await play(fleet, record, trouble)
    finally:
        fleet.stop(os.environ.get("KEEP_LOGS"))


async def play(fleet, record, trouble):
    def route(name, prefix, kind):
        return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": "app",
                "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "max_attempts": 3}

    routes = [route("reads", "/read/", "safe"), route("orders", "/order/", "unsafe")]
    services = [{"name": "app", "health_path": "/health", "max_conns": 110}]
    fleet.store.put("config", "main", spec=configuration(1, routes, services))
    servers = [App(record, fleet.store, number, slots=6, queue=2) for number in range(3)]
    for server in servers:
        await server.start()
    await fleet.start()
    record(f"{len(fleet.daemons)} daemons are ready; answers are sent twice: {trouble}")
    App.doubles = trouble
    until = now() + LENGTH_S
    sent = [0]

    async def reads(daemon):
        """A caller that reads again and again: it fills the servers' places."""
        while now() < until:
            sent[0] += 1
            await call(daemon.front, "POST", "/read/x",
                       [("Host", HOST), ("Request-Id", f"read{sent[0]:06}"), ("Deadline-Ms", "1500")],
                       b"r" * 60)
            await asyncio.sleep(random.uniform(0, 0.03))

    answers = {}

    async def orders(daemon, caller):
        """A caller that sends one order after the other, each attempt with an id of its own."""
        number = 0
        while now() < until:
            number += 1
            request_id = f"order-{caller}-{number:05}"
            record(f"client: sends {request_id} to {daemon.name}")
            answer = await call(daemon.front, "POST", "/order/x",
                                [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", "1500")],
                                b"o" * 60)
            answers[request_id] = answer.status if answer else None
            record(f"client: {request_id} is answered {answers[request_id]}")
            await asyncio.sleep(0.03)

    readers = [reads(daemon) for daemon in fleet.daemons[:2] for _ in range(14)]
    await asyncio.gather(*readers, orders(fleet.daemons[2], "c"))
    await asyncio.sleep(1)

    runs = {}
    for server in servers:
        for request_id, count in server.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    twice = sorted(one for one in answers if runs.get(one, 0) > 1)
    refused = sorted(one for one, status in answers.items()
                     if status in (408, 421, 429, 503) and runs.get(one, 0) > 0)
    statuses = {status: list(answers.values()).count(status) for status in set(answers.values())}
    record(f"orders: {len(answers)}, answers by status: {statuses}")
    for one in twice:
        record(f"TWICE: {one} ran {runs[one]} times, and was answered {answers[one]}")
    for one in refused:
        record(f"REFUSED: {one} ran {runs[one]} times, and was answered {answers[one]}")
    record(f"orders that ran more than once: {len(twice)}; that ran and were refused: {len(refused)}")
    return bool(twice or refused)


main(FOLDER, scenario)
