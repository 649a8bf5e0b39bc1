"""Connections between the system's processes under damage, silence and overload."""

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
from mulberryslip import channels
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
    """Answers `stop` with the request's own reason, after a delay if one is set."""

    delay_s = 0.0

    def ping(self, token):
        return token

    def stop(self, req):
        time.sleep(self.delay_s)
        return StopReply(Outcome.OK, req.reason, [])


def stop_request(text, tasks=()):
    return StopRequest(Header(text, 1000, 1, "test", "i-1"), 0, 1, list(tasks), False, text)


class Peer:
    """Raw TCP peer that computes right replies and lets a script change what is sent.

    The script receives (connection number, call number, reply frame) and returns frames.
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
            self.answer(handle, number, handle.makefile("rb"))

    def answer(self, handle, number, stream):
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


def ask(pool, address, text, deadline=SECOND):
    return pool.call(address, "stop", stop_request(text), deadline).reason


def is_closed(conn):
    """Return whether the peer closes the connection within its timeout."""
    try:
        return conn.recv(10) == b""
    except ConnectionResetError:
        return True


def head(method, kind=TMessageType.CALL):
    return struct.pack("!ii", -2147418112 | kind, len(method)) + method + struct.pack("!i", 7)


def encoded(tasks):
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(buffer)
    WorkerService.stop_args(stop_request("x", tasks)).write(protocol)
    return head(b"stop") + buffer.getvalue()


WHOLE = encoded([TaskRef("job", 0, 1)])
NESTED = b"\x0c\x00\x63" * 300_000 + b"\x00" * 300_001


@pytest.mark.parametrize(
    ("frame", "reason"),
    [
        pytest.param(WHOLE[:-20], "damaged message", id="truncated"),
        pytest.param(b"", "damaged message", id="empty"),
        pytest.param(b"\x80", "damaged message", id="one byte"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", "damaged message", id="http"),
        pytest.param(head(b"stop") + b"\x00", "stop is missing", id="no argument"),
        pytest.param(
            encoded([TaskRef("job", 0)]),
            "tasks[0]: Required field attempt is unset",
            id="missing nested",
        ),
        pytest.param(WHOLE.replace(b"job", b"\xff\xfe\xff"), "not valid UTF-8", id="utf-8"),
        pytest.param(head(b"stop") + NESTED, "damaged message", id="nested 300000 deep"),
        pytest.param(head(b"nope") + NESTED, "damaged message", id="unknown, nested"),
        pytest.param(head(b"nope") + b"\x00", "Unknown function", id="unknown method"),
        pytest.param(head(b"_handler") + b"\x00", "Unknown function", id="private name"),
        pytest.param(
            head(b"stop") + b"\x0c\x00\x01\x0f\x00\x04\x0c" + struct.pack("!i", 2**30),
            "damaged message",
            id="huge list",
        ),
        pytest.param(
            head(b"stop") + b"\x0c\x00\x01\x0b\x00\x06" + struct.pack("!i", -5),
            "damaged message",
            id="negative length",
        ),
    ],
)
def test_damaged_message_gets_clear_error_and_server_stays_up(server, pool, frame, reason):
    """Guards against a damaged message that ends the process or reaches the handler."""
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(struct.pack("!i", len(frame)) + frame)
        assert reason.encode() in conn.recv(65536)
        conn.sendall(struct.pack("!i", len(WHOLE)) + WHOLE)
        assert b"stop" in conn.recv(65536), "the connection is usable for the next message"
    assert ask(pool, server.address, "after") == "after"


@given(st.data())
@settings(max_examples=150, deadline=None)
def test_server_survives_any_damage(data):
    """Guards against bytes that end a server thread's process or block the next caller."""
    frame = bytearray(WHOLE)
    for _ in range(data.draw(st.integers(1, 6))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(st.integers(0, 255))
    frame = bytes(frame[: data.draw(st.integers(0, len(frame)))])
    with socket.create_connection(("127.0.0.1", fuzzed().port), 2) as conn:
        conn.sendall(struct.pack("!i", len(frame)) + frame)
        assert conn.recv(65536), "every whole frame is answered"
        conn.sendall(struct.pack("!i", len(WHOLE)) + WHOLE)
        assert b"stop" in conn.recv(65536)


@functools.cache
def fuzzed():
    server = Server(WorkerService.Processor(Handler()), "127.0.0.1", 0)
    server.start()
    return server


def test_oversized_frame_is_refused_before_it_is_received(server, pool):
    """Guards against memory that is allocated for a size that a peer only claims."""
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(struct.pack("!i", channels.MAX_FRAME_BYTES + 1) + b"x")
        assert is_closed(conn)
    assert ask(pool, server.address, "after") == "after"


def twice(_, __, reply):
    return [reply, reply]


def cut(_, calls, reply):
    return [reply[:-6]] if calls == 1 else [reply]


def shortened(_, calls, reply):
    return [struct.pack("!i", len(reply) - 14) + reply[4:-10]] if calls == 1 else [reply]


def bad_outcome(_, calls, reply):
    return [reply.replace(b"\x08\x00\x01\x00\x00\x00\x00", b"\x08\x00\x01\x00\x00\x00\x63")]


class Late:
    """Holds the first call's reply back and sends it in place of the second's."""

    def __init__(self):
        self.held = b""

    def __call__(self, number, calls, reply):
        if calls == 1 and not self.held:
            self.held = reply
            return []
        return [self.held if calls == 2 else reply]


@pytest.mark.parametrize("script", [cut, shortened, bad_outcome, Late()])
def test_damaged_or_missing_reply_is_lost(pool, script):
    """Guards against a partial answer that is handed to a caller."""
    peer = Peer(script)
    with pytest.raises(ReplyLostError):
        ask(pool, peer.address, "one", 200 * MS)


@pytest.mark.parametrize("checked", [True, False])
def test_duplicated_reply_reaches_no_other_caller(pool, monkeypatch, checked):
    """Guards against a second copy of a reply that is taken for the next call's answer.

    Without the checks of sequence number and unread bytes the wrong answer is delivered.
    """
    if not checked:
        monkeypatch.setattr(
            channels.MessageProtocol,
            "readMessageBegin",
            TBinaryProtocolAccelerated.readMessageBegin,
        )
        monkeypatch.setattr(channels._Connection, "is_reusable", lambda self: True)
    peer = Peer(lambda number, calls, reply: twice(number, calls, reply) if calls else [reply])
    answers = []
    for text in ("one", "two", "three"):
        try:
            answers.append(ask(pool, peer.address, text, 300 * MS))
        except ReplyLostError:
            answers.append("lost")
    if checked:
        assert all(a in (t, "lost") for a, t in zip(answers, ("one", "two", "three"), strict=True))
        assert answers[0] == "one"
    else:
        assert answers == ["one", "one", "two"]


def test_late_replies_reach_no_other_caller(server, pool):
    """Guards against a connection that is used again after its deadline was missed."""
    server.handler.delay_s = 0.15
    for text in ("a", "b", "c"):
        with pytest.raises(ReplyLostError):
            ask(pool, server.address, text, 50 * MS)
    server.handler.delay_s = 0.0
    time.sleep(0.2)
    assert [ask(pool, server.address, f"n{i}") for i in range(5)] == [f"n{i}" for i in range(5)]


class SilentAfterCall:
    """The first connection stops answering anything after its first call."""

    def __init__(self):
        self.silent = False

    def __call__(self, number, calls, reply):
        if number == 1 and self.silent:
            return []
        self.silent = self.silent or calls == 1
        return [reply]


@pytest.mark.parametrize("pinged", [True, False])
def test_silent_connection_is_dropped_before_a_call_is_lost_on_it(pinged):
    """Guards against a call that is lost on a connection which went silent while idle.

    Without the ping of idle connections the call is lost.
    """
    peer = Peer(SilentAfterCall())
    pool = ChannelPool(
        WorkerService.Client, idle_before_ping=timedelta() if pinged else timedelta(hours=1)
    )
    assert ask(pool, peer.address, "one") == "one"
    if pinged:
        assert ask(pool, peer.address, "two") == "two"
        assert peer.connections == 2
        return
    with pytest.raises(ReplyLostError):
        ask(pool, peer.address, "two", 200 * MS)
    assert ask(pool, peer.address, "three") == "three", "the silent connection was not reused"


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def test_refused_connection_is_not_sent(pool):
    """Guards against a refused connection that is reported as an unknown outcome."""
    with pytest.raises(NotSentError):
        ask(pool, Address("127.0.0.1", free_port()), "x")


def test_peer_that_accepts_but_never_answers_is_not_sent(pool):
    """Guards against a call handed to a suspended process, whose kernel still accepts."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
        started = time.monotonic()
        with pytest.raises(NotSentError):
            ask(pool, address, "x", 200 * MS)
        assert time.monotonic() - started < 0.5


def test_connections_over_the_servers_limit_are_not_sent(server, pool):
    """Guards against unbounded threads, and against an unknown outcome for such calls."""
    server.handler.delay_s = 0.3
    results = []

    def run(number):
        try:
            results.append(ask(pool, server.address, str(number), 2 * SECOND))
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
    """Guards against unbounded connections from one client to one peer."""
    pool = ChannelPool(WorkerService.Client, max_connections=1)
    server.handler.delay_s = 0.3
    thread = threading.Thread(target=ask, args=(pool, server.address, "a"))
    thread.start()
    time.sleep(0.1)
    with pytest.raises(NotSentError, match="limit"):
        ask(pool, server.address, "b")
    thread.join()


@pytest.mark.parametrize(
    "sent", [pytest.param(b"", id="idle"), pytest.param(b"\x00\x00\x01\x00ab", id="partial")]
)
def test_server_drops_idle_and_slow_connections(sent):
    """Guards against connections that hold a server thread for ever."""
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


def test_call_whose_caller_has_gone_is_not_run(pool):
    """Guards against a resumed process that carries out calls which were given up long ago."""
    handler = Handler()
    handler.reasons = []
    handler.stop = lambda req: handler.reasons.append(req.reason) or StopReply(0, "", [])
    server = Server(WorkerService.Processor(handler), "127.0.0.1", 0)
    frame = struct.pack("!i", len(WHOLE)) + WHOLE
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(frame)
    server.start()
    with socket.create_connection(("127.0.0.1", server.port), 2) as conn:
        conn.sendall(frame)
        assert b"stop" in conn.recv(65536)
    server.stop(SECOND)
    assert handler.reasons == ["x"], "only the call of the waiting caller was run"


class RecordingPeer(Peer):
    """Answers pings only, and records how each connection ended."""

    def __init__(self):
        super().__init__(lambda number, calls, reply: [] if calls else [reply])
        self.ends = []

    def serve(self, handle, number):
        try:
            self.answer(handle, number, handle.makefile("rb"))
            self.ends.append("closed")
        except ConnectionResetError:
            self.ends.append("reset")


def test_late_call_is_aborted(pool):
    """Guards against a call that the kernel delivers long after its deadline."""
    peer = RecordingPeer()
    with pytest.raises(ReplyLostError):
        ask(pool, peer.address, "x", 100 * MS)
    deadline = time.monotonic() + 2
    while not peer.ends and time.monotonic() < deadline:
        time.sleep(0.01)
    assert peer.ends == ["reset"]


def test_stop_answers_running_calls_and_refuses_new_ones(server, pool):
    """Guards against a planned stop that cuts off a request."""
    server.handler.delay_s = 0.4
    answers = []
    thread = threading.Thread(target=lambda: answers.append(ask(pool, server.address, "last")))
    thread.start()
    time.sleep(0.1)
    server.stop(2 * SECOND)
    thread.join()
    assert answers == ["last"]
    with pytest.raises(NotSentError):
        ask(pool, server.address, "new")


def test_stop_cuts_off_after_its_grace(server, pool):
    """Guards against a stop that waits for ever for one call."""
    server.handler.delay_s = 1.0
    thread = threading.Thread(
        target=lambda: pytest.raises(ReplyLostError, ask, pool, server.address, "x", 2 * SECOND)
    )
    thread.start()
    time.sleep(0.1)
    started = time.monotonic()
    server.stop(200 * MS)
    assert time.monotonic() - started < 0.5
    thread.join()


def test_report_with_unknown_state_is_invalid():
    """Guards against a state from a newer version that is read as a known one."""
    report = TaskReport(TaskRef("j", 0, 1), 9, "", "", "", Resources(0, 0, 0, 0), 1000)
    with pytest.raises(channels.InvalidMessageError, match=r"tasks\[0\].state"):
        channels.validate(StopReply(Outcome.OK, "", [report]))
