"""What the owner of a pool decides in each round: ends, placement, moves, starts and stops.

All methods are called by the deciding thread with the tenure's lock held.
"""

import threading
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip.clocks import Clock
from mulberryslip.dispatches import Dispatcher, Placed
from mulberryslip.events import Event, log
from mulberryslip.headrooms import Neighbour, PressureEstimate
from mulberryslip.queues import PoolConfig
from mulberryslip.rooms import WorkerRoom, room_of, step_key
from mulberryslip.runners import RunningRun
from mulberryslip.soundness import Progress, Soundness
from mulberryslip.wire import ttypes as wire
from mulberryslip.workflows import (
    OUTCOMES,
    Pool,
    PressureLearned,
    RunAssigned,
    RunOutcome,
    RunOver,
    RunSaved,
    StepTask,
    WorkflowsExpired,
    profile_of,
)

from .members import Member, ended_of
from .ownerships import PoolTenure, PoolTimes

START_WINDOW = timedelta(milliseconds=1500)
"""Time in which a start must reach the worker. It bounds how long a start without an answer can
still take effect, so a short one frees the task sooner."""

FRESH_FOR = timedelta(milliseconds=2200)
"""Age of a report up to which a worker gets new runs; agents report at least each 0.7 s."""

CONFIG_MAX_AGE = timedelta(milliseconds=2500)
"""Age of the configuration up to which runs are started. Together with `START_WINDOW` it stays
below the 5 s in which a data centre that is taken out must get nothing more."""

STOP_REPEAT = timedelta(seconds=1)

FORGET_AFTER = timedelta(minutes=1)
"""Silence after which a worker that holds nothing is forgotten; ids change with each life."""

EXPIRY_INTERVAL = timedelta(seconds=10)

SAVE_INTERVAL = timedelta(seconds=1)
"""Workers save about once a second; more records would hold the same checkpoints."""

LEARN_INTERVAL = timedelta(seconds=3)
"""Time between records of what was learned of images; a new owner learns the rest itself."""

LEARN_STEP_MILLI = 700
"""Change of a pressure that is worth a record: a third of the least that heavy pairs press."""

MOVE_INTERVAL = timedelta(milliseconds=500)

FILL_INTERVAL = timedelta(milliseconds=250)
"""Time between two rounds that place filling tasks. They compare all workers, at a cost that would
delay quick checks, and a quarter of a second matters little to work of several seconds."""

MOVE_AFTER = timedelta(seconds=2)
"""Time on a worker before which a run's speed says little."""

MOVE_BELOW_PERCENT = 80
"""A filling run that is almost done ends sooner than it is moved."""

ANEW_BELOW_PERCENT = 20
"""Progress below which a run without checkpoints may begin anew on another worker."""


class ConfigSource(Protocol):
    """The part of `intents.PoolConfigSource` that the owner needs."""

    def config(self) -> PoolConfig | None:
        """Return the newest configuration."""

    def age(self) -> timedelta:
        """Return how long ago the configuration was certainly the newest."""

    def refresh(self) -> PoolConfig | None:
        """Take in all changes up to now."""

    def run(self, stop: threading.Event) -> None:
        """Follow the changes."""


@attrs.define
class _Timer:
    """Tells when something that is done from time to time is due."""

    interval: timedelta
    next_at: timedelta

    def is_due(self, now: timedelta) -> bool:
        """Return whether it is due; it is done then, and due again after the interval."""
        if now < self.next_at:
            return False
        self.next_at = now + self.interval
        return True


class Rounds:
    """Decisions of the owner of a pool.

    :param source: the operators' configuration.
    :param dispatcher: chooses workers.
    """

    def __init__(
        self, source: ConfigSource, dispatcher: Dispatcher, times: PoolTimes, clock: Clock
    ):
        self._source = source
        self._dispatcher = dispatcher
        self._times = times
        self._clock = clock
        self._soundness = Soundness()
        now = clock.monotonic()
        self._expiry = _Timer(EXPIRY_INTERVAL, now)
        self._saves = _Timer(SAVE_INTERVAL, now)
        self._learning = _Timer(LEARN_INTERVAL, now)
        self._fills = _Timer(FILL_INTERVAL, now)
        self._moves = _Timer(MOVE_INTERVAL, now)

    def begin(self, tenure: PoolTenure) -> None:
        """Take over what earlier owners have learned."""
        self._dispatcher.model.restore(
            [
                PressureEstimate(
                    known.filling,
                    known.serving,
                    known.mean_milli / 1000,
                    known.deviation_milli / 1000,
                )
                for known in tenure.pool.pressures.values()
            ],
            self._clock.monotonic(),
        )

    # Runs that have ended

    def reconcile(self, tenure: PoolTenure, member: Member, report: wire.WorkerReport) -> list[Any]:
        """Return the ends that follow from a report."""
        if report.worker.incarnation != member.incarnation:
            return []
        now_ms = self._now_ms()
        events: list[Any] = []
        ended = {(row.task, row.run): ended_of(row) for row in report.ended}
        refused = {(row.task, row.run): row.reason for row in report.refused if row.certain}
        running = {(row.task, row.run) for row in report.running}
        for task in tenure.pool.held(member.worker_id):
            name = (task.name, task.run)
            if name in ended:
                end = ended[name]
                events.append(
                    self._over(tenure, task, OUTCOMES[end.kind], now_ms, "", end.checkpoint)
                )
            elif name in running:
                # Also in a later life of the worker: it carries out an order for an earlier one
                # until it has seen its own token.
                continue
            elif task.incarnation != member.incarnation or report.unreachable:
                reason = "the worker has started anew"
                events.append(self._over(tenure, task, RunOutcome.LOST, now_ms, reason))
            elif name in refused:
                reason = refused[name]
                events.append(self._over(tenure, task, RunOutcome.UNSTARTED, now_ms, reason))
            elif report.clock_ms > task.start_by_ms:
                reason = "the worker did not start it in time"
                events.append(self._over(tenure, task, RunOutcome.UNSTARTED, now_ms, reason))
        self._learn(tenure, member)
        if report.ended:
            member.listed_through = max(row.number for row in report.ended)
        return events

    def _learn(self, tenure: PoolTenure, member: Member) -> None:
        neighbours = []
        for name, row in member.running.items():
            task = tenure.pool.task(name)
            if task is not None and (task.spec.fills or task.spec.target_ms):
                profile = profile_of(task)
                neighbours.append(Neighbour(row, profile))
        self._dispatcher.model.observe(
            member.worker_id, member.received_at, neighbours, member.capacity.cpu_millis
        )
        progress = [
            Progress(name, row.run, step_key(task), row.progress_percent)
            for name, row in member.running.items()
            if (task := tenure.pool.task(name)) is not None
            and not task.spec.fills
            and not task.spec.lasting
        ]
        self._soundness.observe(member.worker_id, progress, self._clock.monotonic())

    def lost(self, tenure: PoolTenure) -> list[Any]:
        """Return the ends of runs on workers whose leases have certainly run out."""
        now = self._clock.monotonic()
        newest = _newest_on_machines(tenure.members.values())
        events: list[Any] = []
        for worker_id in tenure.pool.holders():
            member = tenure.members.get(worker_id)
            heard_at = tenure.claimed_at if member is None else member.received_at
            held = tenure.pool.held(worker_id)
            if now - heard_at > self._times.silence:
                reason = f"the worker was silent for {now - heard_at}"
            else:
                # A later life under the same id lists what it has started itself.
                life = "" if member is None else member.incarnation
                held = [
                    task
                    for task in held
                    if newest.get(task.machine, "") > max(task.incarnation, life)
                ]
                reason = "another worker has started on its machine"
            if not held:
                continue
            now_ms = self._now_ms()
            events += [self._over(tenure, task, RunOutcome.LOST, now_ms, reason) for task in held]
            log(Event.WORKER_LOST, worker=worker_id, reason=reason)
        return events

    def _over(
        self,
        tenure: PoolTenure,
        task: StepTask,
        outcome: RunOutcome,
        now_ms: int,
        reason: str,
        checkpoint: str = "",
    ) -> RunOver:
        member = tenure.members.get(task.worker_id)
        row = member.running.get(task.name) if member else None
        if not checkpoint and row is not None and row.run == task.run:
            checkpoint = row.checkpoint
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED) and not task.spec.lasting:
            is_done = outcome is RunOutcome.DONE
            if self._soundness.ended(task.worker_id, is_done, self._clock.monotonic()):
                log(Event.WORKER_SUSPECTED, worker=task.worker_id, reason="runs fail in a row")
        log(
            Event.RUN_ENDED,
            task=task.name,
            run=task.run,
            worker=task.worker_id,
            outcome=outcome.value,
            reason=reason,
        )
        return RunOver(task.name, task.run, outcome.value, now_ms, checkpoint)

    def expired(self, tenure: PoolTenure) -> list[Any]:
        """Forget workers that are gone; return the event that drops workflows of long ago."""
        now = self._clock.monotonic()
        if not self._expiry.is_due(now):
            return []
        holders = set(tenure.pool.holders())
        for worker_id, member in list(tenure.members.items()):
            if now - member.received_at > FORGET_AFTER and worker_id not in holders:
                del tenure.members[worker_id]
                self._dispatcher.model.forget(worker_id)
        expired = tenure.pool.expired(self._now_ms())
        return [WorkflowsExpired(expired)] if expired else []

    def saved(self, tenure: PoolTenure) -> list[Any]:
        """Return the newer checkpoints of runs at work, from time to time.

        Without them, work goes back to its beginning when the owner and the worker are lost at
        the same time.
        """
        if not self._saves.is_due(self._clock.monotonic()):
            return []
        return [
            RunSaved(name, row.run, row.checkpoint)
            for member in tenure.members.values()
            for name, row in member.running.items()
            if row.checkpoint
            and (task := tenure.pool.task(name)) is not None
            and task.is_held(row.run)
            and task.checkpoint != row.checkpoint
        ]

    def learned(self, tenure: PoolTenure) -> list[Any]:
        """Return what was learned of images, from time to time, for the next owner."""
        if not self._learning.is_due(self._clock.monotonic()):
            return []
        learned = [
            PressureLearned(
                known.filling,
                known.serving,
                round(known.mean * 1000),
                round(known.deviation * 1000),
            )
            for known in self._dispatcher.model.estimates()
        ]
        changed = [row for row in learned if _is_news(tenure.pool, row)]
        if changed:
            rows = [[row.filling, row.serving, row.mean_milli] for row in changed]
            log(Event.PRESSURES_LEARNED, pairs=rows)
        return changed

    # Starts and stops

    def place(self, tenure: PoolTenure) -> list[Placed]:
        """Return the runs to start now."""
        waiting = tenure.pool.ready()
        config = self._source.config()
        if not waiting or config is None or self._source.age() > CONFIG_MAX_AGE:
            return []
        if not tenure.is_live():
            return []
        if not self._fills.is_due(self._clock.monotonic()):
            waiting = [task for task in waiting if not task.spec.fills]
            if not waiting:
                return []
        rooms = self._rooms(tenure, config)
        return self._dispatcher.choose(waiting, rooms, self._now_ms()) if rooms else []

    def move_runs(self, tenure: PoolTenure) -> None:
        """Order stops for runs that are better off on another worker."""
        now = self._clock.monotonic()
        config = self._source.config()
        if config is None or not tenure.is_live() or not self._moves.is_due(now):
            return
        filling = [
            (task, row.gauge / max(1, task.spec.cpu_millis))
            for member in tenure.members.values()
            for name, row in member.running.items()
            if (task := tenure.pool.task(name)) is not None
            and task.spec.fills
            and task.is_held(row.run)
            and now - member.listed_since[name, row.run] >= MOVE_AFTER
            and loses_little(task, row)
        ]
        stalled = [
            task
            for member in tenure.members.values()
            for name, run in self._soundness.stalled(member.worker_id, now)
            if (task := tenure.pool.task(name)) is not None and task.is_held(run)
        ]
        if not filling and not stalled:
            return
        rooms = self._rooms(tenure, config)
        moved = [
            (task, "works faster elsewhere") for task in self._dispatcher.misplaced(filling, rooms)
        ]
        moved += [(task, "stands still") for task in self._dispatcher.stranded(stalled, rooms)]
        for task, reason in moved:
            tenure.members[task.worker_id].unwanted[task.name, task.run] = reason

    def _rooms(self, tenure: PoolTenure, config: PoolConfig) -> list[WorkerRoom]:
        now = self._clock.monotonic()
        services = config.services()
        newest = _newest_on_machines(tenure.members.values())
        rooms = [
            room_of(
                member.worker_id,
                member.incarnation,
                member.machine,
                member.service,
                member.data_centre,
                member.labels,
                member.capacity,
                tenure.pool.held(member.worker_id),
            )
            for member in tenure.members.values()
            if member.clock_ms
            and not member.leaving
            and not member.is_absent
            and newest.get(member.machine, "") <= member.incarnation
            and member.service in services
            and member.data_centre not in config.data_centres_out
            and now - member.received_at <= FRESH_FOR
        ]
        for room in rooms:
            room.penalty = self._soundness.penalty(room.worker_id, now)
            room.headrooms = {
                image: level
                for image in room.serving
                if (level := self._dispatcher.model.level(room.worker_id, image)) is not None
            }
            room.lows = self._dispatcher.model.lows(room.worker_id)
        return rooms

    def assignment(self, tenure: PoolTenure, placed: Placed) -> RunAssigned:
        """Return the event that gives a run to its worker."""
        task, room = placed.task, placed.room
        member = tenure.members[room.worker_id]
        clock_ms = member.clock_at(self._clock.monotonic())
        start_by_ms = clock_ms + START_WINDOW // timedelta(milliseconds=1)
        return RunAssigned(
            task.name, task.run + 1, room.worker_id, room.incarnation, room.machine, start_by_ms
        )

    def order_starts(self, tenure: PoolTenure, placed: list[Placed]) -> None:
        """Hand out the starts of committed assignments."""
        if not tenure.is_live():
            # The runs count as not started once their time has passed on the workers.
            return
        now = self._clock.monotonic()
        for decision in placed:
            task = decision.task
            member = tenure.members[task.worker_id]
            if member.incarnation != task.incarnation or not task.is_held(task.run):
                continue
            member.starts.append(
                wire.RunStart(
                    task.name,
                    task.run,
                    task.workflow.spec.payload,
                    task.checkpoint,
                    task.start_by_ms,
                    self.profile(task),
                )
            )
            member.has_orders.set()
            log(
                Event.RUN_PLACED,
                task=task.name,
                run=task.run,
                worker=task.worker_id,
                report_age_ms=(now - member.received_at) // timedelta(milliseconds=1),
                start_by_ms=task.start_by_ms,
                resumed=bool(task.checkpoint),
            )

    def order_stops(self, tenure: PoolTenure) -> None:
        """Hand out stops of runs that are not or no longer wanted."""
        now = self._clock.monotonic()
        for member in tenure.members.values():
            for task_name, row in member.running.items():
                task = tenure.pool.task(task_name)
                key = (task_name, row.run)
                is_wanted = task is not None and task.is_held(row.run)
                if is_wanted and not task.workflow.is_over and key not in member.unwanted:
                    continue
                sent_at = member.stopped_at.get(key)
                if sent_at is None or now - sent_at >= STOP_REPEAT:
                    member.stopped_at[key] = now
                    reason = member.unwanted.get(key, "not wanted")
                    member.stops.append(wire.RunStop(task_name, row.run, reason))
                    member.has_orders.set()
                    log(
                        Event.RUN_STOPPED,
                        task=task_name,
                        run=row.run,
                        worker=member.worker_id,
                        reason=reason,
                        report_age_ms=(now - member.received_at) // timedelta(milliseconds=1),
                    )
            for key in [key for key in member.stopped_at if key[0] not in member.running]:
                del member.stopped_at[key]
                member.unwanted.pop(key, None)

    def profile(self, task: StepTask) -> wire.RunProfile:
        """Return the wire form of what an agent must know of a run."""
        profile = profile_of(task)
        return wire.RunProfile(
            profile.task,
            profile.image,
            profile.fills,
            profile.cpu_millis,
            profile.target_ms,
            self._dispatcher.due_ms(task.workflow),
        )

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _is_news(pool: Pool, row: PressureLearned) -> bool:
    known = pool.pressures.get((row.filling, row.serving))
    return known is None or abs(known.mean_milli - row.mean_milli) >= LEARN_STEP_MILLI


def loses_little(task: StepTask, row: RunningRun) -> bool:
    """Return whether a run loses little of its work when it is stopped now."""
    limit = MOVE_BELOW_PERCENT if task.spec.checkpoints else ANEW_BELOW_PERCENT
    return row.progress_percent < limit


def _newest_on_machines(members: Iterable[Member]) -> dict[str, str]:
    """Return the newest life by VM; a VM runs one worker at a time."""
    newest: dict[str, str] = {}
    for member in members:
        if member.machine:
            newest[member.machine] = max(newest.get(member.machine, ""), member.incarnation)
    return newest
