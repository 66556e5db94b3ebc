"""The log never waits for its reader, stays bounded, and says what it dropped."""

import asyncio
import os
import time

import orjson

from bayhinge._internal.utils.log_output import (
    BUFFER_BYTES,
    ORDINARY_PER_SECOND,
    LineBudget,
    LogOutput,
)


def read_lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            piece = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            break
        if not piece:
            break
        data += piece
    return [orjson.loads(line) for line in data.splitlines()]


def test_a_reader_that_stalls_holds_nothing_up_and_learns_what_it_missed() -> None:
    async def main() -> None:
        reading, writing = os.pipe()
        log = LogOutput(writing)
        began = time.perf_counter()
        for number in range(20_000):
            log({"message_type": "request.refused", "number": number, "text": "x" * 40})
        assert time.perf_counter() - began < 2.0
        assert log._buffered_bytes <= BUFFER_BYTES
        assert log.dropped > 0
        lines = read_lines(reading)
        for _ in range(50):
            await asyncio.sleep(0.005)
            lines += read_lines(reading)
        assert not log._buffer
        log({"message_type": "request.refused", "number": -1})
        lines += read_lines(reading)
        said = sum(int(str(line["lines"])) for line in lines if "lines" in line)
        assert said == log.dropped
        numbers = [line["number"] for line in lines if "number" in line]
        assert numbers[-1] == -1
        assert len(numbers) == 20_001 - log.dropped
        os.close(reading)
        os.close(writing)

    asyncio.run(main())


def test_ordinary_lines_give_way_and_failures_stay() -> None:
    reading, writing = os.pipe()
    log = LogOutput(writing)
    for _ in range(3 * ORDINARY_PER_SECOND):
        log({"message_type": "request.served"})
    log({"message_type": "request.refused"})
    types = [line["message_type"] for line in read_lines(reading)]
    assert types.count("request.served") <= 2 * ORDINARY_PER_SECOND
    assert types[-1] == "request.refused"
    assert log.ordinary.suppressed >= ORDINARY_PER_SECOND
    os.close(reading)
    os.close(writing)


def test_a_reader_that_is_gone_is_no_error() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    log = LogOutput(writing)
    log({"message_type": "host.started"})
    assert log.dropped == 1
    os.close(writing)


def test_the_budget_starts_anew_each_second() -> None:
    budget = LineBudget(2)
    assert [budget.try_acquire(10.0), budget.try_acquire(10.5), budget.try_acquire(10.9)] == [
        True,
        True,
        False,
    ]
    assert budget.try_acquire(11.0)
    assert budget.suppressed == 1
