"""Log output never blocks on its reader, stays bounded, and reports dropped lines."""

import asyncio
import os
import time

import orjson

from bayhinge._internal.queries.log_trace import read_lines as trace_lines
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
            chunk = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [orjson.loads(line) for line in data.splitlines()]


def test_a_stalled_reader_blocks_nothing_and_gets_the_number_of_dropped_lines() -> None:
    async def main() -> None:
        read_end, write_end = os.pipe()
        log = LogOutput(write_end)
        began_s = time.perf_counter()
        for number in range(20_000):
            log({"message_type": "request.refused", "number": number, "text": "x" * 40})
        assert time.perf_counter() - began_s < 2.0
        assert log._buffered_bytes <= BUFFER_BYTES
        assert log.dropped > 0
        lines = read_lines(read_end)
        for _ in range(50):
            await asyncio.sleep(0.005)
            lines += read_lines(read_end)
        assert not log._buffer
        log({"message_type": "request.refused", "number": -1})
        lines += read_lines(read_end)
        reported_drops = sum(int(str(line["lines"])) for line in lines if "lines" in line)
        assert reported_drops == log.dropped
        numbers = [line["number"] for line in lines if "number" in line]
        assert numbers[-1] == -1
        assert len(numbers) == 20_001 - log.dropped
        os.close(read_end)
        os.close(write_end)

    asyncio.run(main())


def test_the_line_of_dropped_lines_can_be_read_with_the_others() -> None:
    """Guards against a gap in the log that `bayhinge logs` does not show."""

    async def main() -> None:
        read_end, write_end = os.pipe()
        log = LogOutput(write_end, "entry-1")
        message = {"message_type": "request.refused", "text": "x" * 400, "timestamp": 5.0}
        while not log.dropped:
            log(message)
        lines = read_lines(read_end)
        await asyncio.sleep(0.01)
        log(message | {"timestamp": 6.0})
        while not any(line["message_type"] == "log.dropped" for line in lines):
            await asyncio.sleep(0.005)
            lines += read_lines(read_end)
        parsed = trace_lines(orjson.dumps(line) for line in lines)
        [dropped] = [line for line in parsed if line.message_type == "log.dropped"]
        assert (dropped.host, dropped.at_s) == ("entry-1", 6.0)
        os.close(read_end)
        os.close(write_end)

    asyncio.run(main())


def test_ordinary_lines_are_thinned_and_failures_are_kept() -> None:
    read_end, write_end = os.pipe()
    log = LogOutput(write_end)
    for _ in range(3 * ORDINARY_PER_SECOND):
        log({"message_type": "request.served"})
    log({"message_type": "request.refused"})
    types = [line["message_type"] for line in read_lines(read_end)]
    assert types.count("request.served") <= 2 * ORDINARY_PER_SECOND
    assert types[-1] == "request.refused"
    assert log.ordinary.suppressed >= ORDINARY_PER_SECOND
    os.close(read_end)
    os.close(write_end)


def test_a_closed_reader_is_no_error() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    log = LogOutput(write_end)
    log({"message_type": "host.started"})
    assert log.dropped == 1
    os.close(write_end)


def test_the_line_budget_is_reset_each_second() -> None:
    budget = LineBudget(2)
    assert [budget.try_acquire(10.0), budget.try_acquire(10.5), budget.try_acquire(10.9)] == [
        True,
        True,
        False,
    ]
    assert budget.try_acquire(11.0)
    assert budget.suppressed == 1
