"""Tests of Thrift connections with malformed messages, unresponsive peers and overload."""

import contextlib
import functools
import socket
import struct
import threading
import time
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mulberryslip import channels, servers
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.exceptions import NotSentError, ReplyLostError
from mulberryslip.servers import Server
from mulberryslip.wire import WorkerService
from mulberryslip.wire.ttypes import (
    Header,
    Outcome,
    Resources,
    StopReply,
    StopRequest,
    TaskRef,
    TaskReport,
)
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


class Handler:
    """Replies to `stop` with the reason of the request, after an optional delay."""

    delay_s = 0.0

    def ping(self, token):
        return token

    def stop(self, req):
        time.sleep(self.delay_s)
        return StopReply(Outcome.OK, req.reason, [])


def stop_request(text, tasks=()):
    return StopRequest(Header(text, 1000, 1, "test", "i-1"), 0, 1, list(tasks), False, text)


class Peer:
    """Raw TCP peer that computes correct replies and lets a script change what is sent.

    :param script: called with the number of the connection, the number of calls on it and the
        reply frame; returns the frames to send.
    """

    def __init__(self, script):
        self.script = script
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                handle, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self.serve, args=(handle, self.connections), daemon=True
            ).start()

    def serve(self, handle, number):
        with contextlib.suppress(OSError):
            self.serve_connection(handle, number, handle.makefile("rb"))

    def serve_connection(self, handle, number, stream):
        calls = 0
        while header := stream.read(4):
            frame = stream.read(struct.unpack("!i", header)[0])
            reply = TMemoryBuffer()
            WorkerService.Processor(Handler()).process(
                TBinaryProtocolAccelerated(TMemoryBuffer(frame)),
                TBinaryProtocolAccelerated(reply),
            )
            data = reply.getvalue()
            if b"ping" not in frame[:16]:
                calls += 1
            for out in self.script(number, calls, struct.pack("!i", len(data)) + data):
                handle.sendall(out)


@pytest.fixture
def server():
    handler = Handler()
    server = Server(WorkerService.Processor(handler), "127.0.0.1", 0, max_connections=4)
    server.handler = handler
    server.address = Address("127.0.0.1", server.port)
    server.start()
    yield server
    server.stop(timedelta())


@pytest.fixture
def pool():
    pool = ChannelPool(WorkerService.Client)
    yield pool
    pool.close()
    assert not pool._open_counts, "connections were leaked"


def call_stop(pool, address, text, deadline=SECOND):
    return pool.call(address, "stop", stop_request(text), deadline).reason


def is_closed(conn):
    """Return whether the peer closes the connection before the timeout of `conn`."""
    try:
        return conn.recv(10) == b""
    except ConnectionResetError:
        return True


def message_header(method, kind=TMessageType.CALL):
    return struct.pack("!ii", -2147418112 | kind, len(method)) + method + struct.pack("!i", 7)


def encode_stop(tasks):
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(buffer)
    WorkerService.stop_args(stop_request("x", tasks)).write(protocol)
    return message_header(b"stop") + buffer.getvalue()


VALID_MESSAGE = encode_stop([TaskRef("job", 0, 1)])
NESTED_STRUCTS = b"\x0c\x00\x63" * 300_000 + b"\x00" * 300_001


@pytest.mark.parametrize(
    ("frame", "reason"),
    [
        pytest.param(VALID_MESSAGE[:-20], "damaged message", id="truncated"),
        pytest.param(b"", "damaged message", id="empty"),
        pytest.param(b"\x80", "damaged message", id="one byte"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", "damaged message", id="http"),
        pytest.param(message_header(b"stop") + b"\x00", "stop is missing", id="no argument"),
        pytest.param(
            encode_stop([TaskRef("job", 0)]),
            "tasks[0]: Required field attempt is unset",
            id="missing nested",
        ),
        pytest.param(VALID_MESSAGE.replace(b"job", b"\xff\xfe\xff"), "not valid UTF-8", id="utf-8"),
        pytest.param(
            message_header(b"stop") + NESTED_STRUCTS, "damaged message", id="nested 300000 deep"
        ),
        pytest.param(
            message_header(b"nope") + NESTED_STRUCTS, "damaged message", id="unknown, nested"
        ),
        pytest.param(message_header(b"nope") + b"\x00", "Unknown function", id="unknown method"),
        pytest.param(message_header(b"_handler") + b"\x00", "Unknown function", id="private name"),
        pytest.param(
            message_header(b"stop") + b"\x0c\x00\x01\x0f\x00\x04\x0c" + struct.pack("!i", 2**30),
            "damaged message",
            id="huge list",
        ),
        pytest.param(
            message_header(b"stop") + b"\x0c\x00\x01\x0b\x00\x06" + struct.pack("!i", -5),
            "damaged message",
            id="negative length",
        ),
    ],
)
def test_malformed_message_gets_an_error_and_server_stays_up(server, pool, frame, reason):
    """Guards against a malformed message that crashes the server or reaches the handler."""
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(struct.pack("!i", len(frame)) + frame)
        assert reason.encode() in conn.recv(65536)
        conn.sendall(struct.pack("!i", len(VALID_MESSAGE)) + VALID_MESSAGE)
        assert b"stop" in conn.recv(65536), "the connection is usable for the next message"
    assert call_stop(pool, server.address, "after") == "after"


@given(st.data())
@settings(max_examples=150, deadline=None)
def test_server_survives_any_corrupted_message(data):
    """Guards against bytes that crash the server or block the next caller."""
    frame = bytearray(VALID_MESSAGE)
    for _ in range(data.draw(st.integers(1, 6))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(st.integers(0, 255))
    frame = bytes(frame[: data.draw(st.integers(0, len(frame)))])
    with socket.create_connection(("127.0.0.1", fuzzed_server().port), 2) as conn:
        conn.sendall(struct.pack("!i", len(frame)) + frame)
        assert conn.recv(65536), "every complete frame gets a reply"
        conn.sendall(struct.pack("!i", len(VALID_MESSAGE)) + VALID_MESSAGE)
        assert b"stop" in conn.recv(65536)


@functools.cache
def fuzzed_server():
    server = Server(WorkerService.Processor(Handler()), "127.0.0.1", 0)
    server.start()
    return server


def test_error_with_one_connection_leaves_the_server_accepting(monkeypatch):
    """Guards against a process that serves no new connections after one odd connection."""
    make, failures = servers._ServerConnection, []

    def fail_at_first(*args):
        if not failures:
            failures.append(args)
            raise OSError("the socket cannot be set up")
        return make(*args)

    monkeypatch.setattr(servers, "_ServerConnection", fail_at_first)
    server = Server(WorkerService.Processor(Handler()), "127.0.0.1", 0)
    server.start()
    with socket.create_connection(("127.0.0.1", server.port), 5) as conn:
        assert conn.recv(1) == b""
    pool = ChannelPool(WorkerService.Client)
    address = Address("127.0.0.1", server.port)
    assert pool.call(address, "ping", 7, timedelta(seconds=5)) == 7
    pool.close()
    server.stop(timedelta())


def test_oversized_frame_is_refused_before_it_is_received(server, pool):
    """Guards against allocating memory for the size in a frame header before the data arrives."""
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(struct.pack("!i", channels.MAX_FRAME_BYTES + 1) + b"x")
        assert is_closed(conn)
    assert call_stop(pool, server.address, "after") == "after"


def duplicate(_, __, reply):
    return [reply, reply]


def truncate_stream(_, calls, reply):
    return [reply[:-6]] if calls == 1 else [reply]


def truncate_frame(_, calls, reply):
    return [struct.pack("!i", len(reply) - 14) + reply[4:-10]] if calls == 1 else [reply]


def set_unknown_outcome(_, calls, reply):
    return [reply.replace(b"\x08\x00\x01\x00\x00\x00\x00", b"\x08\x00\x01\x00\x00\x00\x63")]


class LateReply:
    """Holds back the reply to the first call and sends it as the reply to the second."""

    def __init__(self):
        self.held = b""

    def __call__(self, number, calls, reply):
        if calls == 1 and not self.held:
            self.held = reply
            return []
        return [self.held if calls == 2 else reply]


@pytest.mark.parametrize(
    "script", [truncate_stream, truncate_frame, set_unknown_outcome, LateReply()]
)
def test_malformed_or_missing_reply_is_lost(pool, script):
    """Guards against returning a partial reply to the caller."""
    peer = Peer(script)
    # A slow ping of the new connection would show that the call was not sent.
    assert pool.call(peer.address, "ping", 7, 5000 * MS) == 7
    with pytest.raises(ReplyLostError):
        call_stop(pool, peer.address, "one", 200 * MS)
    assert peer.connections == 1


@pytest.mark.parametrize("is_checked", [True, False])
def test_duplicated_reply_reaches_no_other_caller(pool, monkeypatch, is_checked):
    """Guards against a duplicated reply that is returned as the reply to the next call.

    Without the checks of the sequence number and of unread bytes, the wrong reply is returned.
    """
    if not is_checked:
        monkeypatch.setattr(
            channels.MessageProtocol,
            "readMessageBegin",
            TBinaryProtocolAccelerated.readMessageBegin,
        )
        monkeypatch.setattr(channels._Connection, "is_reusable", lambda self: True)
    peer = Peer(lambda number, calls, reply: duplicate(number, calls, reply) if calls else [reply])
    replies = []
    for text in ("one", "two", "three"):
        try:
            replies.append(call_stop(pool, peer.address, text, 300 * MS))
        except ReplyLostError:
            replies.append("lost")
    if is_checked:
        assert all(a in (t, "lost") for a, t in zip(replies, ("one", "two", "three"), strict=True))
        assert replies[0] == "one"
    else:
        assert replies == ["one", "one", "two"]


def test_late_replies_reach_no_other_caller(server, pool):
    """Guards against reusing a connection after a call on it missed its deadline."""
    server.handler.delay_s = 0.15
    for text in ("a", "b", "c"):
        with pytest.raises(ReplyLostError):
            call_stop(pool, server.address, text, 50 * MS)
    server.handler.delay_s = 0.0
    time.sleep(0.2)
    assert [call_stop(pool, server.address, f"n{i}") for i in range(5)] == [
        f"n{i}" for i in range(5)
    ]


class UnresponsiveAfterCall:
    """Stops replying on the first connection after its first call."""

    def __init__(self):
        self.unresponsive = False

    def __call__(self, number, calls, reply):
        if number == 1 and self.unresponsive:
            return []
        self.unresponsive = self.unresponsive or calls == 1
        return [reply]


@pytest.mark.parametrize("is_pinged", [True, False])
def test_unresponsive_connection_is_closed_before_a_call_is_sent(is_pinged):
    """Guards against sending a call on a connection that stopped responding while idle.

    Without the ping of idle connections, the call is lost.
    """
    peer = Peer(UnresponsiveAfterCall())
    pool = ChannelPool(
        WorkerService.Client, idle_before_ping=timedelta() if is_pinged else timedelta(hours=1)
    )
    assert call_stop(pool, peer.address, "one") == "one"
    if is_pinged:
        assert call_stop(pool, peer.address, "two") == "two"
        assert peer.connections == 2
        return
    with pytest.raises(ReplyLostError):
        call_stop(pool, peer.address, "two", 200 * MS)
    assert call_stop(pool, peer.address, "three") == "three", (
        "the unresponsive connection was not reused"
    )


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def test_call_after_a_refused_connection_is_not_sent(pool):
    """Guards against reporting a refused connection as an unknown outcome."""
    with pytest.raises(NotSentError):
        call_stop(pool, Address("127.0.0.1", free_port()), "x")


@pytest.mark.parametrize(
    ("host", "port"),
    [
        ("127.0.0.1", 65536),
        ("127.0.0.1", -1),
        ("127.0.0.1", 2**31),
        ("127.0.0.1", 2**70),
        ("a" * 100, 80),
        ("a\0b", 80),
        ("\ud800", 80),
    ],
)
def test_call_to_an_impossible_address_is_not_sent(pool, host, port):
    """Guards against an address of another process that ends the thread that calls it."""
    with pytest.raises(NotSentError):
        call_stop(pool, Address(host, port), "x")


def test_call_to_a_peer_that_never_replies_is_not_sent(pool):
    """Guards against sending a call to a suspended process, whose kernel still accepts."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
        started = time.monotonic()
        with pytest.raises(NotSentError):
            call_stop(pool, address, "x", 200 * MS)
        assert time.monotonic() - started < 0.5


def test_calls_over_the_servers_connection_limit_are_not_sent(server, pool):
    """Guards against unbounded threads, and against an unknown outcome of a rejected call."""
    server.handler.delay_s = 0.3
    results = []

    def run(number):
        try:
            results.append(call_stop(pool, server.address, str(number), 2 * SECOND))
        except NotSentError:
            results.append("not sent")

    threads = [threading.Thread(target=run, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert results.count("not sent") == 4
    assert len(server._snapshot()) <= 4


def test_pool_limit_refuses_before_sending(server):
    """Guards against an unbounded number of connections from one client to one peer."""
    pool = ChannelPool(WorkerService.Client, max_connections=1)
    server.handler.delay_s = 0.3
    thread = threading.Thread(target=call_stop, args=(pool, server.address, "a"))
    thread.start()
    time.sleep(0.1)
    with pytest.raises(NotSentError, match="limit"):
        call_stop(pool, server.address, "b")
    thread.join()


@pytest.mark.parametrize(
    "sent", [pytest.param(b"", id="idle"), pytest.param(b"\x00\x00\x01\x00ab", id="partial")]
)
def test_server_drops_idle_and_slow_connections(sent):
    """Guards against idle or slow connections that block a server thread forever."""
    server = Server(
        WorkerService.Processor(Handler()),
        "127.0.0.1",
        0,
        idle_timeout=150 * MS,
        transfer_timeout=150 * MS,
    )
    server.start()
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(sent)
        assert is_closed(conn)
    server.stop(timedelta())


def test_call_of_a_disconnected_caller_is_not_run(pool):
    """Guards against a resumed process that runs calls whose callers have given up."""
    handler = Handler()
    handler.reasons = []
    handler.stop = lambda req: handler.reasons.append(req.reason) or StopReply(0, "", [])
    server = Server(WorkerService.Processor(handler), "127.0.0.1", 0)
    frame = struct.pack("!i", len(VALID_MESSAGE)) + VALID_MESSAGE
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(frame)
    server.start()
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(frame)
        assert b"stop" in conn.recv(65536)
    server.stop(SECOND)
    assert handler.reasons == ["x"], "only the call of the connected caller was run"


class RecordingPeer(Peer):
    """Replies only to pings, and records how each connection ended."""

    def __init__(self):
        super().__init__(lambda number, calls, reply: [] if calls else [reply])
        self.ends = []

    def serve(self, handle, number):
        try:
            self.serve_connection(handle, number, handle.makefile("rb"))
            self.ends.append("closed")
        except ConnectionResetError:
            self.ends.append("reset")


def test_late_call_is_aborted(pool):
    """Guards against a call that the kernel still delivers long after its deadline."""
    peer = RecordingPeer()
    with pytest.raises(ReplyLostError):
        call_stop(pool, peer.address, "x", 100 * MS)
    deadline = time.monotonic() + 2
    while not peer.ends and time.monotonic() < deadline:
        time.sleep(0.01)
    assert peer.ends == ["reset"]


def test_stop_completes_running_calls_and_refuses_new_ones(server, pool):
    """Guards against a planned stop that interrupts a running call."""
    server.handler.delay_s = 0.4
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(call_stop(pool, server.address, "last"))
    )
    thread.start()
    time.sleep(0.1)
    server.stop(2 * SECOND)
    thread.join()
    assert replies == ["last"]
    with pytest.raises(NotSentError):
        call_stop(pool, server.address, "new")


def test_stop_aborts_calls_after_the_grace_period(server, pool):
    """Guards against a stop that waits forever for one call."""
    server.handler.delay_s = 1.0
    thread = threading.Thread(
        target=lambda: pytest.raises(
            ReplyLostError, call_stop, pool, server.address, "x", 2 * SECOND
        )
    )
    thread.start()
    time.sleep(0.1)
    started = time.monotonic()
    server.stop(200 * MS)
    assert time.monotonic() - started < 0.5
    thread.join()


def test_report_with_unknown_state_is_invalid():
    """Guards against accepting a task state that only a newer version knows."""
    report = TaskReport(TaskRef("j", 0, 1), 9, "", "", "", Resources(0, 0, 0, 0), 1000)
    with pytest.raises(channels.InvalidMessageError, match=r"tasks\[0\].state"):
        channels.validate(StopReply(Outcome.OK, "", [report]))
