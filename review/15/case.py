"""A limit that a runner names is ignored after its zone was evacuated."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

import lab  # noqa: E402

PER_S = 30.0
LIMIT_PER_S = 1.0
WINDOW_S = 4.0
STABLE_S = 3.0
DRAIN_S = 2.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5

# A machine counts from half a second after it passed on an answer with the limit.
KNOWN_S = 0.5


async def play(record: lab.Record) -> bool:
    """Play the case and return whether the rule held."""
    deployment = lab.Deployment(record, ["here-a", "here-b"], hosts=3)
    for number, zone in enumerate(("here-a", "here-a", "here-b", "here-b")):
        deployment.add_runner(f"i-{number + 1}", "look-app", zone)
    in_need, *_, leaver = deployment.runners
    store = deployment.store
    try:
        await deployment.start(
            lab.build_configuration(
                [lab.build_route("look", "look-app")],
                [lab.build_service("look-app", coldS=0, coldPerS=0)],
            )
        )
        consumers = lab.Consumers(deployment.hosts, record)
        traffic = asyncio.create_task(
            consumers.send_at_rate(PER_S, 34.0, "GET", "/look/1", 1000)
        )
        await asyncio.sleep(3.0)
        in_need.limit_per_s = LIMIT_PER_S
        record.write("limit_named", runner=in_need.runner_id, per_s=LIMIT_PER_S)
        named_s = record.now()
        await asyncio.sleep(6.0)
        if lab.has_trouble():
            store.put("op/evacuate/here-a", {"zone": "here-a"})
            record.write("evacuated", zone="here-a")
            await asyncio.sleep(1.0)
            await leaver.leave(DRAIN_S)
            await asyncio.sleep(1.0)
            store.delete("op/evacuate/here-a")
            record.write("taken_back", zone="here-a")
        await traffic
        await consumers.wait(3.0)
    finally:
        await deployment.stop()
    served = sum(sent.status == 200 for sent in consumers.sent.values())
    record.say(f"{served} of {len(consumers.sent)} requests were served")
    if served < 0.9 * len(consumers.sent):
        raise lab.CannotRunError("too few requests were served")
    return judge(record, consumers, in_need, named_s)


def judge(
    record: lab.Record, consumers: lab.Consumers, runner: lab.Runner, named_s: float
) -> bool:
    """Return whether the runner got no more than its limit allows."""
    knows_from_s: dict[str, float] = {}
    for sent in consumers.sent.values():
        if "server-limit" in sent.headers and sent.answered_s is not None:
            known_s = sent.answered_s + KNOWN_S
            earlier_s = knows_from_s.get(sent.host, known_s)
            knows_from_s[sent.host] = min(earlier_s, known_s)
    times_s = [
        arrival.time_s
        for arrival in runner.arrivals
        if arrival.time_s >= named_s + STABLE_S
        and arrival.time_s
        >= knows_from_s.get(consumers.sent[arrival.request_id].host, float("inf"))
    ]
    most, at_s = 0, 0.0
    for start_s in times_s:
        count = sum(start_s <= time_s <= start_s + WINDOW_S for time_s in times_s)
        if count > most:
            most, at_s = count, start_s
    record.say(
        f"{runner.runner_id} names {LIMIT_PER_S:g} a second and got at most {most} "
        f"requests in {WINDOW_S:g} s, from {at_s:.1f} s on; allowed {ALLOWED:g}"
    )
    return most <= ALLOWED


if __name__ == "__main__":
    sys.exit(lab.run_case(__file__, play))
