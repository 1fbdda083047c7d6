"""A planned restart (SIGTERM, later SIGKILL) while a few bad clients send at full speed."""
import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
STANDIN = HERE.parent / "standin"
sys.path.insert(0, str(STANDIN))
from standin import HELPERS, CannotRun, Client, Discovery, Driver, Group, Member, now_ms, play
import random

WORKLOADS = {"balance-view": "read", "history-view": "read", "payment-post": "write"}
USUAL_CLIENTS = 40
BAD_CLIENTS = 12
LONGEST_DEADLINE_MS = 3000
KILL_AFTER_S = (LONGEST_DEADLINE_MS + 700) / 1000 + 0.3  # no sooner than the longest deadline plus 0.7 s
ARRIVED_AFTER_MS = 700


def config(driver, discovery):
    category = lambda name, idempotency, objective, give_up, worth, late: {
        "name": name, "idempotency": idempotency, "objective_us": objective, "give_up_us": give_up, "worth": worth,
        "late_worth": late}
    return {
        "name": "n1", "listen": driver.listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
        "settings": {
            "categories": [category("balance-view", "retryable", 500_000, 1_500_000, 1, 0.2),
                           category("history-view", "retryable", 800_000, 2_500_000, 1, 0),
                           category("payment-post", "fragile", 1_200_000, LONGEST_DEADLINE_MS * 1000, 3, 0.3)],
            "zones": ["heredia", "cartago"], "tick_us": 5000, "peers_total": 1, "discovery": "push",
            "family_info": {"freshness": ["recent", "loose", "update"], "staleness_bound_us": [800_000, 0, 0],
                            "behind": "hold", "catch_up_wait_us": 20_000, "tokens": "client",
                            "answers_stamped": True},
            "limits": {"cancel": True, "probes": True, "try_limit": 10, "may_duplicate": True,
                       "connect_timeout_us": 250_000, "conn_idle_us": 30_000_000, "retry_after": True,
                       "max_retry_after_us": 500_000},
            "rules": {"drain_grace_us": 2_000_000, "tip_multiple": 4, "fall_us": 2_000_000, "cold_from": 0.15,
                      "warm_within_us": 15_000_000},
            "report": {"fields": ["x0", "x1"], "how": "on_probe"},
        },
    }


def request(number, chance):
    group, key = chance.randint(1, 3), f"k{chance.randint(0, 99)}"
    read = f"SELECT blob FROM rows WHERE handle = '{key}'"
    kind = chance.random()
    if kind < 0.41:
        return "balance-view", 1500, group, read
    if kind < 0.81:
        return "history-view", 2500, group, read
    return "payment-post", 3000, group, f"INSERT INTO rows (handle, blob) VALUES ('{key}', '{number}') RETURNING blob"


class UsualClient:
    """Keeps its connection and uses it for as long as that stays open; one request after another."""

    def __init__(self, index, driver, record):
        self.client = Client(driver.listen, record, f"client{index}")
        self.index, self.chance, self.record = index, random.Random(index), record
        self.open_request = None  # (id, workload, time of its last byte), while it has no whole answer
        self.served = 0

    async def run(self):
        await self.client.connect()
        number = 0
        while True:
            await asyncio.sleep(self.chance.expovariate(1 / 0.4))
            number += 1
            workload, time_left_ms, group, sql = request(number, self.chance)
            identity = f"{self.index:x}-{number:x}"
            text = f"/* id={identity},c={workload},d={time_left_ms},cluster={group} */ {sql}"
            if self.client.reader.at_eof():
                self.record(f"client{self.index}: the driver has closed the connection")
                return
            try:
                body = text.encode() + b"\0"
                self.client.writer.write(b"Q" + (len(body) + 4).to_bytes(4, "big") + body)
                self.open_request = (identity, workload, now_ms())
                self.record(f"client{self.index} sends {workload} id={identity}")
                kind, value = await self.client.read_answer()
                self.served += kind == "served"
                self.record(f"client{self.index} got {kind} {value} for id={identity}")
                self.open_request = None
            except (asyncio.IncompleteReadError, ConnectionError):
                # The closing crossed a request on a resting connection: not judged here.
                self.record(f"client{self.index}: the connection ended under id={identity}")
                return


async def scenario(record, folder, trouble, drivers):
    members = []
    for number in (1, 2, 3):
        group = Group(number)
        for index in range(4):
            members.append(Member(f"s-{number}{index}", group, (71, 120), record, apply_ms=20, workloads=WORKLOADS))
        group.primary = group.members[0]
    for member in members:
        await member.start()
    discovery = Discovery(members, record)
    await discovery.start()
    # The processes of a driver run on one core; the stand-ins use the others.
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 3:
        raise CannotRun("three cores are needed: one for the driver, two for the stand-ins")
    os.sched_setaffinity(0, {cores[0]})
    driver = Driver(folder, record)
    drivers.append(driver)
    try:
        await driver.start(config(driver, discovery))
    finally:
        os.sched_setaffinity(0, set(cores[1:]))
    clients = [UsualClient(index, driver, record) for index in range(USUAL_CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(3)
    bad = None
    if trouble:
        host, port = driver.listen.split(":")
        bad = subprocess.Popen([sys.executable, "-B", str(STANDIN / "badclients.py"), host, port, str(BAD_CLIENTS), "9"],
                               stdout=subprocess.PIPE, text=True)
        HELPERS.append(bad)
        record(f"bad clients: {bad.stdout.readline().strip()}, {BAD_CLIENTS} connections")
    await asyncio.sleep(3)
    record(f"{sum(client.served for client in clients)} usual requests served so far")
    told_to_end = now_ms()
    driver.signal(signal.SIGTERM)
    while driver.is_running(driver.pids[0]) and now_ms() - told_to_end < KILL_AFTER_S * 1000:
        await asyncio.sleep(0.01)
    record(f"{sum(client.served for client in clients)} usual requests served by the end")
    if driver.is_running(driver.pids[0]):
        unanswered = [client.open_request for client in clients if client.open_request]
        driver.signal(signal.SIGKILL)
    else:
        unanswered = []
        record("the driver has ended by itself")
    if bad:
        record(f"bad clients: {bad.communicate()[0].strip()}")
    await asyncio.sleep(0.3)
    for task in tasks:
        task.cancel()
    said = "phase: n1 is leaving" in driver.log_text()
    record(f"the driver's log tells of the shutdown: {said}; {len(unanswered)} requests without an answer at SIGKILL")
    return [f"{workload} id={identity} arrived {arrived - told_to_end:.0f} ms after SIGTERM and has no answer at SIGKILL"
            for identity, workload, arrived in unanswered if arrived - told_to_end > ARRIVED_AFTER_MS]


play(HERE, scenario)
