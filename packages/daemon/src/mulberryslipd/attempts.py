"""What workers report about attempts, and the stops that are sent to them."""

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

from .explanations import Explanations
from .peers import Peers
from .tenures import (
    AttemptInfo,
    Channels,
    StopOrder,
    Tenure,
    address_of,
    attempt_of,
    ref_of,
)

STOP_RETRY = timedelta(seconds=10)
"""A stop that has not taken effect is repeated; writing a checkpoint takes up to a few seconds."""

_EVENTS = {
    AttemptFinished: Event.TASK_FINISHED,
    AttemptFailed: Event.TASK_FAILED,
    AttemptEvicted: Event.TASK_EVICTED,
    AttemptSuspended: Event.TASK_SUSPENDED,
}


class Attempts:
    """Turns reports on attempts into events, and sends stops.

    :param placement: learns sizes from reported usage by its `observe`.
    :param finished: called with the template and the run time of each task that finished in its
        first attempt; later attempts do not tell the whole run time.
    """

    def __init__(
        self,
        tenure: Tenure,
        fleet: Fleet,
        placement: Any,
        channels: Channels,
        peers: Peers,
        explanations: Explanations,
        clock: Clock,
        finished: Callable[[str, timedelta], None],
    ):
        self._finished = finished
        self._tenure = tenure
        self._fleet = fleet
        self._placement = placement
        self._channels = channels
        self._peers = peers
        self._explanations = explanations
        self._clock = clock

    def take(self, worker_id: str, reports: list[TaskReport]) -> list[Attempt]:
        """Commit what a worker reports.

        :param worker_id: the worker; empty when another entry forwarded the report.
        :param reports: its reports.
        :returns: attempts that have ended and whose reports the worker may forget.
        :raises JournalError: the reports are not committed; the worker must repeat them.
        """
        events = []
        workers = []
        stale = []
        with self._tenure.lock:
            for report in reports:
                found = self._current(worker_id, report)
                if found is None:
                    stale.append(report)
                    continue
                new = self._events(report, *found)
                events += new
                workers += [found[1].worker_id] * len(new)
        changed = self._tenure.commit(events)
        for worker, event, applied in zip(workers, events, changed, strict=True):
            if applied:
                self._note(worker, event)
        if worker_id:
            self._stop_stale(worker_id, stale)
        return self._ended(reports)

    def stop(
        self, worker_id: str, attempts: list[Attempt], reason: str, checkpoint: bool, overdue: bool
    ) -> None:
        """Ask a worker to stop current attempts.

        :param checkpoint: whether each task writes a checkpoint first.
        :param overdue: whether the attempts count as failed because they ran too long.
        """
        now = self._clock.monotonic()
        due = []
        with self._tenure.lock:
            for attempt in attempts:
                info = self._tenure.info(attempt)
                if info.stop is None or now - info.stop.sent_at >= STOP_RETRY:
                    info.stop = StopOrder(reason, checkpoint, now, overdue)
                    due.append(attempt)
        for attempt in due:
            self._explanations.add(attempt.key, f"stopping on {worker_id}: {reason}")
        self._send_stop(worker_id, due, reason, checkpoint)

    def stop_ended(self, worker_id: str, attempts: list[Attempt], reason: str) -> None:
        """Ask a worker to stop attempts that no longer count, without a checkpoint."""
        self._send_stop(worker_id, attempts, reason, checkpoint=False)

    def _current(self, worker_id: str, report: TaskReport) -> tuple[Job, Task] | None:
        attempt = attempt_of(report.task)
        job = self._tenure.shard.jobs.get(attempt.key.job_id)
        task = job.task(attempt.key.index) if job else None
        if task is None or not task.is_current(attempt.number):
            return None
        return (job, task) if worker_id in ("", task.worker_id) else None

    def _events(self, report: TaskReport, job: Job, task: Task) -> list[Any]:
        info = self._tenure.info(attempt_of(report.task))
        if report.state != TaskState.RUNNING:
            return [self._end(report, task, info)]
        info.confirmed_at = info.confirmed_at or self._clock.monotonic()
        info.usage = Resources(*_amounts(report.usage))
        info.throttle_permille = report.throttle_permille
        if info.usage.cpu_millis or info.usage.memory_mb:
            self._placement.observe(job.template, info.usage)
        return self._progress(report, task, info)

    def _progress(self, report: TaskReport, task: Task, info: AttemptInfo) -> list[Any]:
        name = (report.task.job_id, report.task.index, report.task.attempt)
        events = []
        if task.phase is TaskPhase.ASSIGNED:
            events.append(AttemptStarted(*name, self._now_ms()))
        checkpoint = _checkpoint(report)
        if task.is_new_checkpoint(checkpoint):
            info.saved_at = self._clock.monotonic()
            events.append(AttemptCheckpointed(*name, checkpoint))
        return events

    def _end(self, report: TaskReport, task: Task, info: AttemptInfo) -> Any:
        name = (report.task.job_id, report.task.index, report.task.attempt)
        reason = _text(report.reason, MAX_REASON_CHARS)
        if report.state == TaskState.FINISHED:
            return self._finish(task.worker_id, name, report.result)
        if report.state == TaskState.FAILED:
            return self._fail(task.worker_id, name, reason or "failed without a reason")
        if _never_started(report, task, info):
            return AttemptUnstarted(*name, reason)
        if info.stop is None:
            return AttemptSuspended(*name, _checkpoint(report), reason or "stopped by the worker")
        if info.stop.overdue:
            return self._fail(task.worker_id, name, info.stop.reason)
        reason = _text(info.stop.reason, MAX_REASON_CHARS)
        return AttemptEvicted(*name, _checkpoint(report), reason)

    def _finish(self, worker_id: str, name: tuple[str, int, int], result: str) -> Any:
        if len(result) > MAX_RESULT_CHARS or not is_unicode(result):
            reason = f"the result has {len(result)} characters; {MAX_RESULT_CHARS} are allowed"
            return self._fail(worker_id, name, reason)
        return AttemptFinished(*name, result, self._now_ms())

    def _fail(self, worker_id: str, name: tuple[str, int, int], reason: str) -> AttemptFailed:
        view = self._fleet.worker(worker_id)
        counted = view is None or not view.quarantined
        return AttemptFailed(*name, reason, counted, self._now_ms())

    def _note(self, worker_id: str, event: Any) -> None:
        """Log a committed event and let the fleet learn from it."""
        with self._tenure.lock:
            job = self._tenure.shard.jobs.get(event.job_id)
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
        number = _EVENTS.get(type(event))
        if number is None:
            return
        reason = getattr(event, "reason", "")
        said = number.name.lower().replace("_", " ")
        self._explanations.add(key, f"{said} on {worker_id}" + (f": {reason}" if reason else ""))
        log(
            number,
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
        """Stop attempts that a worker still runs although they no longer count."""
        live = [attempt_of(r.task) for r in reports if r.state == TaskState.RUNNING]
        self.stop_ended(worker_id, live, "the attempt is no longer current")

    def _ended(self, reports: list[TaskReport]) -> list[Attempt]:
        with self._tenure.lock:
            return [
                attempt_of(report.task)
                for report in reports
                if report.state != TaskState.RUNNING
                and not self._tenure.shard.is_current(attempt_of(report.task))
            ]

    def _send_stop(
        self, worker_id: str, attempts: list[Attempt], reason: str, checkpoint: bool
    ) -> None:
        if attempts:
            self._peers.submit(
                worker_id, lambda: self._call_stop(worker_id, attempts, reason, checkpoint)
            )

    def _call_stop(
        self, worker_id: str, attempts: list[Attempt], reason: str, checkpoint: bool
    ) -> None:
        try:
            timeout = self._tenure.timeout()
            req = StopRequest(
                self._tenure.header(timeout),
                self._tenure.number,
                self._tenure.epoch,
                [ref_of(attempt) for attempt in attempts],
                checkpoint,
                reason,
            )
            reply = self._channels.call(address_of(self._fleet, worker_id), "stop", req, timeout)
            self.take(worker_id, [r for r in reply.tasks if r.state != TaskState.RUNNING])
        except (WireError, JournalError) as exc:
            # The worker reports the outcome with a renewal; the stop is repeated if it was lost.
            log(Event.CONNECTION_DROPPED, peer=worker_id, reason=f"stop: {exc}")

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _never_started(report: TaskReport, task: Task, info: AttemptInfo) -> bool:
    """Return whether a stop came before the start, which the worker refuses from then on."""
    stopped = report.state == TaskState.STOPPED and not report.checkpoint
    return stopped and task.phase is TaskPhase.ASSIGNED and info.confirmed_at is None


def _checkpoint(report: TaskReport) -> str:
    valid = len(report.checkpoint) <= MAX_CHECKPOINT_CHARS and is_unicode(report.checkpoint)
    return report.checkpoint if valid else ""


def _amounts(usage: Any) -> tuple[int, int, int, int]:
    return (usage.cpu_millis, usage.memory_mb, usage.accelerators, usage.slots)


def _text(text: str, limit: int) -> str:
    return text[:limit] if is_unicode(text) else ""
