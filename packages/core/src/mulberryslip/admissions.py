"""Admission control of one worker, the only authority over its capacity."""

import itertools
import threading
from collections import OrderedDict
from datetime import timedelta

import attrs

from .clocks import Clock
from .exceptions import AdmissionError
from .models import Attempt, Resources, TaskClass, TaskKey

RESERVATION_TTL = timedelta(seconds=3)
# Attempt numbers are kept for this many tasks, to refuse delayed calls for old attempts. Dropping
# the oldest is safe, since a delayed call is also refused by its epoch or reservation.
MAX_REMEMBERED_TASKS = 16_384


@attrs.frozen
class Reservation:
    """Capacity held for an attempt until it starts or the reservation expires.

    :param reservation_id: identifier, unique across restarts of the process.
    :param shard: shard of the job.
    :param attempt: the attempt.
    :param template: template name.
    :param task_class: class of the template.
    :param resources: reserved capacity.
    :param expires: expiry on the worker's monotonic clock.
    """

    reservation_id: str
    shard: int
    attempt: Attempt
    template: str
    task_class: TaskClass
    resources: Resources
    expires: timedelta


@attrs.frozen
class Commitment:
    """Capacity committed to a started attempt.

    :param attempt: the attempt.
    :param task_class: class of the template.
    :param resources: capacity committed until it is released.
    """

    attempt: Attempt
    task_class: TaskClass
    resources: Resources


class Admission:
    """Admit attempts to the capacity of one worker. Thread-safe.

    Invariants: reserved plus committed capacity never exceeds the worker's capacity; batch tasks
    and watches never use the share kept for services; a shard's epoch and a task's attempt
    number never decrease; nothing is admitted before a configuration is known, while the data
    centre is out, or while the worker is leaving.

    :param capacity: total capacity of the worker, slots included.
    :param target_resources: part of the capacity that only services may use.
    :param clock: source of monotonic time.
    :param incarnation: incarnation of the process; makes reservation ids unique.
    :param reservation_ttl: lifetime of a reservation on the worker's monotonic clock.
    """

    def __init__(
        self,
        capacity: Resources,
        target_resources: Resources,
        clock: Clock,
        incarnation: str,
        reservation_ttl: timedelta = RESERVATION_TTL,
    ):
        if not target_resources.fits(capacity):
            raise ValueError("the share of services exceeds the worker's capacity")
        self._capacity = capacity
        self._non_service_capacity = capacity - target_resources
        self._clock = clock
        self._incarnation = incarnation
        self._reservation_ttl = reservation_ttl
        self._lock = threading.RLock()
        self._reservation_numbers = itertools.count(1)
        self._reservations: dict[TaskKey, Reservation] = {}
        self._commitments: dict[Attempt, Commitment] = {}
        self._newest_numbers: OrderedDict[TaskKey, int] = OrderedDict()
        self._ended: OrderedDict[Attempt, None] = OrderedDict()
        self._epochs: dict[int, int] = {}
        self._revision = 0
        self._is_data_centre_in = False
        self._is_open = False
        self._is_leaving = False

    @property
    def capacity(self) -> Resources:
        """Total capacity of the worker."""
        return self._capacity

    def apply_config(self, revision: int, is_data_centre_in: bool) -> bool:
        """Apply a configuration if it is newer than the known one.

        :returns: whether it was applied.
        """
        with self._lock:
            if revision <= self._revision:
                return False
            self._revision = revision
            self._is_data_centre_in = is_data_centre_in
            return True

    def open(self) -> None:
        """Start admitting work; call it after all running tasks have been adopted."""
        with self._lock:
            self._is_open = True

    def leave(self) -> None:
        """Stop admitting work for good."""
        with self._lock:
            self._is_leaving = True

    def epoch(self, shard: int) -> int:
        """Return the highest epoch seen for a shard, or 0."""
        with self._lock:
            return self._epochs.get(shard, 0)

    def observe_epoch(self, shard: int, epoch: int) -> None:
        """Record the epoch of a shard.

        :raises AdmissionError: when a higher epoch has been seen.
        """
        with self._lock:
            highest = self._epochs.get(shard, 0)
            if epoch < highest:
                raise AdmissionError(f"epoch {epoch} of shard {shard} is below {highest}")
            self._epochs[shard] = epoch

    def reserve(
        self,
        shard: int,
        epoch: int,
        attempt: Attempt,
        template: str,
        task_class: TaskClass,
        resources: Resources,
    ) -> Reservation:
        """Reserve capacity for an attempt.

        Repeating the call for the same attempt returns the same reservation. Its lifetime is not
        extended, because the owner may have read the configuration after the first reply.

        :raises AdmissionError: with the reason for the refusal.
        """
        with self._lock:
            self.observe_epoch(shard, epoch)
            self._check_open()
            self._expire()
            self._check_attempt_number(attempt)
            earlier = self._reservations.get(attempt.key)
            if earlier is not None and earlier.attempt == attempt:
                return earlier
            if any(held.key == attempt.key for held in self._commitments):
                raise AdmissionError("an attempt of the task is held here")
            self._check_amounts(resources)
            # A newer attempt replaces the reservation of an older one.
            self._reservations.pop(attempt.key, None)
            self._check_fit(task_class, resources)
            return self._add_reservation(shard, attempt, template, task_class, resources)

    def commit(self, shard: int, epoch: int, attempt: Attempt, reservation_id: str) -> Reservation:
        """Turn a reservation into a commitment when the attempt starts.

        :returns: the reservation.
        :raises AdmissionError: with the reason for the refusal.
        """
        with self._lock:
            self.observe_epoch(shard, epoch)
            self._check_open()
            self._expire()
            reservation = self._reservations.get(attempt.key)
            if reservation is None or reservation.reservation_id != reservation_id:
                raise AdmissionError("the reservation has expired or is unknown")
            if reservation.attempt != attempt or reservation.shard != shard:
                raise AdmissionError("the reservation belongs to another attempt")
            del self._reservations[attempt.key]
            self._commitments[attempt] = Commitment(
                attempt, reservation.task_class, reservation.resources
            )
            return reservation

    def adopt(self, attempt: Attempt, task_class: TaskClass, resources: Resources) -> None:
        """Commit the capacity of an attempt that is already running, after a restart."""
        with self._lock:
            self._commitments[attempt] = Commitment(attempt, task_class, resources)
            self._record_attempt_number(attempt)

    def release(self, attempt: Attempt) -> None:
        """Free the capacity of an attempt and refuse later calls to reserve or start it."""
        with self._lock:
            self._commitments.pop(attempt, None)
            reservation = self._reservations.get(attempt.key)
            if reservation is not None and reservation.attempt == attempt:
                del self._reservations[attempt.key]
            self._record_attempt_number(attempt)
            self._ended[attempt] = None
            self._ended.move_to_end(attempt)
            while len(self._ended) > MAX_REMEMBERED_TASKS:
                self._ended.popitem(last=False)

    def used(self) -> Resources:
        """Return the sum of reserved and committed capacity."""
        with self._lock:
            self._expire()
            return self._total_held(None)

    def free(self, task_class: TaskClass = TaskClass.BATCH) -> Resources:
        """Return the free capacity for attempts of a class; no amount is negative."""
        with self._lock:
            self._expire()
            left = self._capacity - self._total_held(None)
            if task_class is not TaskClass.SERVICE:
                non_service = self._non_service_capacity - self._total_held(TaskClass.SERVICE)
                left = Resources(*map(min, left.amounts(), non_service.amounts()))
            return Resources(*(max(0, amount) for amount in left.amounts()))

    def _check_open(self) -> None:
        if self._is_leaving:
            raise AdmissionError("the worker is leaving")
        if not self._is_open:
            raise AdmissionError("the tasks that run already are not known yet")
        if not self._revision:
            raise AdmissionError("the worker knows no configuration yet")
        if not self._is_data_centre_in:
            raise AdmissionError("the data centre is out")

    def _check_attempt_number(self, attempt: Attempt) -> None:
        newest = self._newest_numbers.get(attempt.key, 0)
        if attempt.number < newest:
            raise AdmissionError(f"attempt {attempt.number} is older than {newest}")
        if attempt in self._ended:
            raise AdmissionError("the attempt has ended")

    def _check_amounts(self, resources: Resources) -> None:
        if min(resources.amounts()) < 0:
            raise AdmissionError("a resource amount is negative")

    def _check_fit(self, task_class: TaskClass, resources: Resources) -> None:
        if not (self._total_held(None) + resources).fits(self._capacity):
            raise AdmissionError("not enough free capacity")
        if task_class is TaskClass.SERVICE:
            return
        if not (self._total_held(TaskClass.SERVICE) + resources).fits(self._non_service_capacity):
            raise AdmissionError("only capacity that is kept for services is free")

    def _add_reservation(
        self,
        shard: int,
        attempt: Attempt,
        template: str,
        task_class: TaskClass,
        resources: Resources,
    ) -> Reservation:
        reservation = Reservation(
            f"{self._incarnation}-{next(self._reservation_numbers)}",
            shard,
            attempt,
            template,
            task_class,
            resources,
            self._clock.monotonic() + self._reservation_ttl,
        )
        self._reservations[attempt.key] = reservation
        self._record_attempt_number(attempt)
        return reservation

    def _record_attempt_number(self, attempt: Attempt) -> None:
        self._newest_numbers[attempt.key] = max(
            attempt.number, self._newest_numbers.get(attempt.key, 0)
        )
        self._newest_numbers.move_to_end(attempt.key)
        while len(self._newest_numbers) > MAX_REMEMBERED_TASKS:
            self._newest_numbers.popitem(last=False)

    def _expire(self) -> None:
        now = self._clock.monotonic()
        for key, reservation in list(self._reservations.items()):
            if reservation.expires <= now:
                del self._reservations[key]

    def _total_held(self, without: TaskClass | None) -> Resources:
        total = Resources()
        for held in (*self._reservations.values(), *self._commitments.values()):
            if held.task_class is not without:
                total += held.resources
        return total
