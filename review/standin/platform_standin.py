"""Stand-ins for the platform of the scheduler: notice board, machines and owners, and the scheduler's process.

Everything runs on loopback addresses and the real clock. Messages follow the protocol page. Each stand-in writes what it
sends, receives and runs to the record of the case.
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
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD = 1, 6, 9, 12, 16
TEST, TEST_RESULT, NOTE, MOVE = 52, 53, 44, 51
KIND_NAMES = {SET_UP: "set-up", PROGRESS: "progress", ANSWER: "answer", RELEASE: "release",
              RELEASE_HEARD: "release heard", TEST: "test", TEST_RESULT: "test result", NOTE: "note", MOVE: "move"}
CLASS, WAIT_MS, RETRY, NAME, FIGURES = 180, 183, 189, 192, 195
REASON, REPORT, HINT, LEVEL, CAUSE, DESCRIPTION = 201, 207, 210, 216, 222, 225


def encode(kind, task, parameters=()):
    body = bytes([kind]) + struct.pack(">Q", task)
    for code, value in parameters:
        if isinstance(value, str):
            value = value.encode()
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body):
    kind, task = body[0], struct.unpack(">Q", body[1:9])[0]
    parameters, at = {}, 9
    while at < len(body):
        code, length = struct.unpack(">BH", body[at:at + 3])
        parameters.setdefault(code, body[at + 3:at + 3 + length])
        at += 3 + length
    return kind, task, parameters


async def read_message(reader):
    length = struct.unpack(">H", await reader.readexactly(2))[0]
    return decode(await reader.readexactly(length))


def release(task, cause, *more):
    return encode(RELEASE, task, [(CAUSE, bytes([cause])), *more])


class Record:
    """Writes one line for each event, with the seconds since the start and the Unix time."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Board:
    """The notice board: numbered events as server-sent events, a comment each second.

    `head_delay` is the time it takes to answer a call, in seconds.
    """

    def __init__(self, record):
        self.record = record
        self.events = []
        self.head_delay = 0.0
        self.changed = asyncio.Condition()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def event(self, instances, reset=False):
        rev = len(self.events) + 1
        return {"rev": rev, "pool": {"generation": rev, "reset": reset, "instances": instances}}

    async def tell(self, instances, reset=False):
        async with self.changed:
            self.events.append(self.event(instances, reset))
            text = ", ".join(f"{i['instanceId']} {i['lifecycle']} at {i['hostPort']}" for i in instances)
            self.record(f"board holds event {len(self.events)}: {text}")
            self.changed.notify_all()

    def known(self):
        return {"rev": len(self.events), "notices": list(self.events)}

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            found = re.search(rb"(?i)last-event-id: *(\d+)", head)
            last = int(found.group(1)) if found else 0
            self.calls += 1
            self.record(f"board gets a call, Last-Event-ID {last}")
            await asyncio.sleep(self.head_delay)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: here\n\n")
            await writer.drain()
            self.record("board answers the call")
            while True:
                async with self.changed:
                    news = self.events[last:]
                    if not news:
                        try:
                            await asyncio.wait_for(self.changed.wait(), 1.0)
                        except asyncio.TimeoutError:
                            pass
                        news = self.events[last:]
                for event in news:
                    writer.write(f"id: {event['rev']}\ndata: {json.dumps(event)}\n\n".encode())
                    self.record(f"board sends event {event['rev']}")
                if not news:
                    writer.write(b": still here\n\n")
                last += len(news)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            self.record("board: the scheduler closed the call")
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


class Machine:
    """A machine: looks at one offer at a time, answers, runs the task for `life` seconds, and releases it."""

    def __init__(self, record, name, life=lambda parameters: 600.0, usable=lambda parameters: True):
        self.record = record
        self.name = name
        self.life = life
        self.usable = usable
        self.look = (0.008, 0.039)
        self.standing = {}
        self.asked = asyncio.Queue()
        self.given_up = set()
        self.connections = set()
        self.offers = []
        self.background = set()
        self.vanished = False
        self.unheard = set()
        self.ends = {}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.spawn(self.look_at_offers())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def entry(self, lifecycle="Ready", started_at=0.0, cell=0, zone="east", kind="std", cores=30, memory=60):
        return {"instanceId": self.name, "hostPort": self.address, "zone": zone, "machineType": kind, "cell": cell,
                "lifecycle": lifecycle, "weight": 1, "startedAtMs": int(started_at * 1000), "left_over": [cores, memory]}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        for task in self.unheard:
            self.record(f"{self.name} sends its release of {task:016x} again, on a new connection")
            writer.write(release(task, 16))
        try:
            while True:
                kind, task, parameters = await read_message(reader)
                if self.vanished:
                    await asyncio.sleep(3600)
                if kind == TEST:
                    writer.write(encode(TEST_RESULT, task, [(CAUSE, b"\x01")]))
                elif kind == RELEASE_HEARD:
                    self.unheard.discard(task)
                elif kind == SET_UP:
                    self.offers.append((time.monotonic(), task))
                    self.record(f"{self.name} gets set-up {task:016x}")
                    self.given_up.discard((id(writer), task))
                    await self.asked.put((writer, task, parameters))
                elif kind == RELEASE:
                    self.record(f"{self.name} gets release {task:016x}")
                    self.given_up.add((id(writer), task))
                    if self.standing.pop(task, None):
                        self.record(f"{self.name} cuts {task:016x}")
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def look_at_offers(self):
        while True:
            writer, task, parameters = await self.asked.get()
            await asyncio.sleep(random.uniform(*self.look))
            if writer.is_closing() or (id(writer), task) in self.given_up:
                continue
            if not self.usable(parameters):
                self.record(f"{self.name} sends error for {task:016x}")
                writer.write(release(task, 47))
                continue
            self.standing[task] = writer
            self.record(f"{self.name} runs {task:016x} and answers")
            writer.write(encode(ANSWER, task, [(DESCRIPTION, f"{self.name}/{task:016x}")]))
            self.spawn(self.run(task, self.life(parameters)))

    async def run(self, task, seconds):
        await asyncio.sleep(seconds)
        writer = self.standing.pop(task, None)
        if writer is None:
            return
        self.ends[task] = time.monotonic()
        self.unheard.add(task)
        if writer.is_closing() or writer not in self.connections:
            writer = next(iter(self.connections), None)
            self.record(f"{self.name} ends {task:016x}; releases it on {'another' if writer else 'the next'} connection")
        else:
            self.record(f"{self.name} ends {task:016x}; releases it on the connection of its set-up")
        if writer:
            writer.write(release(task, 16))

    def vanish(self):
        """The machine vanishes: its open connections stay open and silent, new ones never come up, its tasks are cut."""
        ended = list(self.standing)
        self.standing.clear()
        for task in list(self.background):
            task.cancel()
        self.vanished = True
        for writer in list(self.connections):
            writer.transport.pause_reading()
        self.server.close()
        self.silent = socket.socket()
        self.silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.silent.bind(("127.0.0.1", self.port))
        self.silent.listen(0)
        self.filler = socket.create_connection(("127.0.0.1", self.port))
        self.record(f"{self.name} vanishes; cut: {' '.join(f'{task:016x}' for task in ended) or 'nothing'}")
        return ended

    def free_address(self):
        """Frees the address of a machine that has vanished, for another machine."""
        self.filler.close()
        self.silent.close()

    def die(self):
        """The process dies: its connections are reset, its tasks are cut, nobody listens any more."""
        ended = list(self.standing)
        self.standing.clear()
        for task in list(self.background):
            task.cancel()
        self.server.close()
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.record(f"{self.name} dies; cut: {' '.join(f'{task:016x}' for task in ended) or 'nothing'}")
        return ended


class Owner:
    """An owner with one connection to the scheduler."""

    def __init__(self, record, name, address):
        self.record = record
        self.name = name
        self.host, port = address.split(":")
        self.port = int(port)
        self.answers = {}
        self.releases = {}
        self.sent = {}
        self.closed_at = None
        self.logged = True

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.task = asyncio.ensure_future(self.read())
        return self

    def submit(self, task, wait_ms=6000, class_name="web", service=1, description="v=0", figures="cores:1;memory:2", more=()):
        self.sent[task] = time.monotonic()
        if self.logged:
            self.record(f"{self.name} sends set-up {task:016x}")
        self.writer.write(encode(SET_UP, task, [
            (CLASS, class_name), (WAIT_MS, str(wait_ms)), (NAME, f"{task ^ 0x5555:016x}"),
            (FIGURES, f"{figures};service:{service:016x}"), *more, (DESCRIPTION, description)]))

    async def read(self):
        try:
            while True:
                kind, task, parameters = await read_message(self.reader)
                cause = parameters.get(CAUSE, b"\x00")[0]
                if self.logged:
                    self.record(f"{self.name} gets {KIND_NAMES.get(kind, kind)} {task:016x} cause {cause}")
                if kind == TEST:
                    self.writer.write(encode(TEST_RESULT, task, [(CAUSE, b"\x01")]))
                elif kind == ANSWER:
                    self.answers.setdefault(task, []).append((time.monotonic(), parameters.get(DESCRIPTION)))
                elif kind in (RELEASE, MOVE):
                    self.releases.setdefault(task, []).append((time.monotonic(), cause))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            self.closed_at = time.monotonic()
            self.record(f"{self.name}: the connection ended")

    def close(self):
        self.writer.close()


def settings(**changes):
    """Settings of a small deployment: one zone, one type of machine, one safe class."""
    value = {
        "balancers": 1, "ordinal": 0, "locality": 0, "discovery": "ask",
        "services": [{"name": "web", "aimS": 0.7, "deadlineS": 6, "effect": "safe", "group": "all", "credit": 1,
                      "windowS": 5}],
        "kinds": ["std"], "zones": ["east"],
        "familyInfo": {
            "acceptsMemory": 1.5, "ack": "accepted", "admitCores": 2.5, "apartBy": ["none"], "classCalm": [1],
            "coldBears": 13, "kindByClass": [-1], "kindCores": [32], "lostAfter": [1], "memOfKind": [64],
            "priorityByClass": [0], "startSeconds": [10], "togetherMax": [0], "listsFree": True},
        "limits": {"maxAttempts": 4, "connectTimeoutS": 0.25, "connIdleS": 30}, "report": {"via": "answers"},
        "safety": {"answerSlackS": 0.008, "coldFrom": 0.15, "coldS": 18, "drainGraceS": 1, "fallMultiple": 2.5,
                   "overloadForS": 1},
        "tariffs": {}}
    value.update(changes)
    return value


class Scheduler:
    """The scheduler's process, started with the `run` line of the deploy file."""

    def __init__(self, record, board, known=None, memory_mb=192, sockets=1024, **changes):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.board = board
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.settings = settings(**changes)
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % probe.getsockname()[1]
        probe.close()
        self.config = os.path.join(self.folder, "config.json")

    def write_config(self):
        temporary = self.config + ".new"
        with open(temporary, "w") as file:
            json.dump({"name": "n0", "listen": self.address, "seed": "%016x" % random.getrandbits(64),
                       "limits": self.limits, "board": self.board.address, "known": self.board.known(),
                       "settings": self.settings}, file)
        os.replace(temporary, self.config)

    async def start(self):
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'(?m)^run *= *"([^"]*)"', file.read()).group(1)
        scratch = os.path.join(self.folder, "tmp")
        shutil.rmtree(scratch, ignore_errors=True)
        os.mkdir(scratch)
        environment = dict(os.environ, RELAY_NAME="n0", RELAY_LISTEN=self.address, RELAY_CONFIG=self.config,
                           TMPDIR=scratch)
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"ulimit -n {self.limits['sockets']}; {run}", cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record(f"scheduler starts: {run}")
        for _ in range(300):
            if self.process.returncode is not None:
                raise RuntimeError("the scheduler ended at its start")
            try:
                reader, writer = await asyncio.open_connection(*self.address.split(":"))
                writer.write(encode(TEST, 1, [(CAUSE, b"\x00")]))
                kind, _, _ = await read_message(reader)
                writer.close()
                if kind == TEST_RESULT:
                    self.record("scheduler passes its first test")
                    return
            except OSError:
                await asyncio.sleep(0.1)
        raise RuntimeError("the scheduler is not ready after 30 s")

    def memory_mb(self):
        """Memory that the process holds for itself, without files, in MB."""
        with open(f"/proc/{self.process.pid}/status") as file:
            found = re.search(r"RssAnon:\s*(\d+) kB", file.read())
        return int(found.group(1)) / 1024 if found else 0.0

    def signal(self, number):
        self.record(f"scheduler gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
        await self.process.wait()
        self.log.close()
        with open(os.path.join(self.folder, "log"), errors="replace") as file:
            self.record("the scheduler's log, first lines:")
            for line in file.readlines()[:60]:
                self.record("  " + line.rstrip())
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, timeout=110):
    """Runs the coroutine `case(record, trouble)`, which returns the number of broken promises, and exits with the
    script's code."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case {os.path.basename(folder)}, {'with' if trouble else 'without'} the disruption")

    async def bounded():
        task = asyncio.ensure_future(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, timeout)

    try:
        broken = asyncio.run(bounded())
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record(f"could not run: {error!r}")
        code = 2
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no result"}[code])
    print({0: "held", 1: "broken", 2: "no result"}[code])
    raise SystemExit(code)
