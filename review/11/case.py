"""A runner leaves while the hosts' channels to the store have fallen silent.

It serves on for a little longer than it has to, and exits. Bookings must not run twice,
so that those that run there at its exit are lost.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

import lab  # noqa: E402

PER_S = 60.0
BOOKINGS_PER_S = 40.0
BOOKING_S = 0.2
DRAIN_S = 2.0
STABLE_S = 3.0

# The new runner joins, the channels fall silent, and the old runner leaves.
SILENT_AFTER_S = 0.1
LEAVES_AFTER_S = 1.0
SERVES_ON_S = DRAIN_S + 0.6


async def play(record: lab.Record) -> bool:
    """Play the case and return whether the rule held."""
    deployment = lab.Deployment(record, ["here-a", "here-b"], hosts=3)
    for number, zone in enumerate(("here-a", "here-a", "here-b", "here-b")):
        deployment.add_runner(f"i-{number + 1}", "look-app", zone)
    for runner in deployment.runners:
        runner.work_s = BOOKING_S
    leaver = deployment.runners[0]
    silent_s = float("-inf")
    try:
        await deployment.start(
            lab.build_configuration(
                [
                    lab.build_route("look", "look-app"),
                    lab.build_route("book", "look-app", kind="unsafe", maxAttempts=1),
                ],
                [lab.build_service("look-app", coldS=0, coldPerS=0)],
            )
        )
        consumers = lab.Consumers(deployment.hosts, record)
        traffic = asyncio.create_task(
            consumers.send_at_rate(PER_S, 18.0, "GET", "/look/1", 1000)
        )
        bookings = asyncio.create_task(
            consumers.send_at_rate(BOOKINGS_PER_S, 18.0, "POST", "/book/1", 1000)
        )
        await asyncio.sleep(6.0)
        joiner = deployment.add_runner("i-5", "look-app", "here-a")
        joiner.work_s = BOOKING_S
        await joiner.join()
        await asyncio.sleep(SILENT_AFTER_S)
        if lab.has_trouble():
            channels = deployment.store.silence_channels()
            silent_s = record.write("silent", channels=channels)
        await asyncio.sleep(LEAVES_AFTER_S - SILENT_AFTER_S)
        leaver.forget_entry()
        left_s = record.now()
        await asyncio.sleep(SERVES_ON_S)
        await leaver.stop()
        record.write("runner_exited", runner=leaver.runner_id)
        await traffic
        await bookings
        await consumers.wait(3.0)
    finally:
        await deployment.stop()
    lost = sum(
        consumers.sent[arrival.request_id].status != 200 for arrival in leaver.arrivals
    )
    record.say(f"{lost} requests that ran at {leaver.runner_id} have no answer")
    served = sum(sent.status == 200 for sent in consumers.sent.values())
    record.say(f"{served} of {len(consumers.sent)} requests were served")
    return judge(record, consumers, leaver, silent_s, left_s)


def judge(
    record: lab.Record,
    consumers: lab.Consumers,
    leaver: lab.Runner,
    silent_s: float,
    left_s: float,
) -> bool:
    """Return whether no request reached the runner too late.

    Machines are in touch, as they were before, from ``STABLE_S`` after their channels
    fell silent, which counts as a reset of them. Only requests that were also taken
    from the consumer by then count.
    """
    in_touch_s = silent_s + STABLE_S
    late = [
        arrival.time_s
        for arrival in leaver.arrivals
        if arrival.has_run
        and arrival.time_s > left_s + DRAIN_S
        and consumers.sent[arrival.request_id].sent_s >= in_touch_s
    ]
    last_s = max((arrival.time_s for arrival in leaver.arrivals), default=left_s)
    record.say(
        f"{leaver.runner_id} left at {left_s:.2f} s, silence at {silent_s:.2f} s;"
        f" {len(late)} requests reached it later than {DRAIN_S:g} s after that from"
        f" machines in touch, the last one {last_s - left_s:.2f} s after it"
    )
    return not late


if __name__ == "__main__":
    sys.exit(lab.run_case(__file__, play))
