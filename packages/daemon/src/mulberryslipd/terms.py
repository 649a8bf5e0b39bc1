"""One ownership term of a shard: its state, its journal, and the headers of its calls."""

import threading
import uuid
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.exceptions import JournalError, NotSentError
from mulberryslip.fleets import Fleet
from mulberryslip.jobs import Shard
from mulberryslip.models import Attempt, Resources, TaskKey
from mulberryslip.wire.ttypes import Header, TaskRef

from .commits import CommitLog

CALL_TIMEOUT = timedelta(seconds=1)


class Session(Protocol):
    """The part of `sessions.Session` that a shard owner needs."""

    session_id: str

    def valid(self) -> bool:
        """Return whether the lease is certain to be held still."""

    def remaining(self) -> timedelta:
        """Return for how long the lease is certain to be held."""


class Channels(Protocol):
    """The part of `channels.ChannelPool` that a shard owner needs."""

    def call(self, address: Address, method: str, request: Any, deadline: timedelta) -> Any:
        """Call a worker."""


@attrs.frozen
class OwnerIdentity:
    """Identity of this entry in messages and in the store.

    :param entry_id: name from its settings.
    :param incarnation: differs for each start of the process.
    :param host: IP address of its thrift server.
    :param port: TCP port of its thrift server.
    """

    entry_id: str
    incarnation: str
    host: str
    port: int


@attrs.frozen
class LeaseTimes:
    """Lifetimes of leases and reservations, which decide when a task may be started elsewhere.

    :param task_lease: lease of a worker for a shard; it starts at the time on the worker's clock
        that an earlier reply contained.
    :param runtime_lease: lease of the runtime for a task.
    :param reservation: how long a worker holds a reservation on its own clock.
    """

    task_lease: timedelta = timedelta(seconds=20)
    runtime_lease: timedelta = timedelta(seconds=2)
    reservation: timedelta = timedelta(seconds=3)

    @property
    def unreachable_wait(self) -> timedelta:
        """Return how long a task of an unreachable worker may still run.

        The factor 1.1 allows for clocks that run at different rates.
        """
        return (self.task_lease + 2 * self.runtime_lease) * 1.1

    @property
    def start_wait(self) -> timedelta:
        """Return how long a start without a reply may still take effect."""
        return (self.reservation + self.runtime_lease) * 1.1


@attrs.define
class RequestedStop:
    """A stop that was requested from a worker.

    :param checkpoint: whether the task writes a checkpoint first.
    :param sent_at: when the request was last sent.
    :param overdue: whether the attempt ran too long, so that it counts as failed.
    """

    reason: str
    checkpoint: bool
    sent_at: timedelta
    overdue: bool = False


@attrs.define
class AttemptInfo:
    """State of a current attempt that is kept only during this ownership term.

    :param assigned_at: when its reservation was requested; when the shard was claimed if an earlier
        owner assigned it.
    :param confirmed_at: when the worker first confirmed that it holds the attempt.
    :param checkpointed_at: when a checkpoint was last reported.
    :param usage: last reported usage.
    :param resources: reserved resources; zero when an earlier owner reserved them.
    :param throttle_permille: last reported limit on processor time, in permille.
    :param requested_permille: limit that a policy requested, in permille; None without a request.
    :param stop: the stop that was requested.
    """

    assigned_at: timedelta
    confirmed_at: timedelta | None = None
    checkpointed_at: timedelta | None = None
    usage: Resources = Resources()
    resources: Resources = Resources()
    throttle_permille: int = 1000
    requested_permille: int | None = None
    stop: RequestedStop | None = None


class ShardTerm:
    """State shared by the threads that serve one ownership term of a shard.

    :param number: number of the shard.
    :param epoch: epoch of this ownership term.
    :param shard: the recovered state.
    :param journal: the claimed journal.
    :param revision: returns the newest configuration revision known here.
    """

    def __init__(
        self,
        number: int,
        epoch: int,
        shard: Shard,
        journal: Any,
        session: Session,
        identity: OwnerIdentity,
        clock: Clock,
        revision: Callable[[], int],
    ):
        self.number = number
        self.epoch = epoch
        self.shard = shard
        self.identity = identity
        self.lock = threading.RLock()
        self.claimed_at = clock.monotonic()
        self.attempt_infos: dict[Attempt, AttemptInfo] = {}
        self.wake = threading.Event()
        self._session = session
        self._session_id = session.session_id
        self._clock = clock
        self._revision = revision
        self._ended = False
        self.commit_log = CommitLog(journal, self._apply, self._snapshot, self._oldest_ended, clock)

    def is_live(self) -> bool:
        """Return whether this process is still the owner of the shard."""
        is_same_session = self._session.session_id == self._session_id
        return (
            not self._ended
            and not self.commit_log.is_fenced
            and is_same_session
            and self._session.valid()
        )

    def end(self) -> None:
        """Stop acting as the owner."""
        self._ended = True
        self.wake.set()

    def commit(self, events: list[Any]) -> list[bool]:
        """Commit events and apply them; see `CommitLog.commit`.

        :raises JournalError: also when the ownership term has ended.
        """
        if not self.is_live():
            raise JournalError(f"shard {self.number}: this entry is no longer the owner")
        return self.commit_log.commit(events)

    def commit_later(self, events: list[Any]) -> None:
        """Add events to the next record; see `CommitLog.commit_later`."""
        self.commit_log.commit_later(events)

    def info(self, attempt: Attempt) -> AttemptInfo:
        """Return the state of a current attempt; the caller must hold the lock."""
        info = self.attempt_infos.get(attempt)
        if info is None:
            info = self.attempt_infos[attempt] = AttemptInfo(self.claimed_at)
        return info

    def drop_ended_attempts(self) -> None:
        """Delete the state of attempts that have ended."""
        with self.lock:
            oldest_kept = self._clock.monotonic() - CALL_TIMEOUT * 10
            for attempt, info in list(self.attempt_infos.items()):
                # An attempt is recorded just before its commit and becomes current with it.
                if info.assigned_at < oldest_kept and not self.shard.is_current(attempt):
                    del self.attempt_infos[attempt]

    def header(self, timeout: timedelta) -> Header:
        """Return the message header of a call with the given timeout."""
        return Header(
            request_id=uuid.uuid4().hex,
            deadline_ms=max(1, int(timeout.total_seconds() * 1000)),
            config_revision=self._revision(),
            sender=f"entry/{self.identity.entry_id}",
            incarnation=self.identity.incarnation,
        )

    def timeout(self) -> timedelta:
        """Return the timeout for a call made now; the call must end while the session is valid.

        :raises NotSentError: the ownership term has ended.
        """
        remaining = min(CALL_TIMEOUT, self._session.remaining())
        if not self.is_live() or remaining <= timedelta():
            raise NotSentError(f"shard {self.number}: this entry is no longer the owner")
        return remaining

    def _apply(self, event: Any) -> bool:
        with self.lock:
            changed = self.shard.apply(event)
        if changed:
            self.wake.set()
        return changed

    def _snapshot(self, without: tuple[str, ...]) -> dict:
        with self.lock:
            return self.shard.to_snapshot(frozenset(without))

    def _oldest_ended(self, stored_bytes: int) -> tuple[str, ...]:
        with self.lock:
            return self.shard.oldest_ended(stored_bytes)


def address_of(fleet: Fleet, worker_id: str) -> Address:
    """Return the address of a worker.

    :raises NotSentError: the worker is unknown.
    """
    view = fleet.worker(worker_id)
    if view is None:
        raise NotSentError(f"worker {worker_id} has not announced itself")
    return Address(view.description.host, view.description.port)


def ref_of(attempt: Attempt) -> TaskRef:
    """Return the wire form of an attempt."""
    return TaskRef(attempt.key.job_id, attempt.key.index, attempt.number)


def attempt_of(ref: TaskRef) -> Attempt:
    """Return an attempt from its wire form."""
    return Attempt(TaskKey(ref.job_id, ref.index), ref.attempt)
