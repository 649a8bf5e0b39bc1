"""The owner of one shard: accepts its jobs, starts their tasks and tracks them until they end."""

import json
import random
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, Protocol

from mulberryslip.actions import Action, RunningTask
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import (
    FencedError,
    InvalidMessageError,
    JobConflictError,
    JobError,
    JournalError,
    ShardFullError,
    StoreError,
)
from mulberryslip.fleets import Fleet
from mulberryslip.jobs import Shard
from mulberryslip.journals import Journal
from mulberryslip.models import Attempt, TaskKey, WorkerView
from mulberryslip.quotas import Quotas
from mulberryslip.stores import Store
from mulberryslip.submissions import Submission
from mulberryslip.transitions import ClaimReleased, decode_event
from mulberryslip.wire.ttypes import (
    ClaimReply,
    ClaimRequest,
    JobReply,
    JobRequest,
    Outcome,
    ReportReply,
    ReportRequest,
    ShardRequest,
)

from .attempts import AttemptTracker
from .claims import ShardClaim
from .explanations import Explanations
from .peers import WorkerExecutor, WorkerThreadPool
from .renewals import LeaseRenewer
from .starters import ConfigProvider, TaskPlacement, TaskStarter
from .supervisions import TaskSupervisor
from .terms import Channels, LeaseTimes, OwnerIdentity, Session, ShardTerm

CLAIM_INTERVAL = timedelta(milliseconds=500)
UNDECODABLE_JOURNAL_DELAY = timedelta(seconds=10)
"""Delay before the shard is claimed again after its journal could not be decoded. It is longer than
the claim interval so that another entry can claim the shard."""

MAX_STEP_INTERVAL = timedelta(milliseconds=50)
"""Longest wait between scheduling rounds; well below the 1 s within which urgent tasks start."""

SNAPSHOT_ADMISSION_LIMIT_BYTES = 700_000
"""Snapshot size above which the shard accepts no new jobs. The rest, up to the limit of 900 KB, is
reserved for the results of accepted jobs."""

MAX_LISTED_JOBS = 1000
MAX_EXPLAINED_TASKS = 100

NOT_OWNER = "this entry does not own the shard"


class Policy(Protocol):
    """Extension point that decides on running tasks once a second."""

    def decide(
        self, now: timedelta, workers: Sequence[WorkerView], running: Sequence[RunningTask]
    ) -> list[Action]:
        """Return the actions to apply to running tasks."""


class ShardOwner:
    """Claim one shard whenever no other entry owns it, and schedule its tasks.

    :param shard: number of the shard.
    :param journal: journal of the shard.
    :param source: the operators' configuration.
    :param placement: chooses workers for tasks.
    :param channels: connections to workers.
    :param policies: decide on running tasks once a second; none by default.
    :param quotas: receives the shard's usage per account once a second; shared by the shards.
    :param on_task_finished: called with the template and the run time of each task that finished
        in its first attempt.
    :param make_executor: returns the executor of calls to workers for one ownership term.
    """

    def __init__(
        self,
        shard: int,
        store: Store,
        session: Session,
        journal: Journal,
        fleet: Fleet,
        source: ConfigProvider,
        placement: TaskPlacement,
        channels: Channels,
        clock: Clock,
        identity: OwnerIdentity,
        policies: Sequence[Policy] = (),
        times: LeaseTimes | None = None,
        renew_interval: timedelta = timedelta(seconds=1),
        make_executor: Callable[[], WorkerExecutor] | None = None,
        rng: random.Random | None = None,
        quotas: Quotas | None = None,
        on_task_finished: Callable[[str, timedelta], None] | None = None,
    ):
        self._quotas = quotas
        self._finished = on_task_finished or (lambda template, run_time: None)
        self._shard_number = shard
        self._session = session
        self._journal = journal
        self._fleet = fleet
        self._source = source
        self._placement = placement
        self._channels = channels
        self._clock = clock
        self._identity = identity
        self._policies = tuple(policies)
        self._times = times or LeaseTimes()
        self._renew_interval = renew_interval
        self._make_executor = make_executor or (lambda: WorkerThreadPool(f"shard-{shard}"))
        self._claim = ShardClaim(shard, store, session, identity, clock, rng)
        self._explanations = Explanations(clock)
        self._term: ShardTerm | None = None
        self._attempt_tracker: AttemptTracker | None = None
        self._renewer: LeaseRenewer | None = None
        self._starter: TaskStarter | None = None
        self._supervisor: TaskSupervisor | None = None
        self._executor: WorkerExecutor | None = None

    # Requests from the entry

    def is_owner(self) -> bool:
        """Return whether this process owns the shard now."""
        term = self._term
        return term is not None and term.is_live()

    def submit(self, req: JobRequest) -> JobReply:
        """Accept a job; a resubmission with an equal body returns the existing job's status."""
        term = self._term
        if term is None or not term.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        config = self._source.view()
        if config is None:
            return JobReply(Outcome.NOT_RUN, "no configuration is known yet", b"")
        try:
            with term.lock:
                events = term.shard.submit(req.job_id, req.body, config, self._now_ms())
            if events and self._journal.snapshot_bytes > SNAPSHOT_ADMISSION_LIMIT_BYTES:
                raise ShardFullError(f"shard {self._shard_number} is full")
            term.commit(events)
            digest = Submission.from_json(req.body).digest
            with term.lock:
                # Another submission of the same id may have been committed first.
                term.shard.check_digest(req.job_id, digest)
        except JobConflictError as exc:
            return JobReply(Outcome.CONFLICT, str(exc), b"")
        except ShardFullError as exc:
            return JobReply(Outcome.NOT_RUN, str(exc), b"")
        except JobError as exc:
            return JobReply(Outcome.INVALID, str(exc), b"")
        except JournalError as exc:
            return JobReply(_journal_error_outcome(exc), str(exc), b"")
        if events:
            log(Event.JOB_ACCEPTED, job=req.job_id, shard=self._shard_number)
        term.wake.set()
        return self._status(term, req.job_id)

    def status(self, req: JobRequest) -> JobReply:
        """Return the state of a job."""
        term = self._term
        if term is None or not term.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        return self._status(term, req.job_id)

    def cancel(self, req: JobRequest) -> JobReply:
        """Cancel a job; tasks that have ended keep their results."""
        term = self._term
        if term is None or not term.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        with term.lock:
            events = term.shard.cancel(req.job_id, "cancelled by the caller", self._now_ms())
        if events:
            try:
                held = self._commit_cancel(term, req.job_id, events)
            except JournalError as exc:
                return JobReply(_journal_error_outcome(exc), str(exc), b"")
            for worker_id, attempts in held.items():
                self._attempt_tracker.stop_ended(worker_id, attempts, "the job was cancelled")
            log(Event.JOB_CANCELLED, job=req.job_id)
        return self._status(term, req.job_id)

    def report(self, req: ReportRequest) -> ReportReply:
        """Commit a worker's report and acknowledge the tasks in it."""
        term, attempts = self._term, self._attempt_tracker
        if term is None or attempts is None or not term.is_live():
            return ReportReply(Outcome.NOT_OWNER, [])
        # The sender may be another entry that forwards the report.
        try:
            attempts.commit_reports("", req.tasks)
        except JournalError as exc:
            return ReportReply(_journal_error_outcome(exc), [])
        term.wake.set()
        return ReportReply(Outcome.OK, [report.task for report in req.tasks])

    def claim_request(self, req: ClaimRequest) -> ClaimReply:
        """Claim a request id for a worker, or release it with an empty worker id."""
        term = self._term
        if term is None or not term.is_live():
            return ClaimReply(Outcome.NOT_OWNER, NOT_OWNER, "")
        try:
            if not req.worker_id:
                term.commit([ClaimReleased(req.claim_id)])
                return ClaimReply(Outcome.OK, "", "")
            with term.lock:
                events = term.shard.claim(req.claim_id, req.worker_id, self._now_ms())
            if term.commit(events) == [True]:
                return ClaimReply(Outcome.OK, "", "")
        except ShardFullError as exc:
            return ClaimReply(Outcome.NOT_RUN, str(exc), "")
        except JournalError as exc:
            return ClaimReply(_journal_error_outcome(exc), str(exc), "")
        with term.lock:
            claim = term.shard.find_claim(req.claim_id, self._now_ms())
        if claim is None:
            return ClaimReply(Outcome.NOT_RUN, "too many claims", "")
        return ClaimReply(Outcome.CONFLICT, "claimed before", claim.worker_id)

    def list_jobs(self, req: ShardRequest) -> JobReply:
        """Return a summary of the shard's newest jobs as a JSON list, newest first."""
        term = self._term
        if term is None or not term.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        with term.lock:
            newest = list(term.shard.jobs.values())[-MAX_LISTED_JOBS:]
            summaries = [job.summary() for job in reversed(newest)]
        return JobReply(Outcome.OK, "", json.dumps(summaries).encode())

    def explain(self, req: JobRequest) -> JobReply:
        """Return the states of a job's tasks and the latest decisions on them as a JSON list."""
        term = self._term
        if term is None or not term.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        with term.lock:
            job = term.shard.jobs.get(req.job_id)
            if job is None:
                return JobReply(Outcome.NOT_FOUND, f"job {req.job_id!r} is unknown", b"")
            states = [(t.key(job.job_id), t.phase_name, t.reason) for t in job.tasks]
        lines = [
            line
            for state in states[:MAX_EXPLAINED_TASKS]
            for line in self._explanation_lines(*state)
        ]
        return JobReply(Outcome.OK, "", json.dumps(lines).encode())

    # Ownership

    def run(self, stop: threading.Event) -> None:
        """Claim the shard whenever it is free and schedule its tasks, until stopped."""
        while not stop.is_set():
            pause = CLAIM_INTERVAL
            try:
                if self.acquire():
                    self._run_term(stop)
            except InvalidMessageError as exc:
                log(Event.MESSAGE_INVALID, what=f"shard {self._shard_number}", reason=str(exc))
                self._claim.release()
                pause = UNDECODABLE_JOURNAL_DELAY
            except (StoreError, JournalError) as exc:
                log(Event.STORE_UNAVAILABLE, call="own shard", reason=str(exc))
            except Exception as exc:
                # Keep claiming after an unexpected error; otherwise the shard would have no owner.
                log(Event.INTERNAL_ERROR, method="own shard", error=repr(exc))
            finally:
                self._end_term("no longer owner")
            self._clock.wait(stop, pause)

    def acquire(self) -> bool:
        """Try once to claim the shard and to recover its state from the journal.

        :returns: whether this entry now owns the shard.
        :raises StoreError: the store did not answer.
        :raises JournalError: the journal cannot be read or was claimed by another entry.
        :raises InvalidMessageError: the journal is damaged or of a newer version.
        """
        self._end_term("claiming the shard again")
        if not self._claim.try_claim():
            return False
        shard = self._recover()
        epoch = self._journal.claim()
        term = ShardTerm(
            self._shard_number,
            epoch,
            shard,
            self._journal,
            self._session,
            self._identity,
            self._clock,
            self._source.revision,
        )
        self._start_term(term)
        log(Event.SHARD_CLAIMED, shard=self._shard_number, epoch=epoch, jobs=len(shard.jobs))
        return term.is_live()

    def step(self) -> int:
        """Run one scheduling round and return the number of tasks started."""
        return self._starter.step()

    def supervise(self) -> None:
        """Run the periodic work: renew leases, apply policies to running tasks, expire old jobs."""
        term = self._term
        self._renewer.renew_due()
        self._supervisor.run(self._policies)
        term.commit_log.flush()
        with term.lock:
            expired = term.shard.expire(self._now_ms())
        term.commit(expired)
        term.drop_ended_attempts()

    def release(self) -> None:
        """Release the shard during a planned stop; call it after `run` has returned."""
        self._end_term("released")
        if self._session.valid():
            self._claim.release()
            log(Event.SHARD_RELEASED, shard=self._shard_number)

    def _run_term(self, stop: threading.Event) -> None:
        term = self._term
        next_scan = self._clock.monotonic()
        while term.is_live() and not stop.is_set():
            term.wake.clear()
            try:
                if self._clock.monotonic() >= next_scan:
                    next_scan = self._clock.monotonic() + self._renew_interval / 4
                    self.supervise()
                if self.step():
                    continue
            except FencedError:
                return
            except JournalError as exc:
                log(Event.STORE_UNAVAILABLE, call="commit", reason=str(exc))
                self._clock.wait(stop, MAX_STEP_INTERVAL)
            self._clock.wait(term.wake, MAX_STEP_INTERVAL)

    def _recover(self) -> Shard:
        recovery = self._journal.open()
        shard = Shard() if recovery.state is None else Shard.from_snapshot(recovery.state)
        for raw in recovery.events:
            shard.apply(decode_event(raw))
        if self._journal.snapshot_due:
            self._journal.write_snapshot(shard.to_snapshot())
        return shard

    def _start_term(self, term: ShardTerm) -> None:
        executor = self._make_executor()
        shared = (self._channels, executor, self._explanations, self._clock)
        attempts = AttemptTracker(term, self._fleet, self._placement, *shared, self._finished)
        renewer = LeaseRenewer(
            term,
            self._fleet,
            self._source,
            self._channels,
            executor,
            attempts,
            self._clock,
            self._times,
            self._renew_interval,
        )
        self._starter = TaskStarter(
            term, self._fleet, self._source, self._placement, *shared, renewer.record_possible_grant
        )
        self._supervisor = TaskSupervisor(
            term, self._fleet, self._source, attempts, self._starter, self._clock, self._quotas
        )
        self._executor = executor
        self._renewer = renewer
        self._attempt_tracker = attempts
        self._term = term

    def _end_term(self, reason: str) -> None:
        term = self._term
        if term is None:
            return
        self._term = None
        term.end()
        self._executor.stop()
        self._fleet.clear_running(self._shard_number)
        log(Event.SHARD_LOST, shard=self._shard_number, epoch=term.epoch, reason=reason)

    def _commit_cancel(
        self, term: ShardTerm, job_id: str, events: list[Any]
    ) -> dict[str, list[Attempt]]:
        """Commit a cancellation and return the attempts to stop, by worker id."""
        term.commit(events)
        held: dict[str, list[Attempt]] = {}
        with term.lock:
            job = term.shard.jobs.get(job_id)
            for task in job.tasks if job else ():
                key = task.key(job_id)
                if task.phase_name == "cancelled":
                    # Capacity may be reserved for a task that was waiting.
                    self._placement.forget_task(key)
                    if task.attempt:
                        held.setdefault(task.worker_id, []).append(Attempt(key, task.attempt))
        return held

    def _status(self, term: ShardTerm, job_id: str) -> JobReply:
        with term.lock:
            job = term.shard.jobs.get(job_id)
            if job is None:
                return JobReply(Outcome.NOT_FOUND, f"job {job_id!r} is unknown", b"")
            status = job.status()
        return JobReply(Outcome.OK, "", json.dumps(status).encode())

    def _explanation_lines(self, key: TaskKey, phase: str, reason: str) -> list[str]:
        lines = [f"task {key.index} is {phase}" + (f": {reason}" if reason else "")]
        for entry in self._explanations.reasons_for(key):
            lines.append(
                f"task {key.index}, {entry.at.isoformat(timespec='seconds')}: {entry.text}"
            )
        return lines

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _journal_error_outcome(exc: JournalError) -> int:
    return Outcome.OUTCOME_UNKNOWN if exc.unresolved else Outcome.NOT_RUN
