"""Spoiled events reach the caller, and the stream is resumed at the wrong place."""

import asyncio
import itertools
import re
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from common.standins import (  # noqa: E402
    TROUBLE,
    Consumer,
    Deployment,
    Record,
    Runner,
    reset,
    run_case,
)

ENGINES = 5
EVENTS = 13
LETTER_INTERVAL_S = 0.066
# Of the answers of one engine of five, one in fifty is spoiled, four times for 5.5 s.
SPOILED_EVERY = 50
SPOILING_S = 5.5
CALM_S = 4.0
PERIODS = 4
PIECE = re.compile(rb"data: piece (\d+)\n")


class SpoilingRunner(Runner):
    """Spoils some answers, in two ways that take turns.

    Either the first event has lost its id line, and then the channel is reset. Or one
    byte of the second event is wrong, a digit of its id, and the rest is as it should be.
    """

    is_spoiling = False
    begun = 0
    spoiled = 0

    async def _stream(self, request, headers, writer) -> None:
        if not self.is_spoiling:
            return await super()._stream(request, headers, writer)
        self.begun += 1
        if self.begun % SPOILED_EVERY:
            return await super()._stream(request, headers, writer)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        self.spoiled += 1
        attempt_id = request.header("X-Figshunt-Attempt-Id")
        way = "id_lost_and_reset" if self.spoiled % 2 else "wrong_digit"
        self.record.write("spoiled", runner=self.runner_id, id=attempt_id, way=way)
        number = int(request.header("Last-Event-Id", "0")) + 1
        if way == "wrong_digit":
            for number in range(number, self.events + 1):
                await asyncio.sleep(self.work_s)
                sent_id = 9 if number == 2 else number
                event = b"id: %d\ndata: piece %d\n\n" % (sent_id, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return await writer.drain()
        await asyncio.sleep(self.work_s)
        event = b"data: piece %d\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(self.work_s)
        reset(writer)


async def play(record: Record) -> list[str]:
    deployment = Deployment(record, 1)
    host = deployment.hosts[0]
    for number in range(1, ENGINES + 1):
        deployment.runners.append(
            SpoilingRunner(
                record,
                deployment.store,
                f"i-e{number}",
                "draft-llm",
                "accra-a",
                64,
                0.01,
                EVENTS,
            )
        )
    replies: list = []
    tasks: set = set()

    async def send(number: int) -> None:
        consumer = Consumer(record, host)
        replies.append(
            await consumer.send(
                f"{number:016x}",
                f"/letter/{number}",
                body=b"%018d" % number * 100,
                deadline_ms=5000,
                extra=(
                    ("X-Figshunt-Model", "m"),
                    ("X-Figshunt-Token-Counts", "9190,52"),
                    ("X-Figshunt-Prompt-Prefix", f"5c1e07a2:6300,{number:08x}:2890"),
                ),
            )
        )
        consumer.close()

    async def send_letters() -> None:
        for number in itertools.count():
            tasks.add(task := asyncio.create_task(send(number)))
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(LETTER_INTERVAL_S)

    try:
        await deployment.start()
        await asyncio.sleep(5)
        traffic = asyncio.create_task(send_letters())
        await asyncio.sleep(CALM_S)
        # The one that has run the most letters so far.
        runner = max(deployment.runners, key=lambda one: len(one.arrivals))
        for _ in range(PERIODS):
            if TROUBLE:
                runner.is_spoiling = True
                record.write("runner_spoils_answers", runner=runner.runner_id)
            await asyncio.sleep(SPOILING_S)
            runner.is_spoiling = False
            await asyncio.sleep(CALM_S)
        traffic.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=7)
    finally:
        await deployment.end()
    broken = []
    for reply in replies:
        if reply.status != 200 or not reply.is_complete:
            continue
        pieces = [int(number) for number in PIECE.findall(reply.body)]
        if pieces != list(range(1, EVENTS + 1)):
            record.write("stream", id=reply.attempt_id, body=reply.body[:200])
            broken.append(f"{reply.attempt_id} is complete with the pieces {pieces}")
    record.write(
        "summary",
        sent=len(replies),
        complete=sum(reply.status == 200 and reply.is_complete for reply in replies),
        wrong=len(broken),
    )
    return broken


if __name__ == "__main__":
    run_case(CASE, play)
