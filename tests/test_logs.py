"""Tests of the log writer: bounded queue, count of dropped lines, non-blocking calls."""

import errno
import functools
import io
import json

import pytest
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


class FailingStream(io.StringIO):
    """Stream on a file system that is full at first."""

    is_full = True

    def write(self, text):
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        return super().write(text)


def test_log_goes_on_after_the_stream_has_failed():
    """Guards against a process that logs nothing more after one failed write."""
    stream = FailingStream()
    writer = LogWriter(stream, SystemClock())
    writer({"event": 1})
    writer({"event": 2})
    writer.flush()
    stream.is_full = False
    writer({"event": 3})
    writer.flush()
    assert rows(stream) == [{"event": 3}, {"message_type": "log_lines_dropped", "count": 2}]


@pytest.mark.parametrize(
    "value",
    [10**5000, functools.reduce(lambda v, _: [v], range(10**5), [])],
    ids=["digits", "nesting"],
)
def test_message_that_cannot_be_written_leaves_the_others(value):
    """Guards against one odd value, such as one of another process, that ends the log."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    for event in (1, value, 3):
        writer({"event": event})
    writer.flush()
    dropped = {"message_type": "log_lines_dropped", "count": 1}
    assert rows(stream) == [{"event": 1}, {"event": 3}, dropped]


def test_stop_writes_queued_messages():
    """Guards against losing the last lines, which show why a process ended."""
    stream = io.StringIO()
    writer = LogWriter(stream, SystemClock())
    writer.start()
    writer({"event": 103})
    writer.stop()
    assert [row["event"] for row in rows(stream)] == [103]
