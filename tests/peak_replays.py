"""Replays peak loads of best-effort workflows on a fleet of cores, without workers or a network."""

import math
import random
from collections import defaultdict
from datetime import timedelta

import attrs
from mulberryslip.dispatches import LATE_FACTOR, Dispatcher, estimated_run_time
from mulberryslip.drain_rates import DrainRate
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.peak_admissions import excess_wait, pending_workflows
from mulberryslip.queues import Queue
from mulberryslip.steps import StepSpec, WorkflowSpec
from mulberryslip.workflows import Phase, Pool, RunAssigned, RunEnded, RunOutcome, accepted_event

ROUND_MS = 250
TASK_MS, TASK_MILLIS = 2800, 7000
TAIL_SHARE, TAIL_FACTOR = 0.03, 7
SLACK_MS = 3000


@attrs.frozen
class Burst:
    """A time in which a queue submits more than its mean rate."""

    queue: str
    factor: float
    from_ms: int
    until_ms: int


@attrs.frozen
class Load:
    """A replayed load; the mean rate of each queue is in workflows per second.

    :param error: factor by which estimates are too high or too low at most.
    :param biased: queues whose estimates are all too high by `error`; those of others too low.
    :param task_ms: mean run times of tasks in milliseconds, of which each workflow has one.
    :param slack_ms: by queue, slack in milliseconds where it is not `SLACK_MS`. Such queues have a
        better priority than the others.
    :param cores: cores of the fleet by the time from which on they are up, in milliseconds.
    """

    rates: dict[str, float]
    bursts: tuple[Burst, ...] = ()
    error: float = 1.0
    biased: frozenset[str] | None = None
    task_ms: tuple[int, ...] = (TASK_MS,)
    slack_ms: dict[str, int] = attrs.field(factory=dict)
    cores: tuple[tuple[int, int], ...] = ((0, 1300),)
    duration_ms: int = 60_000
    drain_ms: int = 60_000


@attrs.define
class Submission:
    """A workflow that a caller submits; times in milliseconds."""

    name: str
    queue: str
    at_ms: int
    task_ms: int
    estimate_ms: int
    count: int
    slack_ms: int
    is_rejected: bool = False
    first_start_ms: float = math.inf
    ended_ms: float = math.inf

    @property
    def objective_ms(self):
        """Return the objective for the duration, by the true run times."""
        return 2 * 2 * self.task_ms + self.slack_ms

    @property
    def is_in_time(self):
        """Return whether the workflow ended while it had some value."""
        return self.ended_ms <= self.at_ms + LATE_FACTOR * self.objective_ms

    @property
    def is_on_time(self):
        """Return whether the workflow ended within its objective."""
        return self.ended_ms <= self.at_ms + self.objective_ms

    @property
    def wait_ms(self):
        """Return how long the first task has waited."""
        return self.first_start_ms - self.at_ms


def submissions(load, seed):
    """Return the workflows of a load, by time."""
    found = []
    for queue, mean_rate in load.rates.items():
        rng = random.Random(f"{seed}/{queue}")
        at_ms = 0.0
        while at_ms < load.duration_ms:
            rate = mean_rate
            for burst in load.bursts:
                if burst.queue == queue and burst.from_ms <= at_ms < burst.until_ms:
                    rate *= burst.factor
            at_ms += rng.expovariate(rate) * 1000
            if load.biased is None:
                error = load.error ** rng.uniform(-1, 1)
            else:
                error = load.error if queue in load.biased else 1 / load.error
            task_ms = int(rng.choice(load.task_ms) * rng.uniform(0.7, 1.3))
            count = min(80, max(8, int(rng.gammavariate(4, 5))))
            name = f"{queue}-{len(found)}"
            estimate_ms = max(1, int(task_ms * error))
            slack_ms = load.slack_ms.get(queue, SLACK_MS)
            found.append(Submission(name, queue, int(at_ms), task_ms, estimate_ms, count, slack_ms))
    return sorted(found, key=lambda item: item.at_ms)


class Replay:
    """Runs a load with the present policy, or with admission control and fair shares."""

    def __init__(self, load, seed=1, admits=False, shares=False):
        self.load, self.admits, self.shares = load, admits, shares
        self.submissions = submissions(load, seed)
        self.by_name = {item.name: item for item in self.submissions}
        self.pool, self.drain = Pool(), DrainRate()
        self.dispatcher = Dispatcher(estimated_run_time, InterferenceModel())
        self._rng = random.Random(seed)
        self._running = {}
        self._free = 0
        self._lost = 0

    def run(self):
        """Replay the load; return the submissions with what became of them."""
        arriving = list(reversed(self.submissions))
        for now_ms in range(0, self.load.duration_ms + self.load.drain_ms, ROUND_MS):
            cores = [cores for since_ms, cores in self.load.cores if since_ms <= now_ms][-1]
            self._end_runs(now_ms)
            while arriving and arriving[-1].at_ms <= now_ms:
                self._submit(arriving.pop(), now_ms)
            self._resize(cores * 1000, now_ms)
            self._start_runs(now_ms)
            waits = [now_ms - task.waiting_since_ms >= 2 * ROUND_MS for task in self.pool.ready()]
            running = [task for task, _ in self._running.values()]
            self.drain.observe(timedelta(milliseconds=now_ms), any(waits), cores, running)
            for workflow in self.pool.publish():
                if workflow.is_ended:
                    self.by_name[workflow.workflow_id].ended_ms = workflow.ended_ms
        return self.submissions

    def _submit(self, item, now_ms):
        step = StepSpec(
            item.count, TASK_MILLIS, 100, estimate_ms=item.estimate_ms, fills=True, checkpoints=True
        )
        spec = WorkflowSpec("p", (step, attrs.evolve(step, after=(0,))))
        priority = int(item.queue not in self.load.slack_ms)
        queue = Queue(item.queue, priority=priority, stretch_permille=2000, slack_ms=item.slack_ms)
        event = accepted_event(item.name, queue, spec, now_ms)
        if self.admits:
            candidate = Pool()
            candidate.apply(event)
            rate = self.drain.rate(timedelta(milliseconds=now_ms))
            pending = pending_workflows(self.pool, self.dispatcher)
            workflow = candidate.workflows[item.name]
            item.is_rejected = bool(excess_wait(workflow, self.dispatcher, pending, rate))
        if not item.is_rejected:
            self.pool.apply(event)

    def _resize(self, millis, now_ms):
        used = sum(task.spec.cpu_millis for task, _ in self._running.values())
        while used > millis:
            name = max(self._running)
            task, _ = self._running.pop(name)
            used -= task.spec.cpu_millis
            self.pool.apply(RunEnded(name, task.run, RunOutcome.STOPPED.value, now_ms))
        self._free = millis - used

    def _start_runs(self, now_ms):
        if self._free < TASK_MILLIS:
            return
        held = None
        if self.shares:
            held = defaultdict(int)
            for task, _ in self._running.values():
                held[task.workflow.queue.name] += task.spec.cpu_millis
        for task in self.dispatcher.order(self.pool.ready(), now_ms, held):
            if task.spec.cpu_millis > self._free:
                break
            self._free -= task.spec.cpu_millis
            item = self.by_name[task.workflow.workflow_id]
            item.first_start_ms = min(item.first_start_ms, now_ms)
            is_tail = self._rng.random() < TAIL_SHARE
            took_ms = item.task_ms * (TAIL_FACTOR if is_tail else 1)
            self.pool.apply(RunAssigned(task.name, task.run + 1, "w", "1", "m", 0))
            self._running[task.name] = (task, now_ms + took_ms)

    def _end_runs(self, now_ms):
        ended = [name for name, (_, ends_ms) in self._running.items() if ends_ms <= now_ms]
        for name in ended:
            task, ends_ms = self._running.pop(name)
            if task.phase is Phase.HELD:
                self.drain.record_done(task, timedelta(milliseconds=now_ms))
            self.pool.apply(RunEnded(name, task.run, RunOutcome.DONE.value, ends_ms))
