"""Tests of the limits for clients and of the decoder of chunked bodies, without sockets."""

import json
from datetime import timedelta

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from json_strategies import JSON
from log_events import logged_events
from mulberryslip import ManualClock
from mulberryslip.events import Event
from mulberryslip.metrics import Metrics
from mulberryslipd.chunked_bodies import BodyTooLargeError, ChunkedBody, MalformedChunkError
from mulberryslipd.client_limits import (
    FREE_BYTES,
    UNREFINED_MARKS,
    ClientLimits,
    ClientMemory,
    ConnectionMemory,
    RejectionLog,
    count_marks,
    largest_transfer,
    replaceable,
)


def values_in(document):
    if isinstance(document, dict):
        return 1 + sum(1 + values_in(value) for value in document.values())
    if isinstance(document, list):
        return 1 + sum(map(values_in, document))
    return 1


@given(JSON)
def test_marks_bound_the_values_of_a_document(document):
    """Guards against documents that create more objects than were counted."""
    marks = count_marks(json.dumps(document).encode(), 10**6)
    assert values_in(document) <= 2 * marks + 1


@pytest.mark.parametrize(
    ("document", "marks"),
    [
        (b'["' + b"a," * UNREFINED_MARKS + b'"]', 1),
        (b'["' + b'\\",' * UNREFINED_MARKS + b'"]', 1),
        (b"[" + b"[]," * 300_000 + b"0]", 600_001),
        (b"[" + b'"a",' * 200_000 + b"0]", 20_001),
        (b'"' * 400_000 + b"," * 20_000, 20_001),
        (b'["' + b'\\",' * 290_000, 1),
    ],
    ids=["text", "escapes", "lists", "texts", "empty-texts", "text-without-end"],
)
def test_marks_inside_of_texts_are_not_counted(document, marks):
    """Guards against payloads that are rejected for their commas, and a count that takes long."""
    assert count_marks(document, 20_000) == marks


@attrs.define(eq=False)
class Waiting:
    """A connection that waits for its client."""

    remote_addr: str
    since: float
    memory: ConnectionMemory

    def waiting_since(self):
        return self.since


def make_waiting(*rows):
    memory = ClientMemory(10**6)
    waiting = [Waiting(address, since, ConnectionMemory(memory, 0)) for address, since, _ in rows]
    for conn, (_, _, size) in zip(waiting, rows, strict=True):
        conn.memory.take_transfer(size)
    return waiting


@pytest.mark.parametrize(
    ("address", "expected"), [("", ("a", 2)), ("a", ("a", 2)), ("b", ("b", 1)), ("c", None)]
)
def test_new_connection_replaces_the_longest_wait_of_the_crowded_address(address, expected):
    """Guards against clients that keep others out by connecting first."""
    waiting = make_waiting(("a", 3, 0), ("b", 1, 0), ("a", 2, 0))
    found = replaceable(waiting, address)
    assert (found and (found.remote_addr, found.since)) == expected


@pytest.mark.parametrize(("needed", "expected"), [(100, 80_000), (71_807, 80_000), (71_808, None)])
def test_only_a_larger_transfer_is_replaced(needed, expected):
    """Guards against stalled bodies that keep small requests out, and requests that swap places."""
    waiting = make_waiting(("a", 1, 50_000), ("b", 2, 80_000))
    found = largest_transfer(waiting, needed)
    assert (found and found.memory.transferring + FREE_BYTES) == expected


def test_stalled_transfers_leave_memory_for_served_requests():
    """Guards against stalled bodies that keep complete requests from being served."""
    memory = ClientMemory(100_000)
    stalled, served = ConnectionMemory(memory, 0), ConnectionMemory(memory, 0)
    assert stalled.reserve_transfer(50_000 + FREE_BYTES)
    assert not served.reserve_transfer(FREE_BYTES + 1)
    assert served.reserve_transfer(FREE_BYTES)
    assert served.reserve_serving(50_000 + FREE_BYTES)
    assert not stalled.reserve_serving(FREE_BYTES + 1)
    served.release_serving()
    assert stalled.reserve_serving(FREE_BYTES + 1)


def test_rejections_are_all_counted_and_logged_once_a_second():
    """Guards against a log that clients flood, and against rejections that leave no trace."""
    clock, metrics = ManualClock(), Metrics()
    rejections = RejectionLog(metrics, clock)
    with logged_events() as events:
        for _ in range(100):
            rejections.record("memory", "10.0.0.1")
        clock.advance(timedelta(seconds=1))
        rejections.flush()
        rejections.flush()
    assert events == [Event.CLIENTS_REJECTED.value] * 2
    assert metrics.snapshot().counters == {"clients_rejected_memory": 100}


def test_port_with_few_connections_keeps_the_share_of_an_address():
    """Guards against one address that takes all connections of a health check."""
    limits = ClientLimits(connections=2000, connections_per_address=1500).restricted(100)
    assert (limits.connections, limits.connections_per_address) == (100, 75)


BODY = b"5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nX: y\r\n\r\nGET"


@given(st.lists(st.integers(0, len(BODY)), max_size=8))
def test_chunked_body_is_decoded_however_it_arrives(cuts):
    """Guards against a body, or the request behind it, that depends on the packets."""
    bounds = [0, *sorted(cuts), len(BODY)]
    decoder, data, is_complete = ChunkedBody(100), bytearray(), False
    for start, end in zip(bounds, bounds[1:], strict=False):
        data += BODY[start:end]
        is_complete = is_complete or decoder.feed(data)
    assert is_complete
    assert (bytes(decoder.body), bytes(data)) == (b"hello!", b"GET")


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"zz\r\n", MalformedChunkError),
        (b"-1\r\n", MalformedChunkError),
        (b"\r\n", MalformedChunkError),
        (b"1\r\nabc", MalformedChunkError),
        (b"1\n", MalformedChunkError),
        (b"1;" + b"x" * 5000, MalformedChunkError),
        (b"65\r\n", BodyTooLargeError),
        (b"1\r\na\r\n" * 101, BodyTooLargeError),
        (b"0\r\n" + b"X: y\r\n" * 50, BodyTooLargeError),
    ],
)
def test_malformed_or_large_chunks_are_rejected(data, error):
    """Guards against a chunk that is taken although the limit is exceeded or its end is unclear."""
    with pytest.raises(error):
        ChunkedBody(100).feed(bytearray(data))
