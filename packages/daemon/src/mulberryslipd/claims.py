"""Claims ownership in the platform's store."""

import hashlib
import json
import random
from datetime import timedelta

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import StoreError
from mulberryslip.outcomes import Committed, Unknown
from mulberryslip.stores import Store, StoredValue

from .terms import OwnerIdentity, Session

RANK_DELAY = timedelta(milliseconds=300)
"""Delay between the claims of consecutive ranks. A claim takes a few store calls, and the next rank
waits until the previous one has certainly finished its claim."""

JITTER = timedelta(milliseconds=200)
MAX_RANK = 5


class OwnerClaim:
    """A store key that names an owner and is bound to the owner's lease.

    The store deletes the key when the lease ends.

    :param key: name of the key.
    :param session: store lease of this process.
    :param identity: identity of this process, stored as the value of the key.
    """

    def __init__(self, key: str, store: Store, session: Session, identity: OwnerIdentity):
        self._key = key
        self._store = store
        self._session = session
        self._identity = identity
        self.version = 0

    def create_key(self) -> bool:
        """Write the key if it does not exist.

        :returns: whether this process is now the owner.
        :raises StoreError: the store did not answer.
        """
        session_id = self._session.session_id
        value = self._value(session_id)
        outcome = self._store.put(self._key, value, 0, session_id)
        if isinstance(outcome, Unknown):
            stored = self._store.get(self._key)
            if stored is None or stored.value != value:
                return False
            outcome = Committed(stored.version)
        if not isinstance(outcome, Committed):
            return False
        self.version = outcome.version
        return True

    def is_current(self) -> bool:
        """Return whether the key still names this owner.

        :raises StoreError: the store did not answer.
        """
        stored = self._store.get(self._key)
        return stored is not None and stored.version == self.version

    def release(self) -> None:
        """Delete the key, so that other processes can claim it at once."""
        if not self.version:
            return
        try:
            self._store.delete(self._key, self.version)
        except StoreError as exc:
            # The store deletes the key when the lease ends.
            log(Event.STORE_UNAVAILABLE, call="release ownership", reason=str(exc))
        except Exception as exc:
            # The thread that claims the ownership must survive, or this process never owns again.
            log(Event.INTERNAL_ERROR, what="release ownership", reason=repr(exc))
        self.version = 0

    def _value(self, session_id: str) -> bytes:
        identity = self._identity
        record = {
            "entry_id": identity.entry_id,
            "host": identity.host,
            "port": identity.port,
            "incarnation": identity.incarnation,
            "session": session_id,
        }
        return json.dumps(record, separators=(",", ":")).encode()


class ShardClaim(OwnerClaim):
    """The store key that names the owner of a shard.

    Each entry delays its claim by its rank in a rendezvous hash, so that shards spread over the
    entries and not all entries claim at once when many leases expire together.

    :param number: number of the shard.
    """

    def __init__(
        self,
        number: int,
        store: Store,
        session: Session,
        identity: OwnerIdentity,
        clock: Clock,
        rng: random.Random | None = None,
    ):
        super().__init__(f"shards/{number}/owner", store, session, identity)
        self._number = number
        self._clock = clock
        self._rng = rng or random.Random()
        self._free_since: timedelta | None = None
        self._jitter = timedelta()

    def try_claim(self) -> bool:
        """Claim the shard if it has no owner and the delay of this entry's rank has passed.

        :returns: whether this entry now owns the shard.
        :raises StoreError: the store did not answer.
        """
        if not self._session.valid():
            return False
        stored = self._store.get(self._key)
        if stored is not None:
            self._free_since = None
            return self._is_own_key(stored)
        now = self._clock.monotonic()
        if self._free_since is None:
            self._free_since = now
            self._jitter = JITTER * self._rng.random()
        if now - self._free_since < self._rank() * RANK_DELAY + self._jitter:
            return False
        return self.create_key()

    def release(self) -> None:
        """Delete the key, so that other entries can claim the shard at once."""
        super().release()
        self._free_since = None

    def _is_own_key(self, stored: StoredValue) -> bool:
        """Return whether this process wrote the key in its current session.

        When a late renewal succeeds, the session and the ownership continue. The store deletes a
        key of an earlier session when the lease of that session ends.
        """
        is_own = stored.value == self._value(self._session.session_id)
        if is_own:
            self.version = stored.version
        return is_own

    def _rank(self) -> int:
        entries = {
            stored.key.removeprefix("entries/") for stored in self._store.list("entries/").values
        }
        entries.add(self._identity.entry_id)
        order = sorted(entries, key=self._rank_hash)
        return min(order.index(self._identity.entry_id), MAX_RANK)

    def _rank_hash(self, entry_id: str) -> bytes:
        return hashlib.sha256(f"{self._number}:{entry_id}".encode()).digest()
