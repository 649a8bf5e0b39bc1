"""The log writer: bounded, counted, and never in the way."""

import io
import json

from mulberryslip import SystemClock
from mulberryslip.logs import MAX_QUEUED, LogWriter

BURST = MAX_QUEUED + 50


class SlowStream(io.StringIO):
    """Counts writes; a write of a real pipe can block for as long as nobody reads."""

    writes = 0

    def write(self, text):
        self.writes += 1
        return super().write(text)


def rows(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_lines_have_the_fields_of_the_event():
    """Guards against lines that operators' tools cannot read."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    writer({"event": 421, "workflow": "a", "task_uuid": "x", "task_level": [1]})
    writer.flush()
    assert rows(stream) == [{"event": 421, "workflow": "a"}]


def test_logging_does_not_write():
    """Guards against a request that waits for a reader of the log."""
    stream = SlowStream()
    writer = LogWriter(stream, SystemClock())
    for number in range(BURST):
        writer({"event": number})
    assert stream.writes == 0


def test_burst_is_bounded_and_what_is_dropped_is_counted():
    """Guards against a log that takes more of the processor than the work, and hidden gaps."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    for number in range(BURST):
        writer({"event": number})
    writer.flush()
    written = rows(stream)
    assert written[-1]["message_type"] == "log_lines_dropped"
    assert written[-1]["count"] + len(written) - 1 == BURST
    assert [row["event"] for row in written[:3]] == [0, 1, 2]
    assert len(written) < 200


def test_what_is_queued_is_written_at_the_end():
    """Guards against a log without the lines that tell why a process ended."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    writer.start()
    writer({"event": 103})
    writer.stop()
    assert [row["event"] for row in rows(stream)] == [103]
