"""Four daemons of twelve freeze, among them the two from which others of their zone hear the news; the
others go on sending requests to a server that has said `draining`, for longer than drain_ms."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
import stand  # noqa: E402

ZONES = ["shawinigan", "la-tuque", "trois-rivieres"]
DRAIN_S = stand.BOUNDS["drain_ms"] / 1e3


def sources(daemon):
    """The daemons that a daemon names as the source of its list of servers, the first first."""
    found = re.findall(r"event=news_source kind=servers source=(\S+)", daemon.log_text())
    return found[-1].split(",") if found and found[-1] not in ("store", "nobody") else []


async def case(record):
    store = stand.Store(record)
    fleet = stand.Fleet(record, store)
    servers, clients = [], []
    try:
        routes = [stand.route("lecture", "/lecture/", "safe", "stations", timeout_ms=1500,
                              target_latency_ms=150)]
        await store.put("config", "main", stand.configuration(1, routes, {"stations": False}))
        servers = [await stand.Server(record, store, "stations", zone, 6).start()
                   for zone in ZONES]
        # Nine machines at first; then the site's three spare ones are added (`add_nodes`).
        await fleet.wait_ready(await fleet.add(ZONES * 3))
        await asyncio.sleep(1.0)
        await fleet.wait_ready(await fleet.add(ZONES))
        record(f"{len(fleet.daemons)} daemons are ready")
        await asyncio.sleep(3.0)
        # A server is to be replaced: the new one starts first.
        servers.append(await stand.Server(record, store, "stations", ZONES[0], 6).start())
        await asyncio.sleep(6.0)  # catch_up_s and contact_ms have passed: all are in touch

        followers = {d.name: sources(d) for d in fleet.daemons if sources(d)}
        record(f"sources of the list of servers: {followers}")
        by_zone = {z: next((s for n, s in followers.items() if fleet.by_name(n).zone == z), None)
                   for z in ZONES}
        if not all(s and len(s) == 2 for s in by_zone.values()):
            raise stand.CannotRun(f"unexpected sources: {by_zone}")
        frozen = [*by_zone[ZONES[0]], by_zone[ZONES[1]][0], by_zone[ZONES[2]][0]]
        asked = [fleet.by_name(n) for n in followers if fleet.by_name(n).zone == ZONES[0]]
        sent = {}

        async def client(daemon):
            while True:
                request_id = stand.new_id()
                sent[request_id] = daemon.name
                try:
                    await asyncio.wait_for(stand.request(
                        daemon.callers, "POST", "/lecture/1",
                        [("Request-Id", request_id), ("Deadline-Ms", 1500)], b"x"), 2.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.2)

        clients = [asyncio.ensure_future(client(d)) for d in asked for _ in range(2)]
        await asyncio.sleep(2.0)
        if stand.TROUBLE:
            for name in frozen:
                fleet.by_name(name).signal(signal.SIGSTOP)
            record(f"SIGSTOP to {frozen}")
        await asyncio.sleep(0.1)
        leaving = servers[0]
        leave = asyncio.ensure_future(leaving.leave(6.0))
        await asyncio.sleep(0.02)
        acknowledged = record.now()
        await asyncio.sleep(5.6)
        if stand.TROUBLE:
            for name in frozen:
                fleet.by_name(name).signal(signal.SIGCONT)
            record(f"SIGCONT to {frozen}")
        await leave
        late = [(f"{t - acknowledged:.2f} s", r, sent[r]) for (t, r, _) in leaving.arrivals
                if t > acknowledged + DRAIN_S and t < acknowledged + 5.6]
        before = [r for (t, r, _) in leaving.arrivals if t <= acknowledged]
        record(f"{len(before)} requests reached {leaving.id} before it said that it was draining; "
               f"{len(late)} reached it more than {DRAIN_S} s after the store had acknowledged it")
        for entry in late:
            record(f"late: {entry}")
        if not before:
            raise stand.CannotRun("the server got no requests")
        return not late
    finally:
        for task in clients:
            task.cancel()
        fleet.close(os.environ.get("KEEP_LOGS"))
        for server in servers:
            server.close()
        store.close()


stand.main(case, os.path.dirname(os.path.abspath(__file__)))
