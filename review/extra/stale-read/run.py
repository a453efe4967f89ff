"""A batch job goes from daemon A to B and back to A; the answer to A's takeover is lost."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "common"))
from standins import BOUNDS, Engine, Fleet, HOST, call, configuration, main, now  # noqa: E402

CONTACT_S = BOUNDS["contact_ms"] / 1000
SETTLE_S = BOUNDS["settle_ms"] / 1000
LATE_S = 0.4  # How much later the store does the write whose answer is lost.
SHORT, LONG = 20, 400  # Events of a text; 40 ms each.
JOB, OTHER = "7c41e09b52d6a3f8", "7c41e09b52d6a3f9"


def job_body(job, lengths):
    requests = [{"id": f"{job[-4:]}{number:04}{length:04}", "path": f"/lots/{number}",
                 "headers": {"Model": "m0", "Token-Count": "20,400"}, "body": "cHJvbXB0",
                 "tokens": 420} for number, length in enumerate(lengths)]
    return json.dumps({"requests": requests}).encode()


class Reader:
    """Reads results and checks them: a position that was read is there again."""

    def __init__(self, record, trouble_at):
        self.record, self.trouble_at = record, trouble_at
        self.read_at, self.content, self.broken = {}, {}, []

    def in_touch(self, daemon, at):
        struck = [when for name, when in self.trouble_at if name in (daemon.name, "store")]
        return all(at - when > CONTACT_S for when in struck)

    async def read(self, daemon, position, quiet=False):
        sent = now()
        answer = await call(daemon.front, "GET", f"/api/lots/{JOB}?after_rev={position}",
                            [("Host", HOST)], timeout=2)
        at = now()
        status = answer.status if answer else None
        results = answer.json()["results"] if status == 200 else []
        if not quiet or status != 200:
            self.record(f"client: reads from {position} at {daemon.name}: {status}, "
                        f"{len(results)} results")
        for offset, result in enumerate(results):
            known = self.content.setdefault(position + offset, result)
            if known != result:
                self.broken.append(f"TWICE: position {position + offset} holds another result")
            self.read_at.setdefault(position + offset, at)
        first_read = self.read_at.get(position)
        if first_read is not None and sent - first_read > SETTLE_S and self.in_touch(daemon, sent):
            if status in (404, 410) or (status == 200 and not results):
                self.broken.append(
                    f"LOST: {daemon.name}, in touch, has nothing at position {position} at "
                    f"{at:.3f} (status {status}); that position was read at {first_read:.3f}")
                self.record(self.broken[-1])
        return status, results


async def scenario(record, trouble):
    fleet = Fleet(record, ["front-1", "front-2", "front-3"])
    try:
        return await play(fleet, record, trouble)
    finally:
        fleet.stop(os.environ.get("KEEP_LOGS"))


async def until(condition, limit_s, what):
    end = now() + limit_s
    while now() < end:
        if condition():
            return
        await asyncio.sleep(0.02)
    raise RuntimeError(f"waited in vain until {what}")


async def play(fleet, record, trouble):
    store = fleet.store
    route = {"name": "lots", "host": HOST, "path_prefix": "/lots/", "kind": "rollout",
             "service": "llm", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
             "max_attempts": 3, "result_deadline_ms": 60000, "max_queue_s": 120}
    services = [{"name": "llm", "health_path": "/health", "max_conns": 150, "engine": {}}]
    store.put("config", "main", spec=configuration(1, [route], services))
    engines = [Engine(record, store, number) for number in range(3)]
    for engine in engines:
        engine.events = lambda item: int(item[-4:])
        await engine.start()
    await fleet.start()
    record("3 daemons are ready")
    await asyncio.sleep(6)  # The daemons' first loads of all jobs are over.
    trouble_at = []
    reader = Reader(record, trouble_at)

    def owner():
        spec = store.spec("heronbend-work", JOB)
        return spec and spec["owner"]["name"]

    async def hand_in(job, lengths, daemon):
        answer = await call(daemon.front, "POST", "/lots/job",
                            [("Host", HOST), ("Request-Id", job), ("Content-Type", "application/json")],
                            job_body(job, lengths))
        record(f"client: hands in {job} at {daemon.name}: {answer and answer.status}")
        if not answer or answer.status != 202:
            raise RuntimeError("the batch job was not accepted")

    await hand_in(JOB, [SHORT] * 4 + [LONG] * 4, fleet.daemons[0])
    await until(lambda: owner() and sum(engine.running for engine in engines) == 8, 5, "it runs")
    first = fleet.by_name(owner())
    record(f"{first.name} runs {JOB}")
    others = [daemon for daemon in fleet.daemons if daemon is not first]

    if trouble:
        first.signal(signal.SIGSTOP)
        record(f"{first.name} is frozen")
        await until(lambda: owner() != first.name, 8, "another daemon takes the job over")
        second = fleet.by_name(owner())
        third = next(daemon for daemon in others if daemon is not second)
        record(f"{second.name} has taken {JOB} over")
    else:
        second, third = others
    end = now() + 6
    while len(reader.content) < 4 and now() < end:
        await reader.read(third, len(reader.content))
        await asyncio.sleep(0.5)
    record(f"{len(reader.content)} results were read")
    if len(reader.content) < 4:
        raise RuntimeError("the short texts were not listed")
    if trouble:
        first.signal(signal.SIGCONT)
        trouble_at.append((first.name, now()))
        record(f"{first.name} is thawed")
        await asyncio.sleep(2.5)

        def lose(address, request):
            """The answer to the first write of the ownership by the first daemon is lost."""
            # Done a little late: after the load of all ownerships that follows a lost daemon.
            is_takeover = request.method == "PUT" and request.path.endswith(f"/heronbend-work/{JOB}")
            if is_takeover and address == first.store_address:
                store.fault = lambda address, request: None
                trouble_at.append(("store", now() + LATE_S))
                return LATE_S
            return None

        store.fault = lose
        second.kill()
        trouble_at.append((second.name, now()))
        record(f"{second.name} is killed; it stays away")
        await until(lambda: owner() != second.name, 10, "another daemon takes the job over")
        record(f"{owner()} has taken {JOB} over in the store")
        if owner() != first.name:
            raise RuntimeError("the third daemon took the job over")
    # Readers elsewhere go on; nobody reads this job at the first daemon until it is in touch.
    quiet_until = max([when for _, when in trouble_at], default=now()) + CONTACT_S + 0.3
    while now() < quiet_until:
        await reader.read(third, 0)
        await asyncio.sleep(0.5)
    await hand_in(OTHER, [SHORT], third)
    end = now() + 8
    while now() < end:
        await reader.read(first, 0, quiet=True)
        await asyncio.sleep(0.05)
    await reader.read(first, 0)
    record(f"empty answers: {len(reader.broken)}")
    return bool(reader.broken)


main(FOLDER, scenario)
