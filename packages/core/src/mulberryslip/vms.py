"""Decides from the platform's inventory of VMs which silent workers have ended. Performs no I/O.

It is designed for this load pattern: a VM is lost for good, often together with the owner of its
pool. The next owner does not know when the worker was heard last, and would wait for the longest
lease that any owner can have granted before its tasks run again.
"""

from collections.abc import Mapping
from typing import Protocol

LISTINGS_TO_CONFIRM = 2
"""Consecutive listings that must show another state of the VM. One listing may be outdated."""


class VMInventory(Protocol):
    """The platform's list of VMs."""

    def workers_by_vm(self) -> Mapping[str, str]:
        """Return the id of the worker that each VM runs; empty for a VM that runs none.

        A VM whose state is unknown is left out.

        :raises InventoryError: the platform did not answer.
        """


class WorkerAbsences:
    """Silent workers and the listings that show them absent. Not thread-safe."""

    def __init__(self) -> None:
        self._vm_by_worker: dict[str, str] = {}
        self._listings: dict[str, int] = {}

    def set_silent(self, vm_by_worker: Mapping[str, str]) -> None:
        """Set which workers with runs are silent; the evidence against all others is dropped."""
        self._vm_by_worker = dict(vm_by_worker)
        self._listings = {
            worker: count for worker, count in self._listings.items() if worker in vm_by_worker
        }

    def silent(self) -> dict[str, str]:
        """Return the VMs of the silent workers, by worker id."""
        return dict(self._vm_by_worker)

    def record_listing(self, asked: Mapping[str, str], worker_by_vm: Mapping[str, str]) -> None:
        """Record a listing.

        :param asked: `silent` before the listing was requested. A worker that has been heard since
            then is not judged by it.
        :param worker_by_vm: the listing, see `VMInventory`.
        """
        for worker, vm in self._vm_by_worker.items():
            if asked.get(worker) != vm:
                continue
            if worker_by_vm.get(vm, worker) == worker:
                self._listings.pop(worker, None)
            else:
                self._listings[worker] = self._listings.get(worker, 0) + 1

    def has_ended(self, worker: str) -> bool:
        """Return whether the listings show that a silent worker has ended."""
        return self._listings.get(worker, 0) >= LISTINGS_TO_CONFIRM
