"""The owner of one shard: accepts its jobs, starts their tasks, and follows them to the end."""

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

from .attempts import Attempts
from .claims import ShardClaim
from .explanations import Explanations
from .peers import Peers, PeerThreads
from .renewals import Renewals
from .starters import Source, Starter, TaskPlacement
from .supervisions import Supervision
from .tenures import Channels, Identity, LeaseTimes, Session, Tenure

CLAIM_INTERVAL = timedelta(milliseconds=500)
INVALID_PAUSE = timedelta(seconds=10)
"""Pause after a shard could not be read, so that another entry gets its turn."""

STEP_INTERVAL = timedelta(milliseconds=50)
"""Longest wait before queued tasks are looked at again: well below 1 s for urgent ones."""

SNAPSHOT_LIMIT = 700_000
"""Size of a snapshot in bytes from which on the shard takes no new jobs. The rest up to 900 KB is
for the results of the accepted ones."""

MAX_LISTED = 1000
MAX_EXPLAINED = 100

NOT_OWNER = "this entry does not own the shard"


class Policy(Protocol):
    """Extension point: decides each second on running tasks."""

    def decide(
        self, now: timedelta, workers: Sequence[WorkerView], running: Sequence[RunningTask]
    ) -> list[Action]:
        """Return actions on running tasks."""


class ShardOwner:
    """Owns one shard whenever no other entry does.

    :param shard: number of the shard.
    :param journal: journal of the shard.
    :param source: the operators' configuration.
    :param placement: chooses workers for tasks.
    :param channels: connections to workers.
    :param policies: decide on running tasks each second; none by default.
    :param quotas: gets the shard's usage of the accounts each second; shared by the shards.
    :param finished: called with template and run time of tasks that finished.
    :param make_peers: makes what runs the calls to workers for one ownership.
    """

    def __init__(
        self,
        shard: int,
        store: Store,
        session: Session,
        journal: Journal,
        fleet: Fleet,
        source: Source,
        placement: TaskPlacement,
        channels: Channels,
        clock: Clock,
        identity: Identity,
        policies: Sequence[Policy] = (),
        times: LeaseTimes | None = None,
        renew_interval: timedelta = timedelta(seconds=1),
        make_peers: Callable[[], Peers] | None = None,
        rng: random.Random | None = None,
        quotas: Quotas | None = None,
        finished: Callable[[str, timedelta], None] | None = None,
    ):
        self._quotas = quotas
        self._finished = finished or (lambda template, run_time: None)
        self._number = shard
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
        self._make_peers = make_peers or (lambda: PeerThreads(f"shard-{shard}"))
        self._claim = ShardClaim(shard, store, session, identity, clock, rng)
        self._explanations = Explanations(clock)
        self._tenure: Tenure | None = None
        self._attempts: Attempts | None = None
        self._renewals: Renewals | None = None
        self._starter: Starter | None = None
        self._supervision: Supervision | None = None
        self._peers: Peers | None = None

    # Calls of the entry

    def is_owner(self) -> bool:
        """Return whether this process owns the shard now."""
        tenure = self._tenure
        return tenure is not None and tenure.is_live()

    def submit(self, req: JobRequest) -> JobReply:
        """Accept a job; a resubmission with an equal body gets the job as it is."""
        tenure = self._tenure
        if tenure is None or not tenure.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        config = self._source.view()
        if config is None:
            return JobReply(Outcome.NOT_RUN, "no configuration is known yet", b"")
        try:
            with tenure.lock:
                events = tenure.shard.submit(req.job_id, req.body, config, self._now_ms())
            if events and self._journal.snapshot_bytes > SNAPSHOT_LIMIT:
                raise ShardFullError(f"shard {self._number} is full")
            tenure.commit(events)
            digest = Submission.from_json(req.body).digest
            with tenure.lock:
                # Another submission of the same id may have been committed first.
                tenure.shard.check_digest(req.job_id, digest)
        except JobConflictError as exc:
            return JobReply(Outcome.CONFLICT, str(exc), b"")
        except ShardFullError as exc:
            return JobReply(Outcome.NOT_RUN, str(exc), b"")
        except JobError as exc:
            return JobReply(Outcome.INVALID, str(exc), b"")
        except JournalError as exc:
            return JobReply(_refusal(exc), str(exc), b"")
        if events:
            log(Event.JOB_ACCEPTED, job=req.job_id, shard=self._number)
        tenure.wake.set()
        return self._status(tenure, req.job_id)

    def status(self, req: JobRequest) -> JobReply:
        """Return the state of a job."""
        tenure = self._tenure
        if tenure is None or not tenure.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        return self._status(tenure, req.job_id)

    def cancel(self, req: JobRequest) -> JobReply:
        """Cancel a job; tasks that have ended keep their results."""
        tenure = self._tenure
        if tenure is None or not tenure.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        with tenure.lock:
            events = tenure.shard.cancel(req.job_id, "cancelled by the caller", self._now_ms())
        if events:
            try:
                held = self._commit_cancel(tenure, req.job_id, events)
            except JournalError as exc:
                return JobReply(_refusal(exc), str(exc), b"")
            for worker_id, attempts in held.items():
                self._attempts.stop_ended(worker_id, attempts, "the job was cancelled")
            log(Event.JOB_CANCELLED, job=req.job_id)
        return self._status(tenure, req.job_id)

    def report(self, req: ReportRequest) -> ReportReply:
        """Take in a worker's report; what is committed is acknowledged."""
        tenure, attempts = self._tenure, self._attempts
        if tenure is None or attempts is None or not tenure.is_live():
            return ReportReply(Outcome.NOT_OWNER, [])
        # The sender may be another entry that forwards the report.
        try:
            attempts.take("", req.tasks)
        except JournalError as exc:
            return ReportReply(_refusal(exc), [])
        tenure.wake.set()
        return ReportReply(Outcome.OK, [report.task for report in req.tasks])

    def claim_request(self, req: ClaimRequest) -> ClaimReply:
        """Claim a request id for a worker, or release it with an empty worker id."""
        tenure = self._tenure
        if tenure is None or not tenure.is_live():
            return ClaimReply(Outcome.NOT_OWNER, NOT_OWNER, "")
        try:
            if not req.worker_id:
                tenure.commit([ClaimReleased(req.claim_id)])
                return ClaimReply(Outcome.OK, "", "")
            with tenure.lock:
                events = tenure.shard.claim(req.claim_id, req.worker_id, self._now_ms())
            if tenure.commit(events) == [True]:
                return ClaimReply(Outcome.OK, "", "")
        except ShardFullError as exc:
            return ClaimReply(Outcome.NOT_RUN, str(exc), "")
        except JournalError as exc:
            return ClaimReply(_refusal(exc), str(exc), "")
        with tenure.lock:
            claim = tenure.shard.find_claim(req.claim_id, self._now_ms())
        if claim is None:
            return ClaimReply(Outcome.NOT_RUN, "too many claims", "")
        return ClaimReply(Outcome.CONFLICT, "claimed before", claim.worker_id)

    def list_jobs(self, req: ShardRequest) -> JobReply:
        """Return a summary of the shard's newest jobs as a JSON list, newest first."""
        tenure = self._tenure
        if tenure is None or not tenure.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        with tenure.lock:
            newest = list(tenure.shard.jobs.values())[-MAX_LISTED:]
            summaries = [job.summary() for job in reversed(newest)]
        return JobReply(Outcome.OK, "", json.dumps(summaries).encode())

    def explain(self, req: JobRequest) -> JobReply:
        """Return the newest reasons for what was done with a job's tasks as a JSON list."""
        tenure = self._tenure
        if tenure is None or not tenure.is_live():
            return JobReply(Outcome.NOT_OWNER, NOT_OWNER, b"")
        with tenure.lock:
            job = tenure.shard.jobs.get(req.job_id)
            if job is None:
                return JobReply(Outcome.NOT_FOUND, f"job {req.job_id!r} is unknown", b"")
            states = [(t.key(job.job_id), t.phase_name, t.reason) for t in job.tasks]
        lines = [line for state in states[:MAX_EXPLAINED] for line in self._explain(*state)]
        return JobReply(Outcome.OK, "", json.dumps(lines).encode())

    # Ownership

    def run(self, stop: threading.Event) -> None:
        """Own the shard whenever possible, until stopped."""
        while not stop.is_set():
            pause = CLAIM_INTERVAL
            try:
                if self.acquire():
                    self._serve(stop)
            except InvalidMessageError as exc:
                log(Event.MESSAGE_INVALID, what=f"shard {self._number}", reason=str(exc))
                self._claim.release()
                pause = INVALID_PAUSE
            except (StoreError, JournalError) as exc:
                log(Event.STORE_UNAVAILABLE, call="own shard", reason=str(exc))
            except Exception as exc:
                # The shard must not stay without an owner because of one fault.
                log(Event.INTERNAL_ERROR, method="own shard", error=repr(exc))
            finally:
                self._end("no longer owner")
            self._clock.wait(stop, pause)

    def acquire(self) -> bool:
        """Claim the shard and read its journal, once.

        :returns: whether this entry now owns the shard.
        :raises StoreError: the store did not answer.
        :raises JournalError: the journal cannot be read or was claimed by another entry.
        :raises InvalidMessageError: the journal is damaged or of a newer version.
        """
        self._end("claimed anew")
        if not self._claim.try_claim():
            return False
        shard = self._recover()
        epoch = self._journal.claim()
        tenure = Tenure(
            self._number,
            epoch,
            shard,
            self._journal,
            self._session,
            self._identity,
            self._clock,
            self._source.revision,
        )
        self._build(tenure)
        log(Event.SHARD_CLAIMED, shard=self._number, epoch=epoch, jobs=len(shard.jobs))
        return tenure.is_live()

    def step(self) -> int:
        """Start one group of queued tasks; returns their number."""
        return self._starter.step()

    def supervise(self) -> None:
        """Do what is due about once a second: renew, decide on running tasks, drop old jobs."""
        tenure = self._tenure
        self._renewals.scan()
        self._supervision.run(self._policies)
        tenure.log.flush()
        with tenure.lock:
            expired = tenure.shard.expire(self._now_ms())
        tenure.commit(expired)
        tenure.drop_ended_infos()

    def release(self) -> None:
        """Give the shard up as part of a planned stop; call it after `run` has returned."""
        self._end("released")
        if self._session.valid():
            self._claim.release()
            log(Event.SHARD_RELEASED, shard=self._number)

    def _serve(self, stop: threading.Event) -> None:
        tenure = self._tenure
        next_scan = self._clock.monotonic()
        while tenure.is_live() and not stop.is_set():
            tenure.wake.clear()
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
                self._clock.wait(stop, STEP_INTERVAL)
            self._clock.wait(tenure.wake, STEP_INTERVAL)

    def _recover(self) -> Shard:
        recovery = self._journal.open()
        shard = Shard() if recovery.state is None else Shard.from_snapshot(recovery.state)
        for raw in recovery.events:
            shard.apply(decode_event(raw))
        if self._journal.snapshot_due:
            self._journal.write_snapshot(shard.to_snapshot())
        return shard

    def _build(self, tenure: Tenure) -> None:
        peers = self._make_peers()
        shared = (self._channels, peers, self._explanations, self._clock)
        attempts = Attempts(tenure, self._fleet, self._placement, *shared, self._finished)
        renewals = Renewals(
            tenure,
            self._fleet,
            self._source,
            self._channels,
            peers,
            attempts,
            self._clock,
            self._times,
            self._renew_interval,
        )
        self._starter = Starter(
            tenure, self._fleet, self._source, self._placement, *shared, renewals.touch
        )
        self._supervision = Supervision(
            tenure, self._fleet, self._source, attempts, self._starter, self._clock, self._quotas
        )
        self._peers = peers
        self._renewals = renewals
        self._attempts = attempts
        self._tenure = tenure

    def _end(self, reason: str) -> None:
        tenure = self._tenure
        if tenure is None:
            return
        self._tenure = None
        tenure.end()
        self._peers.stop()
        self._fleet.clear_running(self._number)
        log(Event.SHARD_LOST, shard=self._number, epoch=tenure.epoch, reason=reason)

    def _commit_cancel(
        self, tenure: Tenure, job_id: str, events: list[Any]
    ) -> dict[str, list[Attempt]]:
        """Commit a cancellation and return the attempts that were running then."""
        tenure.commit(events)
        held: dict[str, list[Attempt]] = {}
        with tenure.lock:
            job = tenure.shard.jobs.get(job_id)
            for task in job.tasks if job else ():
                key = task.key(job_id)
                if task.phase_name == "cancelled" and task.attempt:
                    held.setdefault(task.worker_id, []).append(Attempt(key, task.attempt))
        return held

    def _status(self, tenure: Tenure, job_id: str) -> JobReply:
        with tenure.lock:
            job = tenure.shard.jobs.get(job_id)
            if job is None:
                return JobReply(Outcome.NOT_FOUND, f"job {job_id!r} is unknown", b"")
            status = job.status()
        return JobReply(Outcome.OK, "", json.dumps(status).encode())

    def _explain(self, key: TaskKey, phase: str, reason: str) -> list[str]:
        lines = [f"task {key.index} is {phase}" + (f": {reason}" if reason else "")]
        for given in self._explanations.of(key):
            lines.append(
                f"task {key.index}, {given.at.isoformat(timespec='seconds')}: {given.text}"
            )
        return lines

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _refusal(exc: JournalError) -> int:
    return Outcome.OUTCOME_UNKNOWN if exc.unresolved else Outcome.NOT_RUN
