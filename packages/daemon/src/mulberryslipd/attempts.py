"""Reports of workers on attempts, and the stop calls sent to workers."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import JournalError, WireError
from mulberryslip.fleets import Fleet
from mulberryslip.jobs import Job
from mulberryslip.models import Attempt, Resources
from mulberryslip.records import is_unicode
from mulberryslip.tasks import Task, TaskPhase
from mulberryslip.transitions import (
    MAX_CHECKPOINT_CHARS,
    MAX_REASON_CHARS,
    MAX_RESULT_CHARS,
    AttemptCheckpointed,
    AttemptEvicted,
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    AttemptSuspended,
    AttemptUnstarted,
)
from mulberryslip.wire.ttypes import StopRequest, TaskReport, TaskState

from .commits import split_events
from .explanations import Explanations
from .peers import WorkerExecutor
from .terms import (
    AttemptInfo,
    Channels,
    RequestedStop,
    ShardTerm,
    address_of,
    attempt_of,
    ref_of,
)

STOP_RETRY = timedelta(seconds=10)
"""Time after which a stop without effect is sent again; writing a checkpoint takes up to a few
seconds."""

_LOG_EVENTS = {
    AttemptFinished: Event.TASK_FINISHED,
    AttemptFailed: Event.TASK_FAILED,
    AttemptEvicted: Event.TASK_EVICTED,
    AttemptSuspended: Event.TASK_SUSPENDED,
}


class AttemptTracker:
    """Turn reports on attempts into journal events, and stop attempts.

    :param placement: its `observe` method receives reported usage, to estimate task sizes.
    :param finished: called with the template and the run time of each task that finished in its
        first attempt; the run time of a later attempt may cover only part of the work.
    """

    def __init__(
        self,
        term: ShardTerm,
        fleet: Fleet,
        placement: Any,
        channels: Channels,
        executor: WorkerExecutor,
        explanations: Explanations,
        clock: Clock,
        finished: Callable[[str, timedelta], None],
    ):
        self._finished = finished
        self._term = term
        self._fleet = fleet
        self._placement = placement
        self._channels = channels
        self._executor = executor
        self._explanations = explanations
        self._clock = clock

    def commit_reports(self, worker_id: str, reports: list[TaskReport]) -> list[Attempt]:
        """Commit the reports of a worker and stop attempts that it runs but that are not current.

        :param worker_id: the worker; empty when another entry forwarded the report.
        :param reports: the reports.
        :returns: ended attempts whose reports the worker may delete.
        :raises JournalError: the reports were not committed; the worker must send them again.
        """
        events = []
        workers = []
        stale = []
        with self._term.lock:
            for report in reports:
                found = self._find_current(worker_id, report)
                if found is None:
                    stale.append(report)
                    continue
                new = self._report_events(report, *found)
                events += new
                workers += [found[1].worker_id] * len(new)
        # Results of tasks that have ended together can be larger than a record.
        changed = [applied for part in split_events(events) for applied in self._term.commit(part)]
        for worker, event, applied in zip(workers, events, changed, strict=True):
            if applied:
                self._record_event(worker, event)
        if worker_id:
            self._stop_stale(worker_id, stale)
        return self._ended_attempts(reports)

    def stop(
        self, worker_id: str, attempts: list[Attempt], reason: str, checkpoint: bool, overdue: bool
    ) -> None:
        """Ask a worker to stop current attempts.

        :param checkpoint: whether each task writes a checkpoint first.
        :param overdue: whether the attempts count as failed because they ran too long.
        """
        now = self._clock.monotonic()
        due = []
        with self._term.lock:
            for attempt in attempts:
                info = self._term.info(attempt)
                if info.stop is None or now - info.stop.sent_at >= STOP_RETRY:
                    info.stop = RequestedStop(reason, checkpoint, now, overdue)
                    due.append(attempt)
        for attempt in due:
            self._explanations.add(attempt.key, f"stopping on {worker_id}: {reason}")
        self._send_stop(worker_id, due, reason, checkpoint)

    def stop_ended(self, worker_id: str, attempts: list[Attempt], reason: str) -> None:
        """Ask a worker to stop attempts that are no longer current, without a checkpoint."""
        self._send_stop(worker_id, attempts, reason, checkpoint=False)

    def _find_current(self, worker_id: str, report: TaskReport) -> tuple[Job, Task] | None:
        attempt = attempt_of(report.task)
        job = self._term.shard.jobs.get(attempt.key.job_id)
        task = job.task(attempt.key.index) if job else None
        if task is None or not task.is_current(attempt.number):
            return None
        return (job, task) if worker_id in ("", task.worker_id) else None

    def _report_events(self, report: TaskReport, job: Job, task: Task) -> list[Any]:
        info = self._term.info(attempt_of(report.task))
        if report.state != TaskState.RUNNING:
            return [self._end_event(report, task, info)]
        info.confirmed_at = info.confirmed_at or self._clock.monotonic()
        info.usage = Resources(*_amounts(report.usage))
        info.throttle_permille = report.throttle_permille
        if info.usage.cpu_millis or info.usage.memory_mb:
            self._placement.observe(job.template, info.usage)
        return self._progress_events(report, task, info)

    def _progress_events(self, report: TaskReport, task: Task, info: AttemptInfo) -> list[Any]:
        ref = (report.task.job_id, report.task.index, report.task.attempt)
        events = []
        if task.phase is TaskPhase.ASSIGNED:
            events.append(AttemptStarted(*ref, self._now_ms()))
        checkpoint = _valid_checkpoint(report)
        if task.is_new_checkpoint(checkpoint):
            info.checkpointed_at = self._clock.monotonic()
            events.append(AttemptCheckpointed(*ref, checkpoint))
        return events

    def _end_event(self, report: TaskReport, task: Task, info: AttemptInfo) -> Any:
        ref = (report.task.job_id, report.task.index, report.task.attempt)
        reason = _truncate_text(report.reason, MAX_REASON_CHARS)
        if report.state == TaskState.FINISHED:
            return self._finish_event(task.worker_id, ref, report.result)
        if report.state == TaskState.FAILED:
            return self._failure_event(task.worker_id, ref, reason or "failed without a reason")
        if _never_started(report, task, info):
            return AttemptUnstarted(*ref, reason)
        if info.stop is None:
            return AttemptSuspended(
                *ref, _valid_checkpoint(report), reason or "stopped by the worker"
            )
        if info.stop.overdue:
            return self._failure_event(task.worker_id, ref, info.stop.reason)
        reason = _truncate_text(info.stop.reason, MAX_REASON_CHARS)
        return AttemptEvicted(*ref, _valid_checkpoint(report), reason)

    def _finish_event(self, worker_id: str, ref: tuple[str, int, int], result: str) -> Any:
        if len(result) > MAX_RESULT_CHARS or not is_unicode(result):
            reason = f"the result has {len(result)} characters; {MAX_RESULT_CHARS} are allowed"
            return self._failure_event(worker_id, ref, reason)
        return AttemptFinished(*ref, result, self._now_ms())

    def _failure_event(
        self, worker_id: str, ref: tuple[str, int, int], reason: str
    ) -> AttemptFailed:
        view = self._fleet.worker(worker_id)
        counts_as_failure = view is None or not view.quarantined
        return AttemptFailed(*ref, reason, counts_as_failure, self._now_ms())

    def _record_event(self, worker_id: str, event: Any) -> None:
        """Log a committed event and update the health record of the worker."""
        with self._term.lock:
            job = self._term.shard.jobs.get(event.job_id)
            task = job.task(event.index) if job else None
        if job is None or task is None:
            return
        key = task.key(job.job_id)
        if isinstance(event, AttemptFailed):
            self._fleet.record_failure(worker_id, key, job.template)
        elif isinstance(event, AttemptFinished | AttemptCheckpointed):
            finished = isinstance(event, AttemptFinished)
            self._fleet.record_progress(worker_id, key, job.template, finished)
            if finished and event.attempt == 1 and task.started_ms:
                run_time = timedelta(milliseconds=max(0, event.at_ms - task.started_ms))
                self._finished(job.template, run_time)
        log_event = _LOG_EVENTS.get(type(event))
        if log_event is None:
            return
        reason = getattr(event, "reason", "")
        description = log_event.name.lower().replace("_", " ")
        self._explanations.add(
            key, f"{description} on {worker_id}" + (f": {reason}" if reason else "")
        )
        log(
            log_event,
            job=key.job_id,
            index=key.index,
            attempt=event.attempt,
            worker=worker_id,
            reason=reason,
        )
        if job.is_terminal:
            ended = Event.JOB_FINISHED if job.state == "finished" else Event.JOB_FAILED
            log(ended, job=job.job_id, reason=job.reason)

    def _stop_stale(self, worker_id: str, reports: list[TaskReport]) -> None:
        """Stop attempts that a worker still runs but that are no longer current."""
        live = [attempt_of(r.task) for r in reports if r.state == TaskState.RUNNING]
        self.stop_ended(worker_id, live, "the attempt is no longer current")

    def _ended_attempts(self, reports: list[TaskReport]) -> list[Attempt]:
        with self._term.lock:
            return [
                attempt_of(report.task)
                for report in reports
                if report.state != TaskState.RUNNING
                and not self._term.shard.is_current(attempt_of(report.task))
            ]

    def _send_stop(
        self, worker_id: str, attempts: list[Attempt], reason: str, checkpoint: bool
    ) -> None:
        if attempts:
            self._executor.submit(
                worker_id, lambda: self._call_stop(worker_id, attempts, reason, checkpoint)
            )

    def _call_stop(
        self, worker_id: str, attempts: list[Attempt], reason: str, checkpoint: bool
    ) -> None:
        try:
            timeout = self._term.timeout()
            req = StopRequest(
                self._term.header(timeout),
                self._term.number,
                self._term.epoch,
                [ref_of(attempt) for attempt in attempts],
                checkpoint,
                reason,
            )
            reply = self._channels.call(address_of(self._fleet, worker_id), "stop", req, timeout)
            self.commit_reports(worker_id, [r for r in reply.tasks if r.state != TaskState.RUNNING])
        except (WireError, JournalError) as exc:
            # A later renewal reports the outcome; a stop that was lost is sent again.
            log(Event.CONNECTION_DROPPED, peer=worker_id, reason=f"stop: {exc}")

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _never_started(report: TaskReport, task: Task, info: AttemptInfo) -> bool:
    """Return whether the stop reached the worker before the start, which it then refuses."""
    stopped = report.state == TaskState.STOPPED and not report.checkpoint
    return stopped and task.phase is TaskPhase.ASSIGNED and info.confirmed_at is None


def _valid_checkpoint(report: TaskReport) -> str:
    valid = len(report.checkpoint) <= MAX_CHECKPOINT_CHARS and is_unicode(report.checkpoint)
    return report.checkpoint if valid else ""


def _amounts(usage: Any) -> tuple[int, int, int, int]:
    return (usage.cpu_millis, usage.memory_mb, usage.accelerators, usage.slots)


def _truncate_text(text: str, limit: int) -> str:
    return text[:limit] if is_unicode(text) else ""
