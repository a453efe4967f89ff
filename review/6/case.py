"""Four daemons of twelve freeze, among them the two from which others of their zone hear the news; the
others go on sending requests to a server that has said `draining`, for longer than drain_ms. Requests
that may not be repeated are lost with the server when it ends."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
import stand  # noqa: E402

ZONES = ["shawinigan", "la-tuque", "trois-rivieres"]
DRAIN_S = stand.BOUNDS["drain_ms"] / 1e3
ROUNDS = 2


def sources(daemon):
    """The daemons that a daemon names as the source of its list of servers, the first first."""
    found = re.findall(r"event=news_source kind=servers source=(\S+)", daemon.log_text())
    return found[-1].split(",") if found and found[-1] not in ("store", "nobody") else []


async def freeze_and_drain(record, fleet, frozen, leaving, sent, outcome):
    """Freezes the daemons while a server is emptied; returns how many requests reached it late."""
    if stand.TROUBLE:
        for name in frozen:
            fleet.by_name(name).signal(signal.SIGSTOP)
        record(f"SIGSTOP to {frozen}")
    await asyncio.sleep(0.1)
    # It serves on for drain_ms and a little longer (the site's linger_ms), and ends.
    leave = asyncio.ensure_future(leaving.leave(DRAIN_S + 1.5))
    await asyncio.sleep(0.02)
    acknowledged = record.now()
    await asyncio.sleep(5.6)
    if stand.TROUBLE:
        for name in frozen:
            fleet.by_name(name).signal(signal.SIGCONT)
        record(f"SIGCONT to {frozen}")
    await leave
    late = [(f"{t - acknowledged:.2f} s", r, sent[r]) for (t, r, _) in leaving.arrivals
            if t > acknowledged + DRAIN_S]
    before = [r for (t, r, _) in leaving.arrivals if t <= acknowledged]
    record(f"{len(before)} requests reached {leaving.id} before it said that it was draining; "
           f"{len(late)} reached it more than {DRAIN_S} s after the store had acknowledged it")
    for entry in late:
        record(f"late: {entry}, answered {outcome.get(entry[1])}")
    ended = {r for (_, r, _) in leaving.ended}
    lost = [r for (_, r, target) in leaving.runs if target.startswith("/releve/")
            and r not in ended and r in {entry[1] for entry in late}]
    record(f"{len(lost)} requests that may not be repeated began to run there after drain_ms, "
           f"and were lost when the server ended: {[(r, outcome.get(r)) for r in lost]}")
    if not before:
        raise stand.CannotRun("the server got no requests")
    return len(late)


async def case(record):
    store = stand.Store(record)
    fleet = stand.Fleet(record, store)
    servers, clients = [], []
    try:
        routes = [stand.route("lecture", "/lecture/", "safe", "stations", timeout_ms=1500,
                              target_latency_ms=150),
                  stand.route("releve", "/releve/", "unsafe", "stations", timeout_ms=3000,
                              target_latency_ms=600, max_attempts=1)]
        await store.put("config", "main", stand.configuration(1, routes, {"stations": False}))
        work = dict(work_s=lambda target: 0.4 if target.startswith("/releve/") else 0.025)
        servers = [await stand.Server(record, store, "stations", zone, 6, **work).start()
                   for zone in ZONES]
        # Nine machines at first; then the site's three spare ones are added (`add_nodes`).
        await fleet.wait_ready(await fleet.add(ZONES * 3))
        await asyncio.sleep(1.0)
        await fleet.wait_ready(await fleet.add(ZONES))
        record(f"{len(fleet.daemons)} daemons are ready")
        await asyncio.sleep(3.0)
        # A server is to be replaced: the new one starts first.
        servers.append(await stand.Server(record, store, "stations", ZONES[0], 6, **work).start())
        await asyncio.sleep(6.0)  # catch_up_s and contact_ms have passed: all are in touch

        followers = {d.name: sources(d) for d in fleet.daemons if sources(d)}
        record(f"sources of the list of servers: {followers}")
        by_zone = {z: next((s for n, s in followers.items() if fleet.by_name(n).zone == z), None)
                   for z in ZONES}
        if not all(s and len(s) == 2 for s in by_zone.values()):
            raise stand.CannotRun(f"unexpected sources: {by_zone}")
        frozen = [*by_zone[ZONES[0]], by_zone[ZONES[1]][0], by_zone[ZONES[2]][0]]
        asked = [fleet.by_name(n) for n in followers if fleet.by_name(n).zone == ZONES[0]]
        sent, outcome = {}, {}

        async def client(daemon, path, deadline_ms):
            while True:
                request_id = stand.new_id()
                sent[request_id] = daemon.name
                try:
                    status, _, _ = await asyncio.wait_for(stand.request(
                        daemon.callers, "POST", path,
                        [("Request-Id", request_id), ("Deadline-Ms", deadline_ms)], b"x"),
                        deadline_ms / 1e3 + 0.5)
                    outcome[request_id] = status
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    outcome[request_id] = None
                if outcome[request_id] != 200:
                    record(f"request {request_id} {path} is answered {outcome[request_id]}")
                await asyncio.sleep(0.1)

        clients = [asyncio.ensure_future(client(d, path, deadline_ms)) for d in asked
                   for path, deadline_ms, count in (("/lecture/1", 1500, 2), ("/releve/1", 3000, 6))
                   for _ in range(count)]
        await asyncio.sleep(2.0)
        late_in_all = 0
        for number in range(ROUNDS):
            if number > 0:
                await asyncio.sleep(6.0)
                servers.append(await stand.Server(record, store, "stations", ZONES[0], 6,
                                                  **work).start())
                await asyncio.sleep(4.0)  # by now all are in touch again
            late_in_all += await freeze_and_drain(record, fleet, frozen, servers[number], sent,
                                                  outcome)
        return late_in_all == 0
    finally:
        for task in clients:
            task.cancel()
        fleet.close(os.environ.get("KEEP_LOGS"))
        for server in servers:
            server.close()
        store.close()


stand.main(case, os.path.dirname(os.path.abspath(__file__)))
