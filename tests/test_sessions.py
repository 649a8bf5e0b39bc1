"""Tests of the process's store lease."""

import random
import threading
from datetime import timedelta

import pytest
from mulberryslip import ManualClock, SystemClock
from mulberryslip.exceptions import StoreUnavailableError
from mulberryslip_testing.fakes import FakeStore
from mulberryslip_testing.waits import wait_until
from mulberryslipd.sessions import Session

TTL = timedelta(seconds=3)


class SlowStore(FakeStore):
    """A store that delays its replies to lease calls after they have taken effect."""

    def __init__(self, clock, reply_delay):
        super().__init__(clock)
        self.clock = clock
        self.reply_delay = reply_delay

    def grant_lease(self, ttl):
        lease_id = super().grant_lease(ttl)
        self.clock.advance(self.reply_delay)
        return lease_id

    def renew_lease(self, lease_id):
        known = super().renew_lease(lease_id)
        self.clock.advance(self.reply_delay)
        return known


class ReplyTimeSession(Session):
    """A session that counts its validity from the receipt of the reply."""

    def _extend(self, lease_id, sent):
        super()._extend(lease_id, self._clock.monotonic())


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return FakeStore(clock)


def valid_without_lease(session_class, clock, rng):
    """Renew a session with slow replies; return whether it was ever valid without a lease."""
    store = SlowStore(clock, timedelta(seconds=1))
    session = session_class(store, TTL, clock, rng=rng)
    for _ in range(50):
        session.renew()
        clock.advance(timedelta(seconds=rng.uniform(0, 3)))
        if session.valid() and session.session_id not in store.state.lease_ids():
            return True
    return False


@pytest.mark.parametrize(
    ("session_class", "expected"), [(Session, False), (ReplyTimeSession, True)]
)
def test_session_is_never_valid_without_its_lease(session_class, expected, clock):
    """Guards against an owner that acts after its keys were deleted.

    The second case shows that the check detects a validity counted from the reply.
    """
    assert valid_without_lease(session_class, clock, random.Random(1)) is expected


def test_paused_process_is_not_valid_when_it_resumes(store, clock):
    """Guards against a process that acts on its expired lease after a pause."""
    new = []
    session = Session(store, TTL, clock, new.append)
    session.renew()
    first = session.session_id
    clock.advance(TTL)
    assert not session.valid()
    assert session.remaining() == timedelta()
    session.renew()
    assert session.valid()
    assert new == [first, session.session_id]
    assert first != session.session_id


def test_renewal_after_the_validity_continues_the_session_if_the_lease_remained(store, clock):
    """Guards against moving every shard after slow renewals although no lease expired."""
    session = Session(store, TTL, clock)
    store.set_faults(delay_ms=1000)
    session.renew()
    store.set_faults(delay_ms=0)
    first = session.session_id
    clock.advance(TTL * 0.9)
    assert not session.valid()
    session.renew()
    assert session.valid()
    assert session.session_id == first


def test_failed_renewals_neither_extend_nor_end_the_validity(store, clock):
    """Guards against ending a session in a short outage, and against validity beyond the lease."""
    session = Session(store, TTL, clock)
    session.renew()
    first = session.session_id
    store.set_faults(outage="refuse")
    clock.advance(TTL / 3)
    session.renew()
    assert session.remaining() == TTL * 2 / 3
    store.set_faults(outage="")
    session.renew()
    assert session.session_id == first
    assert session.remaining() == TTL


def test_lost_reply_to_a_renewal_does_not_extend_the_validity(store, clock):
    """Guards against counting a renewal whose reply was lost."""
    session = Session(store, TTL, clock)
    session.renew()
    clock.advance(TTL / 2)
    store.set_faults(lost_answer_probability=1)
    session.renew()
    assert session.remaining() == TTL / 2


def test_extension_neither_requests_nor_revives_a_lease(store, clock):
    """Guards against an owner that acts on a lease which has ended."""
    session = Session(store, TTL, clock)
    session.extend()
    assert not session.session_id
    session.renew()
    clock.advance(2 * TTL)
    session.extend()
    assert not session.valid()
    assert store.state.lease_ids() == set()


class OverlappedStore(FakeStore):
    """A store that runs another call while a renewal waits; the renewal then fails."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clock = clock
        self.meanwhile = None

    def renew_lease(self, lease_id):
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is None:
            return super().renew_lease(lease_id)
        self.clock.advance(TTL / 4)
        meanwhile()
        raise StoreUnavailableError("no reply")


def test_renewal_that_fails_after_an_extension_is_no_sign_of_an_outage(clock):
    """Guards against handing a pool over because a call timed out that was sent in an outage."""
    store = OverlappedStore(clock)
    session = Session(store, TTL, clock)
    session.renew()
    store.meanwhile = session.extend
    session.renew()
    assert session.remaining() == TTL
    assert session.failing_since is None


def test_extension_does_not_replace_a_newer_lease(clock):
    """Guards against a session that returns to a lease which the process has given up."""
    store = SlowStore(clock, timedelta())
    session = Session(store, TTL, clock)
    session.renew()
    renew = store.renew_lease

    def stop_meanwhile(lease_id):
        known = renew(lease_id)
        session.stop()
        return known

    store.renew_lease = stop_meanwhile
    session.extend()
    assert (session.session_id, session.valid()) == ("", False)


def test_backoff_is_bounded_and_jittered(store, clock):
    """Guards against all processes calling a recovering store at the same moment."""
    store.set_faults(outage="refuse")
    pauses = [
        [Session.renew(session) for _ in range(12)]
        for session in (Session(store, TTL, clock, rng=random.Random(seed)) for seed in range(5))
    ]
    assert len({tuple(row) for row in pauses}) == 5
    assert max(max(row) for row in pauses) <= TTL / 3
    assert min(row[-1] for row in pauses) >= TTL / 6


def test_stop_deletes_the_keys_of_the_lease(store, clock):
    """Guards against a graceful stop that leaves the shards without an owner for a whole TTL."""
    session = Session(store, TTL, clock)
    session.renew()
    store.put("entries/1", b"x", 0, session.session_id)
    session.stop()
    assert store.get("entries/1") is None
    assert not session.valid()


def test_thread_renews_and_survives_an_outage_and_a_faulty_callback():
    """Guards against a renewal thread that ends silently and so loses the lease permanently."""
    store = FakeStore(SystemClock())
    calls = threading.Semaphore(0)

    def fail(session_id):
        calls.release()
        raise RuntimeError(session_id)

    session = Session(store, timedelta(milliseconds=300), SystemClock(), fail)
    session.start()
    assert calls.acquire(timeout=5)
    store.set_faults(outage="drop")
    assert wait_until(lambda: not session.valid())
    store.set_faults(outage="")
    assert calls.acquire(timeout=5)
    assert wait_until(session.valid)
    session.stop()
    assert store.state.lease_ids() == set()
