"""Attempts that run on this worker: shard leases, runtime leases, suspension and reports."""

import contextlib
import re
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs
from mulberryslip.admissions import Admission, Reservation
from mulberryslip.channels import REPLACEMENT_CHARACTER, Address
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import AdmissionError, RuntimeAdapterError, RuntimeRefusedError
from mulberryslip.models import Attempt, Resources, TaskClass, TaskKey
from mulberryslip.runtimes import Runtime, RuntimeSpec, RuntimeState, RuntimeTask
from mulberryslip.steps import MAX_AMOUNT
from mulberryslip.transitions import MAX_RESULT_CHARS
from mulberryslip.wire.ttypes import Outcome, TaskState

from .pressures import FULL_PERMILLE

# Ended attempts are held until their owner has committed their end. Above this number the worker
# refuses new attempts, so that an owner that never acknowledges cannot exhaust its memory.
MAX_HELD_ATTEMPTS = 1000
# An unconfirmed start that the runtime does not list is given up after this many runtime leases.
UNCONFIRMED_START_LEASES = 2

_RUNTIME_ID = re.compile(r"(.*)/([0-9]{1,10})/([0-9]{1,10})", re.DOTALL)

_END_STATE_OF_RUNTIME_STATE = {
    RuntimeState.FINISHED: TaskState.FINISHED,
    RuntimeState.FAILED: TaskState.FAILED,
    RuntimeState.STOPPED: TaskState.STOPPED,
    RuntimeState.LAPSED: TaskState.SUSPENDED,
}
_EVENT_OF_END_STATE = {
    TaskState.FINISHED: Event.TASK_FINISHED,
    TaskState.FAILED: Event.TASK_FAILED,
    TaskState.STOPPED: Event.TASK_EVICTED,
    TaskState.SUSPENDED: Event.TASK_SUSPENDED,
}


@attrs.frozen
class ShardLease:
    """Permission of a shard's owner to keep the shard's tasks running.

    :param epoch: epoch of the owner.
    :param expires: time on the worker's monotonic clock; None until a renewal or start grants it.
    :param owner: address for reports; None until the owner's first renewal.
    """

    epoch: int
    expires: timedelta | None
    owner: Address | None


@attrs.frozen
class TaskStopCommand:
    """Command to stop an attempt; it is repeated until the runtime confirms the stop.

    :param state: state to report, `STOPPED` or `SUSPENDED`.
    :param checkpoint: whether to take a checkpoint first.
    :param reason: reason to report.
    """

    state: int
    checkpoint: bool
    reason: str


@attrs.frozen
class TaskStartCommand:
    """Command of an owner to start an attempt."""

    attempt: Attempt
    reservation_id: str
    account: str
    input: str
    checkpoint: str


@attrs.define
class HeldAttempt:
    """Attempt that this worker holds until the owner has acknowledged its end.

    `version` counts the changes to be reported to the owner; `acknowledged_version` is the newest
    version that the owner has committed. `confirmed_at` is when the runtime replied to the start.
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
    owner_throttle_permille: int = FULL_PERMILLE
    is_confirmed: bool = False
    confirmed_at: timedelta | None = None
    stop_command: TaskStopCommand | None = None
    checkpoint_due: timedelta | None = None
    call_failed_at: timedelta = timedelta()
    version: int = 0
    acknowledged_version: int = 0

    @property
    def runtime_id(self) -> str:
        """Task id in the runtime."""
        return f"{self.attempt.key.job_id}/{self.attempt.key.index}/{self.attempt.number}"

    @property
    def is_running(self) -> bool:
        """Whether the attempt has not ended."""
        return self.state == TaskState.RUNNING


@attrs.frozen
class AttemptReport:
    """Consistent copy of a held attempt, with the version that was copied."""

    held: HeldAttempt
    version: int


class Executions:
    """Executes the attempts of this worker in the runtime and reports their states.

    :param runtime: the platform's runtime of this VM.
    :param admission: capacity of this worker.
    :param shard_of: returns the shard of a job id.
    :param class_of: returns the class of a template, for tasks found after a restart.
    :param checkpoint_interval: returns the time between checkpoints of a template.
    :param runtime_lease: duration of a runtime lease and of the runtime session.
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
        # Serialises operations that list the runtime's tasks and act on the list.
        self._runtime_lock = threading.Lock()
        self._held: dict[Attempt, HeldAttempt] = {}
        self._leases: dict[int, ShardLease] = {}
        self._to_forget: list[str] = []
        self._session_id = ""
        self._is_recovered = False

    # Calls by the shards' owners.

    def extend_shard_lease(
        self, shard: int, epoch: int, duration: timedelta, owner: Address, since: timedelta | None
    ) -> None:
        """Extend a shard's lease on a renewal by its owner.

        The lease starts at a time on this worker's clock that the owner received in an earlier
        reply. A renewal that is delivered late therefore extends the lease no further than one
        that is delivered in time.

        :param since: start of the lease on this worker's clock; None, or a time in the future from
            an earlier clock, keeps the present expiry and grants nothing.
        :raises AdmissionError: a higher epoch was seen.
        """
        with self._lock:
            self._admission.observe_epoch(shard, epoch)
            now = self._clock.monotonic()
            known = self._leases.get(shard)
            expires = known.expires if known else None
            if since is not None and since <= now:
                granted_until = since + duration
                expires = granted_until if expires is None else max(expires, granted_until)
            self._leases[shard] = ShardLease(epoch, expires, owner)

    def clock_ms(self) -> int:
        """Return this worker's monotonic clock in milliseconds, at least 1."""
        return max(1, self._clock.monotonic() // timedelta(milliseconds=1))

    def owner(self, shard: int) -> Address | None:
        """Return the address that receives a shard's reports, or None when it is unknown."""
        with self._lock:
            lease = self._leases.get(shard)
            return lease.owner if lease else None

    def is_leased(self, shard: int) -> bool:
        """Return whether the lease of a shard is valid now."""
        with self._lock:
            lease = self._leases.get(shard)
            return (
                lease is not None
                and lease.expires is not None
                and lease.expires > self._clock.monotonic()
            )

    def start(self, shard: int, epoch: int, command: TaskStartCommand) -> tuple[int, str]:
        """Start an attempt that has a reservation.

        :returns: outcome and reason; `NOT_RUN` is definite, `OUTCOME_UNKNOWN` is resolved by
            the reports on the next renewals.
        """
        # Read before the reservation is checked: if the process is suspended in between, the
        # runtime refuses this session even if another thread has opened a new one.
        session_id = self._session_id
        with self._lock:
            known = self._held.get(command.attempt)
            if known is not None:
                return (Outcome.OK, "") if known.is_running else (Outcome.NOT_RUN, "has ended")
            if len(self._held) >= MAX_HELD_ATTEMPTS:
                return Outcome.NOT_RUN, "too many unacknowledged reports"
            try:
                reservation = self._admission.commit(
                    shard, epoch, command.attempt, command.reservation_id
                )
            except AdmissionError as exc:
                return Outcome.NOT_RUN, str(exc)
            held = self._register(command, reservation)
            self._ensure_lease(shard, epoch)
        return self._start_in_runtime(session_id, command, held)

    def stop(self, attempts: Iterable[Attempt], command: TaskStopCommand) -> list[AttemptReport]:
        """Stop attempts and return their reports; one that is not held gets an empty report."""
        attempts = list(attempts)
        with self._lock:
            for attempt in attempts:
                held = self._held.get(attempt)
                if held is None:
                    # From now on, a delayed start of this attempt is refused.
                    self._admission.release(attempt)
                elif held.is_running:
                    held.stop_command = command
        # If the runtime does not respond, the commands stay and the next tick repeats them.
        with contextlib.suppress(RuntimeAdapterError):
            self._execute_stop_commands()
        with self._lock:
            return [self._report_of_stopped(attempt, command) for attempt in attempts]

    def set_owner_throttles(self, permilles: dict[Attempt, int]) -> None:
        """Set the processor time, in permille, to which an owner limits each attempt."""
        with self._lock:
            for attempt, permille in permilles.items():
                held = self._held.get(attempt)
                if held is not None:
                    held.owner_throttle_permille = max(0, min(FULL_PERMILLE, permille))

    def acknowledge(self, attempts: Iterable[Attempt]) -> None:
        """Forget attempts whose end the owner has committed; running ones are ignored."""
        with self._lock:
            for attempt in attempts:
                held = self._held.get(attempt)
                if held is not None and not held.is_running:
                    self._forget(held)

    def acknowledge_reports(self, reports: Iterable[AttemptReport]) -> None:
        """Record that the owner has committed these reports."""
        with self._lock:
            for report in reports:
                held = self._held.get(report.held.attempt)
                if held is None:
                    continue
                held.acknowledged_version = max(held.acknowledged_version, report.version)
                if not held.is_running and held.acknowledged_version >= held.version:
                    self._forget(held)

    def reports(self, shard: int) -> list[AttemptReport]:
        """Return a report of every attempt held for a shard."""
        with self._lock:
            return [_report_of(held) for held in self._held.values() if held.shard == shard]

    def pending(self, shard: int) -> list[AttemptReport]:
        """Return reports of the attempts with changes that the owner has not committed."""
        with self._lock:
            return [
                _report_of(held)
                for held in self._held.values()
                if held.shard == shard and held.version > held.acknowledged_version
            ]

    def shards(self) -> set[int]:
        """Return the shards with a lease or a held attempt."""
        with self._lock:
            return set(self._leases) | {held.shard for held in self._held.values()}

    def has_pending(self) -> bool:
        """Return whether an attempt is running or a report is unacknowledged."""
        with self._lock:
            return any(
                h.is_running or h.version > h.acknowledged_version for h in self._held.values()
            )

    # Periodic work.

    def renew_leases(self) -> None:
        """Renew the runtime session and the leases of tasks whose shard lease is valid.

        :raises RuntimeAdapterError: the runtime did not respond; the next call tries again.
        """
        self._renew_session()
        self._renew_tasks()

    def tick(self, batch_permille: int = FULL_PERMILLE) -> None:
        """Update states from the runtime; stop, checkpoint and throttle tasks as due.

        :param batch_permille: processor time, in permille, to which batch tasks are limited.
        :raises RuntimeAdapterError: the runtime did not respond; the next call tries again.
        """
        if not self._is_recovered:
            self._recover()
        self._suspend_unleased()
        _run_all(
            self._execute_stop_commands,
            self._take_checkpoints,
            lambda: self._throttle(batch_permille),
            self._forget_in_runtime,
        )

    def suspend_all(self, reason: str) -> None:
        """Command every attempt to be checkpointed and stopped, and try to do so once."""
        with self._lock:
            for held in self._held.values():
                if held.is_running and held.stop_command is None:
                    held.stop_command = TaskStopCommand(TaskState.SUSPENDED, True, reason)
        with contextlib.suppress(RuntimeAdapterError):
            self._execute_stop_commands()

    def _register(self, command: TaskStartCommand, reservation: Reservation) -> HeldAttempt:
        now = self._clock.monotonic()
        held = HeldAttempt(
            attempt=command.attempt,
            shard=reservation.shard,
            template=reservation.template,
            task_class=reservation.task_class,
            resources=reservation.resources,
            started=now,
        )
        interval = self._checkpoint_interval(reservation.template)
        # A checkpoint can be resumed from only once, so a resumed task takes a new one at once;
        # otherwise the loss of the VM would lose all progress.
        held.checkpoint_due = now if command.checkpoint else now + interval
        self._held[command.attempt] = held
        return held

    def _ensure_lease(self, shard: int, epoch: int) -> None:
        """Lease the shard for at least one runtime lease, until the owner's first renewal."""
        now = self._clock.monotonic()
        lease = self._leases.get(shard)
        if lease is None or lease.expires is None or lease.expires < now + self._runtime_lease:
            owner = lease.owner if lease else None
            self._leases[shard] = ShardLease(epoch, now + self._runtime_lease, owner)

    def _start_in_runtime(
        self, session_id: str, command: TaskStartCommand, held: HeldAttempt
    ) -> tuple[int, str]:
        spec = RuntimeSpec(
            task_id=held.runtime_id,
            account=command.account,
            template=held.template,
            input=command.input,
            checkpoint=command.checkpoint,
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
            self._abandon_session(session_id)
            return Outcome.OUTCOME_UNKNOWN, str(exc)
        with self._lock:
            held.is_confirmed = True
            held.confirmed_at = self._clock.monotonic()
        log(Event.TASK_STARTED, task=held.runtime_id)
        return Outcome.OK, ""

    def _abandon_session(self, session_id: str) -> None:
        """Let a session expire, so that the runtime refuses a start that it executes late."""
        with self._lock:
            if self._session_id == session_id:
                self._session_id = ""

    def _renew_session(self) -> None:
        if self._session_id and self._runtime.renew_session(self._session_id):
            return
        self._session_id = self._runtime.open_session(self._runtime_lease)

    def _recover(self) -> None:
        """Reattach to the tasks that kept running while this process was restarted."""
        with self._runtime_lock:
            for task in self._runtime.tasks():
                self._reattach(task)
        self._is_recovered = True
        self._admission.open()

    def _reattach(self, task: RuntimeTask) -> None:
        attempt = parse_runtime_id(task.task_id)
        if attempt is None:
            return
        held = HeldAttempt(
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
            self._apply_runtime_state(held, task)
        log(Event.TASK_REATTACHED, task=task.task_id, state=task.state.value)

    def _renew_tasks(self) -> None:
        with self._lock:
            ids = [
                held.runtime_id
                for held in self._held.values()
                if held.is_running and held.stop_command is None and self.is_leased(held.shard)
            ]
        if not ids:
            return
        try:
            self._runtime.renew(self._session_id, ids, self._runtime_lease)
        except RuntimeRefusedError:
            # The session expired after its renewal because the process was suspended. The leases
            # are checked again before the next renewal.
            self._session_id = ""

    def _suspend_unleased(self) -> None:
        with self._lock:
            for held in self._held.values():
                lease = self._leases.get(held.shard)
                # A task whose shard was never leased to this process was reattached after a
                # restart; its runtime lease expires unless the owner renews in time.
                if lease is None or lease.expires is None or self.is_leased(held.shard):
                    continue
                if held.is_running and held.stop_command is None:
                    held.stop_command = TaskStopCommand(
                        TaskState.SUSPENDED, True, "the shard lease expired"
                    )

    def _execute_stop_commands(self) -> None:
        with self._runtime_lock:
            _run_all(self._stop_commanded, self._update_states)

    def _stop_commanded(self) -> None:
        with self._lock:
            to_stop = [h for h in self._held.values() if h.is_running and h.stop_command]
        self._call_each(to_stop, self._stop_in_runtime)

    def _call_each(
        self, held_attempts: Iterable[HeldAttempt], call: Callable[[HeldAttempt], None]
    ) -> None:
        """Make a call of the runtime for each attempt, until one fails.

        An attempt whose call has failed comes last from then on. A task that fails every call thus
        does not block the others, and an unresponsive runtime costs one time-out.

        :raises RuntimeAdapterError: a call failed.
        """
        for held in sorted(held_attempts, key=lambda held: held.call_failed_at):
            try:
                call(held)
            except RuntimeAdapterError:
                held.call_failed_at = self._clock.monotonic()
                raise

    def _stop_in_runtime(self, held: HeldAttempt) -> None:
        # The runtime refuses to stop a task that has ended; its list shows the end state.
        with contextlib.suppress(RuntimeRefusedError):
            if held.stop_command.checkpoint:
                handle = self._runtime.checkpoint(held.runtime_id)
                with self._lock:
                    held.checkpoint = handle
        with contextlib.suppress(RuntimeRefusedError):
            self._runtime.stop(held.runtime_id)

    def _update_states(self) -> None:
        listed_after = self._clock.monotonic()
        listed_tasks = {task.task_id: task for task in self._runtime.tasks()}
        with self._lock:
            for held in self._held.values():
                task = listed_tasks.pop(held.runtime_id, None)
                if task is not None:
                    self._apply_runtime_state(held, task)
                elif held.is_running:
                    self._end_unlisted(held, listed_after)
            unknown = [
                task for task in listed_tasks.values() if task.task_id not in self._to_forget
            ]
        for task in unknown:
            self._stop_unknown_task(task)

    def _apply_runtime_state(self, held: HeldAttempt, task: RuntimeTask) -> None:
        if not held.is_running:
            return
        held.is_confirmed = True
        held.usage = task.usage
        held.throttle_permille = task.throttle_permille
        state = _END_STATE_OF_RUNTIME_STATE.get(task.state)
        if state is None:
            return
        reason = task.reason
        # If the stop does not reach the runtime in time, the task ends when its lease expires.
        if held.stop_command is not None and state in (TaskState.STOPPED, TaskState.SUSPENDED):
            state, reason = held.stop_command.state, held.stop_command.reason
        held.checkpoint = task.checkpoint
        held.result = task.result
        if len(task.result) > MAX_RESULT_CHARS:
            # With it, the replies to renewals could be larger than a frame.
            held.result = ""
            if state == TaskState.FINISHED:
                length = len(task.result)
                reason = f"the result has {length} characters; {MAX_RESULT_CHARS} are allowed"
                state = TaskState.FAILED
        self._end(held, state, reason)

    def _end_unlisted(self, held: HeldAttempt, listed_after: timedelta) -> None:
        """End a task that the runtime does not list."""
        if held.started >= listed_after:
            return
        if held.confirmed_at is not None and held.confirmed_at >= listed_after:
            # The listing was requested before the runtime confirmed the start.
            return
        waited = listed_after - held.started
        if not held.is_confirmed and waited < UNCONFIRMED_START_LEASES * self._runtime_lease:
            # A start without a response may still be in flight. Its lease is not renewed, so the
            # task cannot outlive this wait.
            return
        state = held.stop_command.state if held.stop_command else TaskState.SUSPENDED
        self._end(held, state, "the runtime does not know the task")

    def _end(self, held: HeldAttempt, state: int, reason: str) -> None:
        held.state = state
        held.reason = reason
        held.stop_command = None
        held.version += 1
        self._admission.release(held.attempt)
        log(_EVENT_OF_END_STATE[state], task=held.runtime_id, reason=reason)

    def _stop_unknown_task(self, task: RuntimeTask) -> None:
        """Stop a task that runs but is not held, such as after a delayed start."""
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
                and held.stop_command is None
                and held.checkpoint_due is not None
                and held.checkpoint_due <= now
            ]
        self._call_each(due, lambda held: self._take_checkpoint(held, now))

    def _take_checkpoint(self, held: HeldAttempt, now: timedelta) -> None:
        try:
            handle = self._runtime.checkpoint(held.runtime_id)
        except RuntimeRefusedError:
            # The task has ended; the next listing shows its end state.
            return
        with self._lock:
            held.checkpoint_due = now + self._checkpoint_interval(held.template)
            if held.is_running:
                held.checkpoint = handle
                held.version += 1

    def _throttle(self, batch_permille: int) -> None:
        with self._lock:
            changed = [
                held
                for held in self._held.values()
                if held.is_running and held.is_confirmed and held.stop_command is None
                if _throttle_permille_of(held, batch_permille) != held.throttle_permille
            ]
        self._call_each(changed, lambda held: self._throttle_one(held, batch_permille))

    def _throttle_one(self, held: HeldAttempt, batch_permille: int) -> None:
        permille = _throttle_permille_of(held, batch_permille)
        try:
            self._runtime.throttle(held.runtime_id, permille)
        except RuntimeRefusedError:
            return
        with self._lock:
            held.throttle_permille = permille
        log(Event.TASK_THROTTLED, task=held.runtime_id, permille=permille)

    def _forget(self, held: HeldAttempt) -> None:
        del self._held[held.attempt]
        self._to_forget.append(held.runtime_id)

    def _forget_in_runtime(self) -> None:
        with self._lock:
            runtime_ids = list(self._to_forget)
        for runtime_id in runtime_ids:
            try:
                self._forget_one(runtime_id)
            except RuntimeAdapterError:
                with self._lock:
                    # The next call begins with the others.
                    self._to_forget.remove(runtime_id)
                    self._to_forget.append(runtime_id)
                raise
            with self._lock:
                self._to_forget.remove(runtime_id)

    def _forget_one(self, runtime_id: str) -> None:
        try:
            self._runtime.forget(runtime_id)
        except RuntimeRefusedError:
            self._runtime.stop(runtime_id)
            self._runtime.forget(runtime_id)

    def _report_of_stopped(self, attempt: Attempt, command: TaskStopCommand) -> AttemptReport:
        held = self._held.get(attempt)
        if held is not None:
            return _report_of(held)
        absent = HeldAttempt(
            attempt=attempt,
            shard=self._shard_of(attempt.key.job_id),
            template="",
            task_class=TaskClass.BATCH,
            resources=Resources(),
            started=timedelta(),
            state=command.state,
            reason="not held by this worker",
        )
        return AttemptReport(absent, 0)


def _run_all(*steps: Callable[[], None]) -> None:
    """Run steps that do not depend on each other.

    :raises RuntimeAdapterError: the error of the first step that failed, after the last step.
    """
    failures = []
    for step in steps:
        try:
            step()
        except RuntimeAdapterError as exc:
            failures.append(exc)
    if failures:
        raise failures[0]


def parse_runtime_id(text: str) -> Attempt | None:
    """Return the attempt of a runtime task id; None when the id has another format."""
    match = _RUNTIME_ID.fullmatch(text)
    if match is None or REPLACEMENT_CHARACTER in text:
        return None
    job_id, index, number = match[1], int(match[2]), int(match[3])
    if max(index, number) > MAX_AMOUNT:
        return None
    return Attempt(TaskKey(job_id, index), number)


def _throttle_permille_of(held: HeldAttempt, batch_permille: int) -> int:
    """Return the owner's limit or, for batch tasks, the worker's own limit if it is lower."""
    if held.task_class is TaskClass.BATCH:
        return min(held.owner_throttle_permille, batch_permille)
    return held.owner_throttle_permille


def _report_of(held: HeldAttempt) -> AttemptReport:
    return AttemptReport(attrs.evolve(held), held.version)
