"""One period of ownership of a pool: its state, its journal and what waits to be decided."""

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.journals import Journal
from mulberryslip.wire.ttypes import Outcome
from mulberryslip.workflows import Pool

from .claims import OwnerClaim
from .members import Member
from .sessions import Session

CLOCK_RATE = 1.03
"""A worker's clock may be 2 % slow."""

LEASE_MARGIN = timedelta(milliseconds=200)


@attrs.frozen
class PoolTimes:
    """Times that decide when a task may run elsewhere.

    :param lease: lease of a worker, on its own clock.
    :param store_lease: store lease of the owner.
    """

    lease: timedelta = timedelta(seconds=6)
    store_lease: timedelta = timedelta(seconds=3)

    @property
    def silence(self) -> timedelta:
        """Return after which silence all runs of a worker have certainly ended."""
        return self.lease * CLOCK_RATE + LEASE_MARGIN


@attrs.define(eq=False)
class Item:
    """Something that a call has brought.

    :param decide: returns the events; called by the deciding thread with the lock held.
    """

    decide: Callable[[], list[Any]]
    done: threading.Event = attrs.field(factory=threading.Event)
    is_taken: bool = False
    outcome: int = Outcome.OUTCOME_UNKNOWN
    reason: str = ""


class PoolTenure:
    """One period of ownership.

    :param epoch: version of the store key that names this owner.
    :param pool: the recovered state.
    """

    def __init__(
        self,
        epoch: int,
        pool: Pool,
        journal: Journal,
        session: Session,
        claim: OwnerClaim,
        clock: Clock,
    ):
        self.epoch = epoch
        self.pool = pool
        self.journal = journal
        self.session = session
        self.claim = claim
        self.lock = threading.Lock()
        self.claimed_at = clock.monotonic()
        self.members: dict[str, Member] = {}
        self.inbox: deque[Item] = deque()
        self.wake = threading.Event()
        self.ended = threading.Event()
        self._session_id = session.session_id

    def is_live(self) -> bool:
        """Return whether this process may act as the owner now."""
        return not self.ended.is_set() and self.is_claimed() and self.session.valid()

    def is_claimed(self) -> bool:
        """Return whether the ownership may still exist.

        A store that was away may have kept the lease, so the ownership can continue.
        """
        return self.session.session_id == self._session_id
