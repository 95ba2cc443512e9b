"""A machine is replaced at its address. Tasks that its successor runs must be released to their owner when they end."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from platform_standin import Board, Machine, Owner, Scheduler, main, settings  # noqa: E402

# The board hears of the replacement after this time (notice_s = 2 to 4.3 s, add_s = 0.6 to 2.2 s).
NOTICE = 3.0
# Another machine starts at the address after this time, in seconds.
REUSE = 1.0
# An owner waits this long before it asks again for a task that must not run twice and may run (checkAfterS).
CHECK_AFTER = 3.0
# How long a task runs, in seconds.
LIFE = 9.0
# What is over has to be released within 1 s of the machine's release, and 50 ms more. The check is at 8 s.
LIMIT = 8.05
TASKS = 12
CLASS = "batch"


async def case(record, trouble):
    board = Board(record)
    await board.start()
    machines = [Machine(record, f"s-{n}", life=lambda parameters: LIFE) for n in range(3)]
    for machine in machines:
        await machine.start()
    await board.tell([machine.entry() for machine in machines], reset=True)
    unsafe = dict(settings()["services"][0], name=CLASS, effect="unsafe", aimS=4.5, deadlineS=8.5, credit=3)
    scheduler = Scheduler(record, board, services=[unsafe])
    await scheduler.start()
    try:
        await asyncio.sleep(1)
        owner = await Owner(record, "owner", scheduler.address).connect()

        # The disruption: the process of a machine ends, and another machine starts at its address.
        started = time.monotonic()
        if trouble:
            victim = machines[0]
            victim.die()
            await asyncio.sleep(REUSE)
            successor = Machine(record, "s-9", life=lambda parameters: LIFE)
            await successor.start(victim.port)
            machines.append(successor)
            record(f"s-9 listens at {successor.address}, the address of {victim.name}")
            successor_started_at = time.time()
        await asyncio.sleep(0.3)
        tasks = [0x1000 + n for n in range(TASKS)]
        for n, task in enumerate(tasks):
            owner.submit(task, wait_ms=8500, class_name=CLASS, service=n)
            await asyncio.sleep(0.05)
        await asyncio.sleep(started + NOTICE - time.monotonic())
        if trouble:
            await board.tell([victim.entry("Gone"), successor.entry(started_at=successor_started_at)])
        await asyncio.sleep(CHECK_AFTER + 0.2)

        # What was released to the owner as lost, and runs all the same, is handed to the scheduler.
        for n, task in enumerate(tasks):
            holder = next((machine for machine in machines if task in machine.standing), None)
            if owner.releases.get(task) and holder:
                record(f"the owner was told that {task:016x} is over; it runs at {holder.name}, and is handed over")
                owner.submit(task, wait_ms=8500, class_name=CLASS, service=n,
                             figures=f"cores:1;memory:2;at:{holder.name}")
        await asyncio.sleep(LIFE + 12)

        lost = ended = 0
        for task in tasks:
            holder = next((machine for machine in machines if task in machine.ends), None)
            if holder is None:
                continue
            ended += 1
            after = [at - holder.ends[task] for at, _ in owner.releases.get(task, []) if at >= holder.ends[task]]
            text = ", ".join(f"{seconds:.2f} s" for seconds in after) or "never, within 12 s"
            record(f"{task:016x} ended at {holder.name}; released to its owner after: {text}")
            lost += not any(seconds <= LIMIT for seconds in after)
        if ended < TASKS or trouble and not any(task in successor.ends for task in tasks):
            raise RuntimeError("too few tasks ran, or none at the new machine")
        record(f"{lost} of {ended} tasks that were over were not released within 8 s")
        return lost
    finally:
        await scheduler.end()


main(case, os.path.dirname(os.path.abspath(__file__)))
