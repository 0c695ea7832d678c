"""Two hosts of a zone, one of which is restarted as planned; the zone is cut off, and a key is taken away."""
import asyncio, os, signal, sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig-2"))
from rig import PlainServer, TROUBLE, exchange, play

REVOKE_S = 5.0   # `revoke_ms` of the sheet
CUT_S = 5.8      # the longest zone_cut of the site file
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 182, "retry_window_s": 10, "lease_ms": 3000, "strict_revoke": True,
          "revoke_ms": 5000, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 190000}


def config(version, keys):
    route = {"name": "status-read", "host": "books.example", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1000,
             "slo_ms": 150, "priority": 1, "service": "pipeline-api", "attempts": 2}
    return {"version": version, "routes": [route], "services": [{"name": "pipeline-api", "health_path": "/healthz", "max_conns": 490}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "agency", "keys": keys, "rate_per_s": 0, "burst": 0, "unit": "token_report", "plain_tokens": 100}]}


async def run(case):
    record, store = case.record, case.store
    await store.put("config", "main", config(7, ["kept-key", "lost-key"]))
    server = PlainServer(record, "i-1", "pipeline-api", "zone-a")
    await server.start(store, "127.0.0.1")
    daemons = [await case.add_daemon("front-a-%d" % n, "zone-a", ["zone-a", "zone-b", "zone-c"], BOUNDS) for n in (1, 2)]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        await daemon.wait_ready()
    await asyncio.sleep(4)
    sent, number, stop = {}, 0, False

    async def restart_planned(daemon):
        """SIGTERM, and a start once the process has ended: one step of roll_term."""
        daemon.signal(signal.SIGTERM)
        while daemon.process.poll() is None:
            await asyncio.sleep(0.05)
        record.line("daemon %s has ended" % daemon.name)
        daemon.start()

    async def client(daemon):
        nonlocal number
        tasks = []
        while not stop:
            number += 1
            request = "r%05d" % number
            tasks.append(asyncio.create_task(ask(daemon, request)))
            await asyncio.sleep(0.03)
        await asyncio.gather(*tasks)

    async def ask(daemon, request):
        sent[request] = record.now()
        headers = {"X-Request-Id": request, "X-Deadline-Ms": "1000", "Authorization": "Token lost-key"}
        try:
            status, _, _ = await asyncio.wait_for(exchange(daemon.front, "GET", "/status/x", headers), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = "none"
        record.line("client sent %s to %s at %.3f: %s" % (request, daemon.name, sent[request], status))

    clients = [asyncio.create_task(client(daemon)) for daemon in daemons]
    await asyncio.sleep(1)
    restart = asyncio.create_task(restart_planned(daemons[1]))
    await asyncio.sleep(0.5)
    cut_at = record.now()
    if TROUBLE:
        for daemon in daemons:
            store.set_door(daemon.name, "silent")
        record.line("the zone is cut off from the store")
    await store.put("config", "main", config(9, ["kept-key"]))
    taken_at = record.now()
    record.line("version 9, without lost-key, is acknowledged")
    await asyncio.sleep(cut_at + CUT_S - record.now())
    for daemon in daemons:
        store.set_door(daemon.name, "ok")
    record.line("the zone reaches the store")
    await asyncio.sleep(3)
    stop = True
    await asyncio.gather(*clients, restart)
    late = [(request, at) for request, at in sent.items() if at > taken_at + REVOKE_S and request in server.runs]
    return ["%s ran, sent %.3f s after its key was taken away" % (request, at - taken_at) for request, at in late]


play(FOLDER, run)
