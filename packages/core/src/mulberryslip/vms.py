"""Decides from the platform's inventory of VMs which silent workers have ended. Performs no I/O.

It is designed for this load pattern: a VM is lost for good, often together with the owner of its
pool. The next owner does not know when the worker was heard last, and would wait for the longest
lease that any owner can have granted before its tasks run again.
"""

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Protocol

import attrs

LISTINGS_TO_CONFIRM = 2
"""Consecutive listings that must show another state of the VM. One listing may be outdated."""


class VMInventory(Protocol):
    """The platform's list of VMs."""

    def workers_by_vm(self) -> Mapping[str, str]:
        """Return the id of the worker that each VM runs; empty for a VM that runs none.

        A VM whose state is unknown is left out.

        :raises InventoryError: the platform did not answer.
        """


@attrs.frozen
class Silence:
    """Silence of one worker.

    :param vm: VM of the worker.
    :param since: when the worker was heard last, on the owner's monotonic clock.
    """

    worker: str
    vm: str
    since: timedelta


class WorkerAbsences:
    """Silent workers and the listings that show them absent. Not thread-safe."""

    def __init__(self) -> None:
        self._listings: dict[Silence, int] = {}

    def set_silent(self, silences: Collection[Silence]) -> None:
        """Set which workers with runs are silent; the evidence against all others is dropped."""
        self._listings = {silence: self._listings.get(silence, 0) for silence in silences}

    def silences(self) -> list[Silence]:
        """Return the silent workers."""
        return list(self._listings)

    def record_listing(self, asked: Iterable[Silence], worker_by_vm: Mapping[str, str]) -> None:
        """Record a listing.

        :param asked: `silences` before the listing was requested. A worker that has been heard
            since then is not judged by it.
        :param worker_by_vm: the listing, see `VMInventory`.
        """
        for silence in asked:
            if silence not in self._listings:
                continue
            is_there = worker_by_vm.get(silence.vm, silence.worker) == silence.worker
            self._listings[silence] = 0 if is_there else self._listings[silence] + 1

    def has_ended(self, silence: Silence) -> bool:
        """Return whether the listings show that a worker has ended since it was heard last."""
        return self._listings.get(silence, 0) >= LISTINGS_TO_CONFIRM
