"""A deployment whose box list answers only when asked: a member begins to drain after an upgrade of the driver."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from standin import Discovery, Driver, Group, Member, now_ms, play, steady_load

WORKLOADS = {"slot-search": "read", "day-list": "read", "slot-check": "read", "booking": "write"}
GRACE_MS = 1000        # the site's rules.drain_grace
TOLD_WITHIN_MS = 10_000  # rules.ask_within_us, longer than the 6 s of the protocol page
SLACK_MS = 50          # sockets: every time limit is 50 ms longer


def config(driver, discovery):
    category = lambda name, idempotency, objective, give_up, worth, late: {
        "name": name, "idempotency": idempotency, "objective_us": objective, "give_up_us": give_up, "worth": worth,
        "late_worth": late, "key_scope": "cell", "window_us": 1_200_000}
    return {
        "name": "n1", "listen": driver.listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
        "settings": {
            "categories": [category("slot-search", "retryable", 300_000, 750_000, 2, 0.2),
                           category("day-list", "retryable", 300_000, 1_000_000, 1, 0),
                           category("slot-check", "retryable", 200_000, 800_000, 1, 0),
                           category("booking", "dedup", 750_000, 2_000_000, 3, 0.7)],
            "zones": ["ruzinov", "petrzalka", "mlynske"], "tick_us": 5000, "peers_total": 1, "discovery": "ask",
            "family_info": {"freshness": ["recent", "loose", "latest", "update"],
                            "staleness_bound_us": [200_000, 0, 0, 0], "behind": "reject", "tokens": "client",
                            "answers_stamped": True},
            "limits": {"cancel": True, "probes": True, "try_limit": 6, "connect_timeout_us": 250_000,
                       "conn_idle_us": 30_000_000, "retry_after": True, "max_retry_after_us": 500_000},
            "rules": {"drain_grace_us": GRACE_MS * 1000, "ask_within_us": TOLD_WITHIN_MS * 1000, "tip_multiple": 2,
                      "fall_us": 2_000_000, "cold_from": 0.17, "warm_within_us": 14_000_000},
            "report": {"fields": ["x0", "x1"], "how": "on_probe"},
        },
    }


def request(number, chance):
    group, key = chance.randint(1, 3), f"k{chance.randint(0, 99)}"
    read = f"SELECT blob FROM rows WHERE handle = '{key}'"
    kind = chance.random()
    if kind < 0.48:
        return "slot-search", 750, group, read
    if kind < 0.88:
        return "day-list", 1000, group, read
    if kind < 0.92:
        return "slot-check", 800, group, read
    return "booking", 2000, group, f"INSERT INTO rows (handle, blob) VALUES ('{key}', '{number}') RETURNING blob"


async def scenario(record, folder, trouble, drivers):
    members = []
    for number in (1, 2, 3):
        group = Group(number)
        for index in range(4):
            members.append(Member(f"s-{number}{index}", group, (44, 77), record, apply_ms=20, workloads=WORKLOADS))
        group.primary = group.members[0]
    for member in members:
        await member.start()
    discovery = Discovery(members, record)
    await discovery.start()
    driver = Driver(folder, record)
    drivers.append(driver)
    await driver.start(config(driver, discovery))
    stop = asyncio.Event()
    load = asyncio.create_task(steady_load(stop, driver.listen, record, request, 30, 0.6))
    await asyncio.sleep(5)
    if trouble:
        await driver.upgrade()
    else:
        await asyncio.sleep(12)
    await asyncio.sleep(2)
    drained = members[2]
    await discovery.set_status(drained, "DRAINING")
    listed_at = now_ms()
    await asyncio.sleep((TOLD_WITHIN_MS + GRACE_MS) / 1000 + 12)
    stop.set()
    await load
    told_at = min([at for at, _ in discovery.told.get(drained.name, [])] + [listed_at + TOLD_WITHIN_MS])
    limit = told_at + GRACE_MS + SLACK_MS
    late = [(at, identity, workload) for at, identity, workload in drained.executions if at > limit]
    calls = [at for at, _, _ in discovery.calls if at > listed_at]
    record(f"{drained.name} listed as draining at {listed_at - record.started:.0f}, told at "
           f"{told_at - record.started:.0f} at the latest, {len(calls)} calls of discovery after the listing, "
           f"{len(late)} statements begun there after {limit - record.started:.0f}")
    return [f"{drained.name} got {workload} id={identity} {at - limit:.0f} ms after the grace had ended"
            for at, identity, workload in late]


play(HERE, scenario)
