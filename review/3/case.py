"""Bad clients send hundreds of requests at once: the scheduler must stay within its limit on memory."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from platform_standin import (CLASS, DESCRIPTION, FIGURES, NAME, SET_UP, WAIT_MS, Board, Machine, Owner,  # noqa: E402
                              Scheduler, encode, main)

# Limit of this scheduler, in MB. The pages give 32 to 192 MB.
MEMORY_MB = 64
BAD_CLIENTS = 20
# "Hundreds of requests at once", each a valid message of less than 16 KiB.
REQUESTS = 300
DESCRIPTION_BYTES = 15_000
SECONDS = 20


async def bad_client(record, number, address):
    """Sends its requests at full speed, and reads what is sent to it."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))

    async def send():
        for n in range(REQUESTS):
            task = 0xBAD0_0000_0000 + number * 0x1_0000 + n
            writer.write(encode(SET_UP, task, [
                (CLASS, "web"), (WAIT_MS, "6000"), (NAME, f"{task:016x}"),
                (FIGURES, f"cores:1;memory:2;service:{task:016x}"), (DESCRIPTION, b"?" * DESCRIPTION_BYTES)]))
            await writer.drain()
        record(f"bad client {number} has sent {REQUESTS} requests")

    sender = asyncio.ensure_future(send())
    received = 0
    try:
        while data := await reader.read(65536):
            received += len(data)
    except OSError:
        pass
    finally:
        sender.cancel()
        writer.close()
        record(f"bad client {number} got {received} bytes")


async def case(record, trouble):
    board = Board(record)
    await board.start()
    # A machine answers with an error to what it can't use.
    machines = [Machine(record, f"s-{n}", usable=lambda parameters: not parameters[DESCRIPTION].startswith(b"?"))
                for n in range(12)]
    for machine in machines:
        await machine.start()
    await board.tell([machine.entry() for machine in machines], reset=True)
    scheduler = Scheduler(record, board, memory_mb=MEMORY_MB)
    await scheduler.start()
    most, killed, bad = 0.0, False, []
    try:
        owner = await Owner(record, "owner", scheduler.address).connect()
        for step in range(SECONDS * 20):
            if step % 2 == 0 and not killed:
                owner.submit(0x1000 + step, service=step % 20)
            if trouble and step == 40:
                bad = [asyncio.ensure_future(bad_client(record, n, scheduler.address)) for n in range(BAD_CLIENTS)]
            await asyncio.sleep(0.05)
            if killed:
                continue
            now = scheduler.memory_mb()
            most = max(most, now)
            if step % 20 == 0:
                record(f"memory of the scheduler: {now:.1f} MB")
            if now > MEMORY_MB:
                record(f"memory of the scheduler: {now:.1f} MB; the platform kills it, as its limit is {MEMORY_MB} MB")
                scheduler.signal(signal.SIGKILL)
                killed = True
        unanswered = [task for task in owner.sent if task not in owner.answers and task not in owner.releases]
        record(f"most memory: {most:.1f} MB of {MEMORY_MB} MB; the owner's requests without an answer: {len(unanswered)}")
        return killed
    finally:
        for task in bad:
            task.cancel()
        await scheduler.end()


main(case, os.path.dirname(os.path.abspath(__file__)))
