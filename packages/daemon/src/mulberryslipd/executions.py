"""Attempts that run on this worker: shard leases, runtime leases, suspension and reports."""

import contextlib
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs
from mulberryslip.admissions import Admission, Reservation
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import AdmissionError, RuntimeAdapterError, RuntimeRefusedError
from mulberryslip.models import Attempt, Resources, TaskClass, TaskKey
from mulberryslip.runtimes import Runtime, RuntimeSpec, RuntimeState, RuntimeTask
from mulberryslip.wire.ttypes import Outcome, TaskState

from .pressures import FULL_PERMILLE

# Ended attempts wait here until their owner has committed them; over this number the worker
# takes no new ones, so that an owner that never acknowledges cannot exhaust its memory.
MAX_UNREPORTED = 1000
SESSION_CALL_MARGIN = 2

_ENDED_STATES = {
    RuntimeState.FINISHED: TaskState.FINISHED,
    RuntimeState.FAILED: TaskState.FAILED,
    RuntimeState.STOPPED: TaskState.STOPPED,
    RuntimeState.LAPSED: TaskState.SUSPENDED,
}
_END_EVENTS = {
    TaskState.FINISHED: Event.TASK_FINISHED,
    TaskState.FAILED: Event.TASK_FAILED,
    TaskState.STOPPED: Event.TASK_EVICTED,
    TaskState.SUSPENDED: Event.TASK_SUSPENDED,
}


@attrs.frozen
class ShardLease:
    """The owner's permission to keep a shard's tasks running.

    :param epoch: epoch of the owner.
    :param expires: on the worker's monotonic clock.
    :param owner: address for reports; None until the owner's first renewal.
    """

    epoch: int
    expires: timedelta
    owner: Address | None


@attrs.frozen
class StopOrder:
    """A stop that is to be carried out, and repeated until the runtime confirms it.

    :param state: state to report, `STOPPED` or `SUSPENDED`.
    :param checkpoint: whether progress is saved first.
    :param reason: for the report.
    """

    state: int
    checkpoint: bool
    reason: str


@attrs.frozen
class StartOrder:
    """What an owner asks to start."""

    attempt: Attempt
    reservation_id: str
    account: str
    input: str
    checkpoint: str


@attrs.define
class Held:
    """An attempt that this worker holds until its end is acknowledged.

    `version` counts changes that the owner must learn of, `acknowledged` is the newest
    version that it has committed.
    """

    attempt: Attempt
    shard: int
    template: str
    task_class: TaskClass
    resources: Resources
    started: timedelta
    state: int = TaskState.RUNNING
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    usage: Resources = Resources()
    throttle_permille: int = FULL_PERMILLE
    owner_permille: int = FULL_PERMILLE
    is_confirmed: bool = False
    order: StopOrder | None = None
    checkpoint_due: timedelta | None = None
    version: int = 0
    acknowledged: int = 0

    @property
    def runtime_id(self) -> str:
        """Task id in the runtime."""
        return f"{self.attempt.key.job_id}/{self.attempt.key.index}/{self.attempt.number}"

    @property
    def is_running(self) -> bool:
        """Whether the attempt has not ended."""
        return self.state == TaskState.RUNNING


@attrs.frozen
class ReportCopy:
    """A consistent copy of a held attempt, with the version that it shows."""

    held: Held
    version: int


class Executions:
    """All attempts of this worker and their way through the runtime.

    :param runtime: the platform's runtime of this VM.
    :param admission: capacity of this worker.
    :param shard_of: returns the shard of a job id.
    :param class_of: returns the class of a template, for tasks found after a restart.
    :param checkpoint_interval: returns the time between checkpoints of a template.
    :param runtime_lease: life of a runtime lease and of the runtime session.
    """

    def __init__(
        self,
        runtime: Runtime,
        admission: Admission,
        shard_of: Callable[[str], int],
        class_of: Callable[[str], TaskClass],
        checkpoint_interval: Callable[[str], timedelta],
        clock: Clock,
        runtime_lease: timedelta,
    ):
        self._runtime = runtime
        self._admission = admission
        self._shard_of = shard_of
        self._class_of = class_of
        self._checkpoint_interval = checkpoint_interval
        self._clock = clock
        self._runtime_lease = runtime_lease
        self._lock = threading.RLock()
        # Serialises what lists the runtime's tasks and acts on the list.
        self._runtime_lock = threading.Lock()
        self._held: dict[Attempt, Held] = {}
        self._leases: dict[int, ShardLease] = {}
        self._forgotten: list[str] = []
        self._session_id = ""
        self._is_recovered = False

    # Calls by the shards' owners.

    def grant(
        self, shard: int, epoch: int, duration: timedelta, owner: Address, since: timedelta | None
    ) -> None:
        """Take over an owner's lease.

        The lease counts from a time on this worker's clock that the owner had from an earlier
        reply. A renewal that the network delivers late therefore grants no more than one in time.

        :param since: time on this worker's clock; None grants nothing beyond the present lease.
        :raises AdmissionError: a higher epoch was seen.
        """
        with self._lock:
            self._admission.observe_epoch(shard, epoch)
            now = self._clock.monotonic()
            known = self._leases.get(shard)
            expires = known.expires if known else now
            if since is not None and since <= now:
                expires = max(expires, since + duration)
            self._leases[shard] = ShardLease(epoch, expires, owner)

    def clock_ms(self) -> int:
        """Return this worker's monotonic clock in milliseconds, at least 1."""
        return max(1, self._clock.monotonic() // timedelta(milliseconds=1))

    def owner(self, shard: int) -> Address | None:
        """Return the address for a shard's reports."""
        with self._lock:
            lease = self._leases.get(shard)
            return lease.owner if lease else None

    def is_leased(self, shard: int) -> bool:
        """Return whether the lease of a shard is valid now."""
        with self._lock:
            lease = self._leases.get(shard)
            return lease is not None and lease.expires > self._clock.monotonic()

    def start(self, shard: int, epoch: int, order: StartOrder) -> tuple[int, str]:
        """Start an attempt that has a reservation.

        :returns: outcome and reason; `NOT_RUN` is certain, `OUTCOME_UNKNOWN` is resolved by
            the reports on the next renewals.
        """
        # Read before the reservation is checked: if the process is suspended in between, the
        # runtime refuses this session even if another thread has opened a new one.
        session_id = self._session_id
        with self._lock:
            known = self._held.get(order.attempt)
            if known is not None:
                return (Outcome.OK, "") if known.is_running else (Outcome.NOT_RUN, "has ended")
            if len(self._held) >= MAX_UNREPORTED:
                return Outcome.NOT_RUN, "too many unacknowledged reports"
            try:
                reservation = self._admission.commit(
                    shard, epoch, order.attempt, order.reservation_id
                )
            except AdmissionError as exc:
                return Outcome.NOT_RUN, str(exc)
            held = self._hold(order, reservation)
            self._extend_lease(shard, epoch)
        return self._start_in_runtime(session_id, order, held)

    def stop(self, attempts: Iterable[Attempt], order: StopOrder) -> list[ReportCopy]:
        """Stop attempts and return their reports; one that is not held gets an empty report."""
        attempts = list(attempts)
        with self._lock:
            for attempt in attempts:
                held = self._held.get(attempt)
                if held is None:
                    # A delayed start of this attempt is refused from now on.
                    self._admission.release(attempt)
                elif held.is_running:
                    held.order = order
        # Without an answer of the runtime the orders stay, and the next tick repeats them.
        with contextlib.suppress(RuntimeAdapterError):
            self._carry_out_orders()
        with self._lock:
            return [self._report_or_absent(attempt, order) for attempt in attempts]

    def limit(self, permilles: dict[Attempt, int]) -> None:
        """Take over the shares of processor time that an owner wants tasks to keep."""
        with self._lock:
            for attempt, permille in permilles.items():
                held = self._held.get(attempt)
                if held is not None:
                    held.owner_permille = max(0, min(FULL_PERMILLE, permille))

    def acknowledge(self, attempts: Iterable[Attempt]) -> None:
        """Forget attempts whose end the owner has committed; running ones are passed over."""
        with self._lock:
            for attempt in attempts:
                held = self._held.get(attempt)
                if held is not None and not held.is_running:
                    self._forget(held)

    def acknowledge_reports(self, reports: Iterable[ReportCopy]) -> None:
        """Record that the owner has committed what these reports show."""
        with self._lock:
            for report in reports:
                held = self._held.get(report.held.attempt)
                if held is None:
                    continue
                held.acknowledged = max(held.acknowledged, report.version)
                if not held.is_running and held.acknowledged >= held.version:
                    self._forget(held)

    def reports(self, shard: int) -> list[ReportCopy]:
        """Return every attempt held for a shard."""
        with self._lock:
            return [_copy(held) for held in self._held.values() if held.shard == shard]

    def pending(self, shard: int) -> list[ReportCopy]:
        """Return the attempts with changes that the owner has not committed."""
        with self._lock:
            return [
                _copy(held)
                for held in self._held.values()
                if held.shard == shard and held.version > held.acknowledged
            ]

    def shards(self) -> set[int]:
        """Return the shards with a lease or a held attempt."""
        with self._lock:
            return set(self._leases) | {held.shard for held in self._held.values()}

    def has_pending(self) -> bool:
        """Return whether an attempt runs or a report is not acknowledged."""
        with self._lock:
            return any(h.is_running or h.version > h.acknowledged for h in self._held.values())

    # Periodic work.

    def renew_leases(self) -> None:
        """Renew the runtime session and the leases of tasks whose shard lease is valid.

        :raises RuntimeAdapterError: the runtime did not answer; the next call repeats.
        """
        self._renew_session()
        self._renew_tasks()

    def tick(self, batch_permille: int = FULL_PERMILLE) -> None:
        """Take over the runtime's states, suspend, checkpoint and throttle.

        :param batch_permille: share of processor time that batch tasks keep.
        :raises RuntimeAdapterError: the runtime did not answer; the next call repeats.
        """
        if not self._is_recovered:
            self._recover()
        self._suspend_unleased()
        self._carry_out_orders()
        self._take_checkpoints()
        self._throttle(batch_permille)
        self._forget_in_runtime()

    def suspend_all(self, reason: str) -> None:
        """Order every attempt to be checkpointed and stopped, and try it once."""
        with self._lock:
            for held in self._held.values():
                if held.is_running and held.order is None:
                    held.order = StopOrder(TaskState.SUSPENDED, True, reason)
        with contextlib.suppress(RuntimeAdapterError):
            self._carry_out_orders()

    def _hold(self, order: StartOrder, reservation: Reservation) -> Held:
        now = self._clock.monotonic()
        held = Held(
            attempt=order.attempt,
            shard=reservation.shard,
            template=reservation.template,
            task_class=reservation.task_class,
            resources=reservation.resources,
            started=now,
        )
        interval = self._checkpoint_interval(reservation.template)
        # The checkpoint that a task resumes from can be used only once, so without an early
        # one a lost VM would lose all progress.
        held.checkpoint_due = now if order.checkpoint else now + interval
        self._held[order.attempt] = held
        return held

    def _extend_lease(self, shard: int, epoch: int) -> None:
        """Give an owner whose first renewal is still to come a lease for the new task."""
        now = self._clock.monotonic()
        lease = self._leases.get(shard)
        if lease is None or lease.expires < now + self._runtime_lease:
            owner = lease.owner if lease else None
            self._leases[shard] = ShardLease(epoch, now + self._runtime_lease, owner)

    def _start_in_runtime(self, session_id: str, order: StartOrder, held: Held) -> tuple[int, str]:
        spec = RuntimeSpec(
            task_id=held.runtime_id,
            account=order.account,
            template=held.template,
            input=order.input,
            checkpoint=order.checkpoint,
            resources=held.resources,
            lease_ttl=self._runtime_lease,
        )
        try:
            self._runtime.start(session_id, spec)
        except RuntimeRefusedError as exc:
            with self._lock:
                self._held.pop(held.attempt, None)
                self._admission.release(held.attempt)
            log(Event.START_REFUSED, task=held.runtime_id, reason=str(exc))
            return Outcome.NOT_RUN, f"{exc.code}: {exc}"
        except RuntimeAdapterError as exc:
            return Outcome.OUTCOME_UNKNOWN, str(exc)
        with self._lock:
            held.is_confirmed = True
        log(Event.TASK_STARTED, task=held.runtime_id)
        return Outcome.OK, ""

    def _renew_session(self) -> None:
        if self._session_id and self._runtime.renew_session(self._session_id):
            return
        self._session_id = self._runtime.open_session(self._runtime_lease)

    def _recover(self) -> None:
        """Take over the tasks that the runtime kept while this process was restarted."""
        with self._runtime_lock:
            for task in self._runtime.tasks():
                self._adopt(task)
        self._is_recovered = True
        self._admission.open()

    def _adopt(self, task: RuntimeTask) -> None:
        attempt = parse_runtime_id(task.task_id)
        if attempt is None:
            return
        held = Held(
            attempt=attempt,
            shard=self._shard_of(attempt.key.job_id),
            template=task.template,
            task_class=self._class_of(task.template),
            resources=task.resources,
            started=self._clock.monotonic(),
            checkpoint=task.checkpoint,
            is_confirmed=True,
            checkpoint_due=self._clock.monotonic(),
        )
        with self._lock:
            if attempt in self._held:
                return
            self._held[attempt] = held
            self._admission.adopt(attempt, held.task_class, held.resources)
            self._apply(held, task)
        log(Event.TASK_REATTACHED, task=task.task_id, state=task.state.value)

    def _renew_tasks(self) -> None:
        with self._lock:
            ids = [
                held.runtime_id
                for held in self._held.values()
                if held.is_running and held.order is None and self.is_leased(held.shard)
            ]
        if not ids:
            return
        try:
            self._runtime.renew(self._session_id, ids, self._runtime_lease)
        except RuntimeRefusedError:
            # The session expired after its renewal: the process was suspended. The leases are
            # checked again before the next renewal.
            self._session_id = ""

    def _suspend_unleased(self) -> None:
        with self._lock:
            for held in self._held.values():
                lease = self._leases.get(held.shard)
                # Without any lease the task was found after a restart; its runtime lease runs
                # out by itself unless the owner renews in time.
                if lease is None or self.is_leased(held.shard):
                    continue
                if held.is_running and held.order is None:
                    held.order = StopOrder(TaskState.SUSPENDED, True, "the shard lease expired")

    def _carry_out_orders(self) -> None:
        with self._runtime_lock:
            with self._lock:
                ordered = [h for h in self._held.values() if h.is_running and h.order]
            for held in ordered:
                self._stop_in_runtime(held)
            self._take_over_states()

    def _stop_in_runtime(self, held: Held) -> None:
        # The runtime refuses what has ended already; its list shows how.
        with contextlib.suppress(RuntimeRefusedError):
            if held.order.checkpoint:
                handle = self._runtime.checkpoint(held.runtime_id)
                with self._lock:
                    held.checkpoint = handle
        with contextlib.suppress(RuntimeRefusedError):
            self._runtime.stop(held.runtime_id)

    def _take_over_states(self) -> None:
        began = self._clock.monotonic()
        listed = {task.task_id: task for task in self._runtime.tasks()}
        with self._lock:
            for held in self._held.values():
                task = listed.pop(held.runtime_id, None)
                if task is not None:
                    self._apply(held, task)
                elif held.is_running:
                    self._apply_absence(held, began)
            unheld = [task for task in listed.values() if task.task_id not in self._forgotten]
        for task in unheld:
            self._drop_unheld(task)

    def _apply(self, held: Held, task: RuntimeTask) -> None:
        if not held.is_running:
            return
        held.is_confirmed = True
        held.usage = task.usage
        held.throttle_permille = task.throttle_permille
        state = _ENDED_STATES.get(task.state)
        if state is None:
            return
        reason = task.reason
        # A stop that the runtime did not get in time ends with the task's lease.
        if held.order is not None and state in (TaskState.STOPPED, TaskState.SUSPENDED):
            state, reason = held.order.state, held.order.reason
        held.checkpoint = task.checkpoint
        held.result = task.result
        self._end(held, state, reason)

    def _apply_absence(self, held: Held, began: timedelta) -> None:
        """End a task that the runtime does not list."""
        if held.started >= began:
            return
        waited = began - held.started
        if not held.is_confirmed and waited < SESSION_CALL_MARGIN * self._runtime_lease:
            # A start without an answer may still be on its way; its lease is not renewed, so
            # it cannot outlive this wait.
            return
        state = held.order.state if held.order else TaskState.SUSPENDED
        self._end(held, state, "the runtime does not know the task")

    def _end(self, held: Held, state: int, reason: str) -> None:
        held.state = state
        held.reason = reason
        held.order = None
        held.version += 1
        self._admission.release(held.attempt)
        log(_END_EVENTS[state], task=held.runtime_id, reason=reason)

    def _drop_unheld(self, task: RuntimeTask) -> None:
        """Stop a task that runs without being held, such as after a late start."""
        if parse_runtime_id(task.task_id) in self._held:
            return
        if task.state is RuntimeState.RUNNING:
            self._runtime.stop(task.task_id)
        self._runtime.forget(task.task_id)

    def _take_checkpoints(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            due = [
                held
                for held in self._held.values()
                if held.is_running
                and held.is_confirmed
                and held.order is None
                and held.checkpoint_due is not None
                and held.checkpoint_due <= now
            ]
        for held in due:
            self._take_checkpoint(held, now)

    def _take_checkpoint(self, held: Held, now: timedelta) -> None:
        try:
            handle = self._runtime.checkpoint(held.runtime_id)
        except RuntimeRefusedError:
            # It has ended; the next listing shows how.
            return
        with self._lock:
            held.checkpoint_due = now + self._checkpoint_interval(held.template)
            if held.is_running:
                held.checkpoint = handle
                held.version += 1

    def _throttle(self, batch_permille: int) -> None:
        with self._lock:
            changed = [
                (held, permille)
                for held in self._held.values()
                if held.is_running and held.is_confirmed and held.order is None
                if (permille := _share(held, batch_permille)) != held.throttle_permille
            ]
        for held, permille in changed:
            self._throttle_one(held, permille)

    def _throttle_one(self, held: Held, permille: int) -> None:
        try:
            self._runtime.throttle(held.runtime_id, permille)
        except RuntimeRefusedError:
            return
        with self._lock:
            held.throttle_permille = permille
        log(Event.TASK_THROTTLED, task=held.runtime_id, permille=permille)

    def _forget(self, held: Held) -> None:
        del self._held[held.attempt]
        self._forgotten.append(held.runtime_id)

    def _forget_in_runtime(self) -> None:
        with self._lock:
            forgotten = list(self._forgotten)
        for runtime_id in forgotten:
            try:
                self._runtime.forget(runtime_id)
            except RuntimeRefusedError:
                self._runtime.stop(runtime_id)
                self._runtime.forget(runtime_id)
            with self._lock:
                self._forgotten.remove(runtime_id)

    def _report_or_absent(self, attempt: Attempt, order: StopOrder) -> ReportCopy:
        held = self._held.get(attempt)
        if held is not None:
            return _copy(held)
        absent = Held(
            attempt=attempt,
            shard=self._shard_of(attempt.key.job_id),
            template="",
            task_class=TaskClass.BATCH,
            resources=Resources(),
            started=timedelta(),
            state=order.state,
            reason="not held by this worker",
        )
        return ReportCopy(absent, 0)


def parse_runtime_id(text: str) -> Attempt | None:
    """Return the attempt of a runtime task id; None when it is not one of ours."""
    parts = text.rsplit("/", 2)
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return Attempt(TaskKey(parts[0], int(parts[1])), int(parts[2]))


def _share(held: Held, batch_permille: int) -> int:
    """Return the lower of the owner's share and, for batch tasks, the worker's own."""
    if held.task_class is TaskClass.BATCH:
        return min(held.owner_permille, batch_permille)
    return held.owner_permille


def _copy(held: Held) -> ReportCopy:
    return ReportCopy(attrs.evolve(held), held.version)
