"""Tests of the log writer: bounded queue, count of dropped lines, non-blocking calls."""

import io
import json

from mulberryslip import SystemClock
from mulberryslip.logs import MAX_QUEUED_MESSAGES, LogWriter

BURST = MAX_QUEUED_MESSAGES + 50


class SlowStream(io.StringIO):
    """Counts writes; a write to a real pipe can block until its reader catches up."""

    writes = 0

    def write(self, text):
        self.writes += 1
        return super().write(text)


def rows(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_lines_have_the_fields_of_the_event():
    """Guards against lines that operators' tools cannot parse."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    writer({"event": 421, "workflow": "a", "task_uuid": "x", "task_level": [1]})
    writer.flush()
    assert rows(stream) == [{"event": 421, "workflow": "a"}]


def test_logging_call_does_not_write_to_the_stream():
    """Guards against a request that blocks on a slow reader of the log."""
    stream = SlowStream()
    writer = LogWriter(stream, SystemClock())
    for number in range(BURST):
        writer({"event": number})
    assert stream.writes == 0


def test_burst_is_bounded_and_dropped_lines_are_counted():
    """Guards against logging that uses more processor time than the work, and unreported gaps."""
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


def test_stop_writes_queued_messages():
    """Guards against losing the last lines, which show why a process ended."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    writer.start()
    writer({"event": 103})
    writer.stop()
    assert [row["event"] for row in rows(stream)] == [103]
