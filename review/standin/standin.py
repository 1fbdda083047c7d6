"""Stand-ins for members, discovery and clients, and control of the program under test.

Written from the operators' pages (PROTOCOL, WIRE, DEPLOY, STANDING). Python's standard library only, loopback
addresses only, the real clock. One event loop runs all stand-ins of a case; the program under test runs as a
process of its own, started with the `run` line of deploy/balancer.toml.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Further processes of a case, ended with it.
HELPERS = []


def now_ms():
    """The clock that members, discovery and clients share: Unix time in milliseconds."""
    return time.time() * 1000


class CannotRun(Exception):
    """The case could not be played; the exit code is 2."""


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since the start in milliseconds."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = now_ms()

    def __call__(self, text, at=None):
        elapsed = (now_ms() if at is None else at) - self.started
        self.file.write(f"{elapsed:10.1f} {text}\n")


# ---- messages of PostgreSQL's protocol, version 3

def message(kind, body=b""):
    return kind + struct.pack(">i", len(body) + 4) + body


READY = message(b"Z", b"I")


def row(value):
    column = struct.pack(">h", 1) + b"blob\0" + struct.pack(">ihihih", 0, 0, 17, -1, -1, 1)
    data = struct.pack(">hi", 1, len(value)) + value
    return message(b"T", column) + message(b"D", data) + message(b"C", b"SELECT 1\0")


def error(code, text):
    return message(b"E", f"SERROR\0VERROR\0C{code}\0M{text}\0\0".encode())


def parameter(name, value):
    return message(b"S", f"{name}\0{value}\0".encode())


async def read_message(reader):
    header = await reader.readexactly(5)
    length = struct.unpack(">i", header[1:])[0]
    return header[:1], await reader.readexactly(length - 4)


def parse_statement(text):
    match = re.match(r"\s*/\*(.*?)\*/(.*)", text, re.S)
    if not match:
        return None
    fields = dict(part.strip().split("=", 1) for part in match.group(1).split(",") if "=" in part)
    if not {"id", "c", "d", "cluster"} <= fields.keys():
        return None
    literals = re.findall(r"'((?:[^']|'')*)'", match.group(2))
    fields["key"] = literals[0] if literals else ""
    fields["value"] = literals[1] if len(literals) > 1 else ""
    return fields


# ---- members

class Group:
    """A primary and its replicas: the log of commits, in their order."""

    def __init__(self, number):
        self.number = number
        self.primary = None
        self.members = []
        self.log = []

    def commit(self, key, value):
        at = int(now_ms())
        self.log.append((at, key, value))
        for member in self.members:
            member.on_commit(at)
        return at


class Member:
    """A sound member: the primary takes writes; a replica gets the log after `ship_ms` and applies it with one
    thread, `apply_ms` for each commit."""

    def __init__(self, name, group, work_ms, record, ship_ms=8.0, apply_ms=0.0, workloads=None):
        self.name, self.group, self.record = name, group, record
        self.work_ms, self.workloads = work_ms, workloads or {}
        self.ship_ms, self.apply_ms = ship_ms, apply_ms
        self.apply_slowdown = 1.0  # a replica that lags applies the log so many times more slowly
        self.applied_at = []  # for each commit of the log, when it has been applied here
        self.executions = []  # (time in ms, statement id, workload)
        self.status, self.since_ms = "SERVING", 0
        self.random = random.Random(name)
        self.address = None
        self.answers_checks = True
        group.members.append(self)

    def on_commit(self, at):
        free_at = self.applied_at[-1] if self.applied_at else 0
        self.applied_at.append(max(at + self.ship_ms, free_at) + self.apply_ms * self.apply_slowdown)

    def is_primary(self):
        return self.group.primary is self

    def applied_count(self, at):
        if self.is_primary():
            return len(self.applied_at)
        count = len(self.applied_at)
        while count and self.applied_at[count - 1] > at:
            count -= 1
        return count

    def position(self, at):
        """Time up to which all commits are applied here."""
        if self.is_primary():
            return int(at)
        count = self.applied_count(at)
        shipped = at - self.ship_ms
        if count < len(self.group.log):
            shipped = min(shipped, self.group.log[count][0] - 1)
        return int(shipped)

    def read(self, key, at):
        for _, logged_key, value in reversed(self.group.log[: self.applied_count(at)]):
            if logged_key == key:
                return value
        return "0"

    def status_parameters(self, position):
        rank = "source" if self.is_primary() else "copy"
        return parameter("rank", rank) + parameter("as_of", position)

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            length = struct.unpack(">i", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            writer.write(message(b"R", struct.pack(">i", 0)) + READY)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    return
                writer.write(await self.answer(body.rstrip(b"\0").decode()) + READY)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, text):
        arrived = now_ms()
        bare = text.strip().upper()
        if not bare:
            return message(b"I")
        if bare.startswith("SHOW"):
            report = f"x0={self.position(arrived) / 1000:.3f},x1={int(self.is_primary())}"
            return row(report.encode())
        if bare == "SELECT 1":
            return row(b"1")
        if bare.split()[0] in ("SET", "RESET", "DISCARD"):
            return message(b"C", b"SET\0")
        fields = parse_statement(text)
        if fields is None:
            return error("08P01", "no statement of a client")
        workload, identity = fields["c"], fields["id"]
        is_write = self.workloads.get(workload) == "write"
        if is_write and not self.is_primary():
            self.record(f"{self.name} miss {workload} id={identity}", arrived)
            return error("25006", "not the primary") + self.status_parameters(self.position(arrived))
        value = None if is_write else self.read(fields["key"], arrived)
        position = self.position(arrived)
        self.executions.append((arrived, identity, workload))
        rank = "source" if self.is_primary() else "copy"
        low, high = self.work_ms
        await asyncio.sleep(self.random.uniform(low, high) / 1000)
        if is_write:
            value = fields["value"]
            position = self.group.commit(fields["key"], value)
        self.record(f"{self.name} ({rank}) ran {workload} id={identity} key={fields['key']} "
                    f"value={value} as_of={position} arrived={arrived - self.record.started:.1f}")
        return row(value.encode()) + self.status_parameters(position)


# ---- discovery

class Discovery:
    """Discovery's agent: whole lists, and watches that answer with what has changed."""

    def __init__(self, members, record, name="discovery"):
        self.members, self.record, self.name = members, record, name
        self.version = 41
        self.changed_at = {member.name: 41 for member in members}
        self.change = asyncio.Condition()
        self.calls = []  # (time, path, port of the caller)
        self.told = {}   # member name -> time at which its draining was first written to a caller
        self.server, self.writers, self.address = None, set(), None
        self.answer_delay_s = 0.0  # each answer is written so much after it was due

    def entry(self, member):
        return {"name": member.name, "address": member.address, "zone": "depot", "type": "m2",
                "group": member.group.number, "status": member.status, "weight": 1.0,
                "since_ms": member.since_ms, "rank": "source" if member.is_primary() else "copy"}

    def whole(self):
        return {"index": self.version, "snapshot": True,
                "endpoints": [self.entry(member) for member in self.members]}

    async def set_status(self, member, status):
        async with self.change:
            member.status = status
            self.version += 1
            self.changed_at[member.name] = self.version
            self.record(f"{self.name}: version {self.version}, {member.name} is {status}")
            self.change.notify_all()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def leave(self, after_s):
        """The address of an earlier configuration: takes no new connection, closes the open ones later."""
        self.server.close()
        self.record(f"{self.name}: {self.address} takes no new connection")
        await asyncio.sleep(after_s)
        for writer in list(self.writers):
            writer.close()
        self.record(f"{self.name}: {self.address} closed its connections")

    async def serve(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                self.calls.append((now_ms(), path, port))
                self.record(f"{self.name} called from port {port}: {path}")
                answer = await self.answer(path)
                if self.answer_delay_s:
                    await asyncio.sleep(self.answer_delay_s)
                    if reader.at_eof():
                        self.record(f"{self.name}: the caller at port {port} had hung up")
                        return
                body = json.dumps(answer).encode()
                for endpoint in answer["endpoints"]:
                    if endpoint["status"] == "DRAINING":
                        self.told.setdefault(endpoint["name"], []).append((now_ms(), port))
                        self.record(f"{self.name} tells port {port}: {endpoint['name']} DRAINING")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path):
        query = dict(re.findall(r"[?&](\w+)=(\d+)", path))
        if "after" not in query:
            return self.whole()
        after, wait_s = int(query["after"]), min(int(query.get("wait_ms", 0)), 60000) / 1000
        async with self.change:
            try:
                await asyncio.wait_for(self.change.wait_for(lambda: self.version > after), wait_s)
            except (asyncio.TimeoutError, TimeoutError):
                pass
        changed = [member for member in self.members if self.changed_at[member.name] > after]
        return {"index": self.version, "snapshot": False, "endpoints": [self.entry(member) for member in changed]}


# ---- clients

class Client:
    """A client with one connection, which it keeps; if that is closed between two requests, or crosses one that
    was not answered at all, it sends that request once more on a new connection."""

    def __init__(self, address, record, name):
        self.host, self.port = address.rsplit(":", 1)
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack(">i", 3 << 16) + b"user\0api\0database\0ledger\0\0"
        self.writer.write(struct.pack(">i", len(body) + 4) + body)
        while (await read_message(self.reader))[0] != b"Z":
            pass

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, identity, workload, time_left_ms, group, sql):
        """Returns (kind, value, time of the answer): served, refused, failed or lost."""
        text = f"/* id={identity},c={workload},d={int(time_left_ms)},cluster={group} */ {sql}"
        sent = now_ms()
        self.record(f"{self.name} sends {workload} id={identity}")
        for attempt in (1, 2):
            try:
                if self.writer is None:
                    await self.connect()
                self.writer.write(message(b"Q", text.encode() + b"\0"))
                limit = (time_left_ms + 500 - (now_ms() - sent)) / 1000
                kind, value = await asyncio.wait_for(self.read_answer(), max(limit, 0.001))
                break
            except (asyncio.TimeoutError, TimeoutError):
                self.close()
                kind, value = "lost", None
                break
            except (asyncio.IncompleteReadError, ConnectionError, OSError) as failure:
                self.close()
                self.record(f"{self.name} connection ended under id={identity} ({type(failure).__name__})")
                kind, value = "lost", None
        self.record(f"{self.name} got {kind} {value or ''} for id={identity} after {now_ms() - sent:.1f} ms")
        return kind, value, now_ms()

    async def read_answer(self):
        value, code = None, None
        while True:
            kind, body = await read_message(self.reader)
            if kind == b"D":
                value = body[6:].decode()
            elif kind == b"E":
                code = next((f[1:].decode() for f in body.split(b"\0") if f[:1] == b"C"), "?")
            elif kind == b"Z":
                if code is None:
                    return "served", value
                return ("refused" if code in ("53300", "57P03") else "failed"), code


async def steady_load(stop, address, record, requests, clients, mean_pause_s):
    """`clients` clients that ask one request after another. `requests(number, chance)` returns the workload, the
    time left in milliseconds, the group and the text of one."""
    async def one(index):
        chance = random.Random(index)
        client, number = Client(address, record, f"client{index}"), 0
        await asyncio.sleep(chance.uniform(0, mean_pause_s))
        while not stop.is_set():
            number += 1
            workload, time_left_ms, group, sql = requests(number, chance)
            await client.ask(f"{index:x}-{number:x}", workload, time_left_ms, group, sql)
            await asyncio.sleep(chance.expovariate(1 / mean_pause_s))
        client.close()

    await asyncio.gather(*(one(index) for index in range(clients)))


# ---- the program under test

class Driver:
    """The program under test, started with the deploy file's `run`; the processes of its upgrades too."""

    def __init__(self, folder, record):
        self.folder, self.record = Path(folder), record
        self.run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log_path = self.folder / "driver.log"
        self.process, self.pids, self.upgrades = None, [], 0
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.listen = "127.0.0.1:%d" % free.getsockname()[1]

    def write_config(self, config):
        path = self.folder / "config.json"
        replacement = self.folder / "config.json.new"
        replacement.write_text(json.dumps(config))
        replacement.replace(path)

    async def start(self, config):
        if not (ROOT / "target/release/asterlatch").exists():
            raise CannotRun("target/release/asterlatch isn't built")
        self.write_config(config)
        environment = dict(os.environ, RELAY_CONFIG=str(self.folder / "config.json"), TMPDIR=str(self.folder))
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", self.run], cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        self.pids = [self.process.pid]
        self.record(f"driver started as process {self.process.pid}, clients at {self.listen}")
        client = Client(self.listen, self.record, "front")
        for _ in range(300):
            await asyncio.sleep(0.1)
            try:
                await client.connect()
                client.writer.write(message(b"Q", b"\0"))
                if (await read_message(client.reader))[0] == b"I":
                    client.close()
                    return
            except (OSError, asyncio.IncompleteReadError):
                client.close()
        raise CannotRun("the driver didn't become ready within 30 s")

    def log_text(self):
        return self.log_path.read_text(errors="replace")

    def signal(self, number, pid=None):
        pid = pid or self.pids[-1]
        self.record(f"{signal.Signals(number).name} to process {pid}")
        os.kill(pid, number)

    async def wait_for_log(self, pattern, count=1, seconds=30.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = re.findall(pattern, self.log_text())
            if len(found) >= count:
                return found
            await asyncio.sleep(0.005)
        raise CannotRun(f"the driver's log never said {pattern!r} ({count} times)")

    def is_running(self, pid):
        try:
            state = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        except OSError:
            return False
        return state != "Z"

    async def begin_upgrade(self):
        """Asks the serving process for an upgrade to its own program (SIGUSR2); returns the new process."""
        self.upgrades += 1
        self.signal(signal.SIGUSR2)
        started = await self.wait_for_log(r"started \S+ as process (\d+)", self.upgrades)
        self.pids.append(int(started[self.upgrades - 1]))
        return self.pids[-1]

    async def upgrade(self, seconds=60.0):
        """A whole upgrade: returns once the predecessor has exited."""
        former = self.pids[-1]
        successor = await self.begin_upgrade()
        until = time.monotonic() + seconds
        while self.is_running(former):
            if not self.is_running(successor):
                raise CannotRun("the upgrade failed")
            if time.monotonic() > until:
                raise CannotRun("the upgrade didn't end")
            await asyncio.sleep(0.02)
        self.record(f"upgrade done: process {former} has exited, process {successor} serves")

    def stop(self):
        """Ends the processes of this driver: all are in the process group that it was started in."""
        if self.process is None:
            return
        for number in (signal.SIGTERM, signal.SIGKILL):
            for pid in self.pids:
                if self.is_running(pid):
                    try:
                        os.kill(pid, number)
                    except ProcessLookupError:
                        pass
            until = time.monotonic() + 3
            while time.monotonic() < until and any(self.is_running(pid) for pid in self.pids):
                time.sleep(0.05)
        try:
            os.killpg(self.process.pid, signal.SIGKILL)
        except ProcessLookupError:
            pass
        self.process.wait()


def play(case_folder, scenario, limit_s=115):
    """Runs `scenario(record, folder)`, an async function that returns a list of broken sentences; exits."""
    record = Record(Path(case_folder) / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="asterlatch-review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    drivers = []
    # A case that is itself told to end still ends what it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CANNOT_RUN))
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(record, folder, trouble, drivers), limit_s))
        for line in broken:
            record(f"BROKEN {line}")
        verdict = BROKEN if broken else HELD
    except (CannotRun, asyncio.TimeoutError, TimeoutError, OSError) as failure:
        record(f"CANNOT RUN {type(failure).__name__}: {failure}")
        verdict = CANNOT_RUN
    finally:
        for helper in HELPERS:
            if helper.poll() is None:
                helper.kill()
            helper.wait()
        for driver in drivers:
            driver.stop()
            if driver.log_path.exists():
                for line in driver.log_text().splitlines():
                    record.file.write(f"driver log: {line}\n")
        shutil.rmtree(folder, ignore_errors=True)
    record(f"exit code {verdict}")
    print(Path(case_folder).name, "exit code", verdict)
    sys.exit(verdict)
