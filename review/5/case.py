"""An entry host that reads a peer's copy never learns that a runner has left."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from common.standins import TROUBLE, Consumer, Deployment, Record, run_case  # noqa: E402

DRAIN_S = 2.0  # drainMs
STABLE_S = 3.0  # stableWindowMs
RESTART_DELAY_S = 1.0
# A host ends 2.7 s after SIGTERM if it has nothing to do.
BEFORE_CUT_S = 2.2
CUT_S = 5.4
SERVES_ON_S = 16.0
INTERVAL_S = 0.05
WORK_S = 0.09


async def send_bookings(record: Record, host, replies: list, stop: asyncio.Event):
    consumers = [Consumer(record, host) for _ in range(8)]
    number = 0
    tasks = set()
    while not stop.is_set():
        consumer = consumers[number % len(consumers)]
        number += 1
        attempt_id = f"{number:016x}"

        async def send(consumer=consumer, attempt_id=attempt_id):
            replies.append(await consumer.send(attempt_id, "/book/1", deadline_ms=1000))

        tasks.add(task := asyncio.create_task(send()))
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def play(record: Record) -> list[str]:
    deployment = Deployment(record, 2)
    watched, other = deployment.hosts
    for number, zone in enumerate(("accra-a", "accra-b", "accra-a"), 1):
        deployment.add_runner(f"i-b{number}", "booking-app", zone, 6, work_s=WORK_S)
    try:
        await deployment.start()
        await asyncio.sleep(6)
        replies: list = []
        stop = asyncio.Event()
        traffic = asyncio.create_task(send_bookings(record, watched, replies, stop))
        await asyncio.sleep(2)
        leaving = deployment.runners[0]
        if TROUBLE:
            # Planned restart of the other host; the runner leaves meanwhile.
            other.send_signal(signal.SIGTERM)
            await asyncio.sleep(BEFORE_CUT_S)
            watched.door.cut()
            cut_s = record.now()
            record.write("cut", host=watched.name)
            await other.wait_ended()
            await asyncio.sleep(RESTART_DELAY_S / 2)
        leaving.unlist()
        unlisted_s = record.now()
        if TROUBLE:
            await asyncio.sleep(RESTART_DELAY_S / 2)
            await other.start()
            await other.wait_ready()
            await asyncio.sleep(cut_s + CUT_S - record.now())
            watched.door.heal()
            record.write("healed", host=watched.name)
        in_touch_s = record.now() + STABLE_S
        await asyncio.sleep(unlisted_s + SERVES_ON_S - record.now())
        # It exits at a moment at which it works on a booking, if it still gets any.
        for _ in range(200):
            running = [run.attempt_id for run in leaving.arrivals if not run.is_answered]
            if running:
                break
            await asyncio.sleep(0.005)
        leaving.exit_process()
        await asyncio.sleep(2)
        stop.set()
        await traffic
    finally:
        await deployment.end()
    bound_s = max(unlisted_s + DRAIN_S, in_touch_s)
    sent_s = {reply.attempt_id: reply.sent_s for reply in replies}
    late = [
        run
        for run in leaving.arrivals
        if run.at_s > unlisted_s + DRAIN_S and sent_s[run.attempt_id] > bound_s
    ]
    lost = [reply for reply in replies if reply.attempt_id in running]
    for reply in lost:
        record.write("lost_at_exit", id=reply.attempt_id, status=reply.status)
    record.write(
        "summary",
        unlisted_s=f"{unlisted_s:.3f}",
        in_touch_s=f"{in_touch_s:.3f}",
        sent=len(replies),
        served=sum(reply.status == 200 for reply in replies),
        late_arrivals=len(late),
        lost_at_exit=len(lost),
    )
    return [
        f"{run.attempt_id} reached {leaving.runner_id}"
        f" {run.at_s - unlisted_s:.1f} s after its entry was removed"
        for run in late
    ]


if __name__ == "__main__":
    run_case(CASE, play)
