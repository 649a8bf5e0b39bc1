"""In-memory workers, channels and session for tests of the shard owner, on a manual clock."""

import json
import threading
from datetime import timedelta

import attrs
from mulberryslip import Attempt, ManualClock, Resources, TaskKey, WorkerDescription, WorkerLoad
from mulberryslip.exceptions import JournalError, NotSentError, ReplyLostError
from mulberryslip.fleets import Fleet
from mulberryslip.journals import Journal
from mulberryslip.placements import Placement
from mulberryslip.wire import ttypes as wire
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.owners import ShardOwner
from mulberryslipd.peers import InlineExecutor
from mulberryslipd.sources import ConfigSource
from mulberryslipd.terms import OwnerIdentity

SECOND = timedelta(seconds=1)
RESERVATION_TTL = 3 * SECOND
CAPACITY = Resources(8000, 16000, 0, 8)


class CrashError(Exception):
    """Simulates a crash of the entry's process at this point."""


@attrs.define
class HeldAttempt:
    attempt: Attempt
    state: int = wire.TaskState.RUNNING
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    permille: int = 1000


class FakeWorker:
    """Worker double that follows the admission, lease and epoch rules the owner relies on."""

    def __init__(self, number, clock, history, data_centre):
        self.id = f"w{number}"
        self.clock = clock
        self.history = history
        self.incarnation = "i1"
        self.lock = threading.RLock()
        self.epoch = 0
        self.lease_until = timedelta()
        self.reservations = {}
        self.held = {}
        self.reachable = True
        self.sends_replies = True
        self.fails = lambda key: False
        self.description = WorkerDescription(
            self.id, "i1", data_centre, "r1", "127.0.0.1", 7000 + number, CAPACITY
        )

    def free(self):
        used = sum(h.state == wire.TaskState.RUNNING for h in self.held.values())
        used += sum(until > self.clock.monotonic() for _, until in self.reservations.values())
        return CAPACITY - Resources(1000 * used, 512 * used, 0, used)

    def load(self):
        return wire.Load(0, 0, 0, wire.Resources(*self.free().amounts()), False, 0)

    def expire_lease(self):
        with self.lock:
            if self.clock.monotonic() < self.lease_until:
                return
            for held in self.held.values():
                if held.state == wire.TaskState.RUNNING:
                    self.end(held, wire.TaskState.SUSPENDED, checkpoint=True)

    def end(self, held, state, checkpoint=False, result="", reason=""):
        if checkpoint:
            key = held.attempt.key
            held.checkpoint = f"cp-{key.job_id}-{key.index}-{held.attempt.number}"
        held.state = state
        held.result = result
        held.reason = reason
        self.history.append(("end", held.attempt, self.id, self.clock.monotonic(), ""))

    def call(self, method, req):
        with self.lock:
            self.expire_lease()
            if method == "ping":
                return req
            stale = req.epoch < self.epoch
            self.epoch = max(self.epoch, req.epoch)
            return getattr(self, method)(req, stale)

    def reserve(self, req, stale):
        results = []
        for item in req.items:
            granted = not stale and item.resources.slots <= self.free().slots
            reservation_id = f"r-{item.task.job_id}-{item.task.index}-{item.task.attempt}"
            if granted:
                until = self.clock.monotonic() + RESERVATION_TTL
                self.reservations[reservation_id] = (attempt_of(item.task), until)
            reason = "" if granted else "no room"
            results.append(wire.Reservation(item.task, granted, reservation_id, reason))
        return wire.ReserveReply(wire.Outcome.OK, "", results, self.load(), self.incarnation)

    def start(self, req, stale):
        results = []
        for item in req.items:
            attempt = attempt_of(item.task)
            _, until = self.reservations.pop(item.reservation_id, (None, timedelta()))
            if stale or until <= self.clock.monotonic():
                results.append(wire.StartResult(item.task, wire.Outcome.NOT_RUN, "stale"))
                continue
            self.held[attempt] = HeldAttempt(attempt)
            self.lease_until = max(self.lease_until, self.clock.monotonic() + 2 * SECOND)
            started = ("start", attempt, self.id, self.clock.monotonic(), item.checkpoint)
            self.history.append(started)
            if self.fails(attempt.key):
                self.end(self.held[attempt], wire.TaskState.FAILED, reason="exit 1")
            results.append(wire.StartResult(item.task, wire.Outcome.OK, ""))
        return wire.StartReply(wire.Outcome.OK, "", results, self.load())

    def renew(self, req, stale):
        if not stale:
            self.lease_until = self.clock.monotonic() + timedelta(milliseconds=req.lease_ms)
            for ref in req.acknowledged:
                if (
                    self.held.get(attempt_of(ref), HeldAttempt(None)).state
                    != wire.TaskState.RUNNING
                ):
                    self.held.pop(attempt_of(ref), None)
        return wire.RenewReply(
            wire.Outcome.CONFLICT if stale else wire.Outcome.OK,
            "",
            self.epoch,
            [] if stale else [report_of(held) for held in self.held.values()],
            self.load(),
            1,
            self.incarnation,
        )

    def stop(self, req, stale):
        reports = []
        for ref in req.tasks:
            held = self.held.get(attempt_of(ref))
            if held is None or stale:
                reports.append(report_of(HeldAttempt(attempt_of(ref), wire.TaskState.STOPPED)))
                continue
            if held.state == wire.TaskState.RUNNING:
                self.end(held, wire.TaskState.STOPPED, checkpoint=req.checkpoint)
            reports.append(report_of(held))
        return wire.StopReply(wire.Outcome.OK, "", reports)


class FakeChannels:
    """Calls `FakeWorker`s; hooks run at named points and may raise.

    The points are `before <method>` (the worker has not received the call) and `after <method>`
    (the worker has executed the call, but the reply has not been received).
    """

    def __init__(self):
        self.workers = {}
        self.hooks = {}
        self.calls = []
        self.filter = None

    def call(self, address, method, request, deadline):
        worker = self.workers[address.port]
        self.calls.append((method, worker.id))
        if self.filter is not None:
            self.filter(method, request)
        self._run(f"before {method}")
        if not worker.reachable:
            raise NotSentError("unreachable")
        reply = worker.call(method, request)
        self._run(f"after {method}")
        if not worker.sends_replies:
            raise ReplyLostError("no reply")
        return reply

    def _run(self, point):
        hook = self.hooks.get(point)
        if hook is not None:
            hook()


class FakeSession:
    def __init__(self, store):
        self._store = store
        self.session_id = store.grant_lease(timedelta(hours=24))
        self.is_valid = True

    def valid(self):
        return self.is_valid

    def remaining(self):
        return 3 * SECOND if self.is_valid else timedelta()

    def expire(self):
        self.is_valid = False
        self._store.revoke_lease(self.session_id)


class Cluster:
    """A store, workers and owners of shard 0."""

    def __init__(
        self,
        workers=3,
        data_centres=("concord",),
        templates=None,
        worker_class=FakeWorker,
        source_class=ConfigSource,
        clock=None,
        channels=None,
    ):
        self.clock = clock or ManualClock()
        self.store = FakeStore(self.clock)
        self.channels = channels or FakeChannels()
        self.history = []
        self.templates = templates or {"recon": {}}
        self.source_class = source_class
        self.revision = 0
        self.set_config(dict.fromkeys(data_centres, "in"))
        for number in range(workers):
            data_centre = data_centres[number % len(data_centres)]
            worker = worker_class(number, self.clock, self.history, data_centre)
            self.channels.workers[worker.description.port] = worker
        self.workers = list(self.channels.workers.values())
        self.sessions = []

    def set_config(self, states):
        self.revision += 1
        document = {
            "revision": self.revision,
            "data_centres": {name: {"state": state} for name, state in states.items()},
            "accounts": {"acct": {"cpu_millis": 10**6, "memory_mb": 10**6}},
            "templates": {
                name: {"class": "batch", "account": "acct", "parameters": parameters}
                for name, parameters in self.templates.items()
            },
        }
        stored = self.store.get("config/current")
        self.store.put(
            "config/current", json.dumps(document).encode(), stored.version if stored else 0
        )

    def owner(self, entry="e1", claim=True, **options):
        """Return an owner in a new process; by default it has claimed the shard."""
        session = FakeSession(self.store)
        self.sessions.append(session)
        self.fleet = Fleet(self.clock)
        self.source = self.source_class(self.store, self.clock)
        self.fleet.apply_config(self.source.refresh())
        self.announce()
        owner = ShardOwner(
            0,
            self.store,
            session,
            Journal(self.store, 0, slots=16),
            self.fleet,
            self.source,
            Placement(self.clock),
            self.channels,
            self.clock,
            OwnerIdentity(entry, "i1", "127.0.0.1", 6000),
            **{"make_executor": InlineExecutor, **options},
        )
        if not claim:
            return owner
        for _ in range(20):
            if owner.acquire():
                return owner
            self.clock.sleep(SECOND / 5)
        raise AssertionError("the shard was not claimed")

    def replace_owner(self, entry="e2", **options):
        """Expire the session of the current owner and return an owner at another entry."""
        self.channels.hooks.clear()
        self.sessions[-1].expire()
        return self.owner(entry, **options)

    def announce(self):
        for worker in self.workers:
            if worker.reachable and worker.sends_replies:
                load = WorkerLoad(free=worker.free())
                self.fleet.record_announcement(attrs.evolve(worker.description), load)

    def run(self, owner, seconds, step=SECOND, ignore_errors=False):
        """Run the owner's rounds while the clock advances.

        :param seconds: how long to run.
        :param ignore_errors: whether to ignore journal errors, as the owner's loop does.
        """
        for _ in range(int(seconds * SECOND / step)):
            self.announce()
            for work in (owner.step, owner.supervise):
                try:
                    work()
                except JournalError:
                    if not ignore_errors:
                        raise
            self.clock.advance(step)
            for worker in self.workers:
                worker.expire_lease()

    def finish(self, *keys, result=lambda: '{"sum":1}'):
        """Finish running tasks; all of them if no keys are given."""
        for worker in self.workers:
            with worker.lock:
                for held in worker.held.values():
                    selected = not keys or held.attempt.key in keys
                    if selected and held.state == wire.TaskState.RUNNING:
                        worker.end(held, wire.TaskState.FINISHED, result=result())

    def running(self):
        """Return the running attempts as (attempt, worker id)."""
        return [
            (held.attempt, worker.id)
            for worker in self.workers
            for held in worker.held.values()
            if held.state == wire.TaskState.RUNNING
        ]

    def check_history(self):
        """Check that no task ran in two places and no checkpoint was used twice."""
        running, newest, used = {}, {}, set()
        for kind, attempt, worker, _, checkpoint in self.history:
            if kind == "end":
                assert running.pop(attempt.key) == (attempt, worker)
                continue
            assert attempt.key not in running, f"{attempt} ran in two places"
            assert attempt.number > newest.get(attempt.key, 0), f"{attempt} is not newer"
            assert not checkpoint or checkpoint not in used, f"{checkpoint} was used twice"
            running[attempt.key] = (attempt, worker)
            newest[attempt.key] = attempt.number
            used.add(checkpoint)


def header():
    return wire.Header("q", 1000, 1, "entry/e1", "i1")


def submit(owner, job_id="j", tasks=1, template="recon"):
    body = {"template": template, "tasks": [{"input": {"n": n}} for n in range(tasks)]}
    return owner.submit(wire.JobRequest(header(), job_id, json.dumps(body).encode()))


def status(owner, job_id="j"):
    reply = owner.status(wire.JobRequest(header(), job_id, b""))
    return json.loads(reply.body) if reply.body else None


def attempt_of(ref):
    return Attempt(TaskKey(ref.job_id, ref.index), ref.attempt)


def report_of(held):
    key = held.attempt.key
    return wire.TaskReport(
        wire.TaskRef(key.job_id, key.index, held.attempt.number),
        held.state,
        held.checkpoint,
        held.result,
        held.reason,
        wire.Resources(0, 0, 0, 0),
        held.permille,
    )
