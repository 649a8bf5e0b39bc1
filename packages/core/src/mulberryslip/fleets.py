"""The fleet as one process knows it: announced workers, data-centre state, quarantine.

Everything here is held in memory only and is rebuilt from announcements and replies.
"""

import threading
from collections import deque
from datetime import timedelta
from typing import Protocol

import attrs

from .clocks import Clock
from .events import Event, log
from .models import Resources, TaskKey, WorkerDescription, WorkerLoad, WorkerView
from .quarantines import Quarantine

LOST_AFTER = timedelta(seconds=5)
"""Workers announce every second and answer renewals every second; five misses are an outage."""

FORGOTTEN_AFTER = timedelta(hours=24)
"""A data centre may be away for a day; until then its capacities still count as existing."""

MAX_WORKERS = 4096
MAX_FORMER_INCARNATIONS = 8


class DataCentreStates(Protocol):
    """The part of `configs.ConfigView` that the fleet needs."""

    revision: int

    def data_centre_in(self, name: str) -> bool:
        """Return whether operators have the data centre in service."""


@attrs.define
class _Worker:
    description: WorkerDescription
    load: WorkerLoad
    last_seen: timedelta
    former: deque = attrs.field(factory=lambda: deque(maxlen=MAX_FORMER_INCARNATIONS))
    running: dict[int, tuple[str, ...]] = attrs.field(factory=dict)
    leaving: bool = False
    lost: bool = False


class Fleet:
    """Workers known to this process. All methods may be called from any thread.

    :param clock: source of monotonic time.
    :param lost_after: silence after which a worker gets no new work.
    """

    def __init__(self, clock: Clock, lost_after: timedelta = LOST_AFTER):
        self._clock = clock
        self._lost_after = lost_after
        self._lock = threading.RLock()
        self._workers: dict[str, _Worker] = {}
        self._quarantine = Quarantine(clock, self._size)
        self._config: DataCentreStates | None = None
        self._first_seen: timedelta | None = None

    def announce(self, description: WorkerDescription, load: WorkerLoad) -> bool:
        """Take in an announcement.

        :param description: the worker as it describes itself.
        :param load: its load now.
        :returns: False when the announcement is from a process that has since been replaced,
            or when too many workers are known.
        """
        with self._lock:
            worker = self._workers.get(description.worker_id)
            if worker is None:
                return self._add(description, load)
            if description.incarnation in worker.former:
                return False
            if description.incarnation != worker.description.incarnation:
                self._restarted(worker, description)
            worker.description = description
            self._update(worker, load)
            return True

    def observe(self, worker_id: str, incarnation: str, load: WorkerLoad | None = None) -> bool:
        """Take in a reply of a worker.

        :param worker_id: the worker.
        :param incarnation: incarnation in the reply; empty when the message carries none.
        :param load: load in the reply, or None.
        :returns: False when the worker is unknown or the reply is from another incarnation.
        """
        with self._lock:
            worker = self._workers.get(worker_id)
            if worker is None or incarnation not in ("", worker.description.incarnation):
                return False
            self._update(worker, load or worker.load)
            return True

    def apply_config(self, config: DataCentreStates) -> None:
        """Take the data-centre states from a configuration; an older revision is ignored."""
        with self._lock:
            if self._config is None or config.revision >= self._config.revision:
                self._config = config

    def set_running(self, worker_id: str, shard: int, templates: tuple[str, ...]) -> None:
        """Set which templates run on a worker for one shard.

        :param worker_id: the worker; unknown workers are ignored.
        :param shard: the shard whose owner reports.
        :param templates: template names, one for each running task.
        """
        with self._lock:
            worker = self._workers.get(worker_id)
            if worker is None:
                return
            if templates:
                worker.running[shard] = templates
            else:
                worker.running.pop(shard, None)

    def clear_running(self, shard: int) -> None:
        """Forget what runs for a shard that this process no longer owns."""
        with self._lock:
            for worker in self._workers.values():
                worker.running.pop(shard, None)

    def expire(self) -> list[str]:
        """Note workers that have gone silent and forget those that are long gone.

        :returns: ids of the workers that were lost since the last call.
        """
        with self._lock:
            now = self._clock.monotonic()
            newly_lost = []
            for worker_id, worker in list(self._workers.items()):
                if now - worker.last_seen > FORGOTTEN_AFTER:
                    del self._workers[worker_id]
                    self._quarantine.forget(worker_id)
                elif not worker.lost and self._silent(worker):
                    worker.lost = True
                    newly_lost.append(worker_id)
            self._quarantine.release_due()
        for worker_id in newly_lost:
            log(Event.WORKER_LOST, worker=worker_id)
        return newly_lost

    def worker(self, worker_id: str) -> WorkerView | None:
        """Return the view of a worker, lost or not, or None when it is unknown."""
        with self._lock:
            worker = self._workers.get(worker_id)
            return None if worker is None else self._view(worker)

    def is_lost(self, worker_id: str) -> bool:
        """Return whether the worker is unknown or has been silent for too long."""
        with self._lock:
            worker = self._workers.get(worker_id)
            return worker is None or self._silent(worker)

    def data_centre_in(self, name: str) -> bool:
        """Return whether a data centre is in service; False before any configuration."""
        with self._lock:
            return self._config is not None and self._config.data_centre_in(name)

    def workers(self) -> list[WorkerView]:
        """Return views of all workers that are not lost, leaving ones included."""
        with self._lock:
            return [self._view(w) for w in self._workers.values() if not self._silent(w)]

    def known_workers(self) -> list[WorkerView]:
        """Return views of all workers that are remembered, lost ones included."""
        with self._lock:
            return [self._view(w) for w in self._workers.values()]

    def placement_views(self) -> list[WorkerView]:
        """Return views of the workers that a task may start on now."""
        return [
            view
            for view in self.workers()
            if view.data_centre_in and not view.quarantined and not view.load.leaving
        ]

    def routing_views(self, service: str) -> list[WorkerView]:
        """Return views of the workers that a request for a service may be sent to now.

        Quarantine concerns tasks only, so a quarantined worker still serves requests.
        """
        return [
            view
            for view in self.workers()
            if service in view.description.services
            and view.data_centre_in
            and not view.load.leaving
        ]

    def known_for(self) -> timedelta:
        """Return the time since the first announcement; zero before it."""
        with self._lock:
            if self._first_seen is None:
                return timedelta()
            return self._clock.monotonic() - self._first_seen

    def fits_somewhere(self, resources: Resources) -> bool:
        """Return whether the demand fits the total capacity of any remembered worker."""
        with self._lock:
            return any(resources.fits(w.description.capacity) for w in self._workers.values())

    def record_failure(self, worker_id: str, key: TaskKey, template: str) -> bool:
        """Record that a task failed on a worker.

        :param worker_id: where it failed.
        :param key: the task.
        :param template: template of its job.
        :returns: whether the failure counts against the job; it does not when the worker is
            in quarantine.
        """
        with self._lock:
            return self._quarantine.record_failure(worker_id, key, template)

    def record_progress(
        self, worker_id: str, key: TaskKey, template: str, finished: bool = True
    ) -> None:
        """Record that a task finished on a worker, or that it wrote a checkpoint there.

        :param worker_id: where it ran.
        :param key: the task.
        :param template: template of its job.
        :param finished: False for a checkpoint, which says nothing about the end of the task.
        """
        with self._lock:
            self._quarantine.record_progress(worker_id, key, template, finished)

    def quarantine_reason(self, worker_id: str) -> str:
        """Return why a worker is in quarantine, or an empty string."""
        with self._lock:
            return self._quarantine.reason(worker_id)

    def _size(self) -> int:
        return sum(not self._silent(w) for w in self._workers.values())

    def _add(self, description: WorkerDescription, load: WorkerLoad) -> bool:
        if len(self._workers) >= MAX_WORKERS:
            return False
        now = self._clock.monotonic()
        if self._first_seen is None:
            self._first_seen = now
        worker = _Worker(description, load, now)
        self._workers[description.worker_id] = worker
        self._update(worker, load)
        self._log_announced(description)
        return True

    def _restarted(self, worker: _Worker, description: WorkerDescription) -> None:
        worker.former.append(worker.description.incarnation)
        worker.leaving = False
        self._log_announced(description)

    def _log_announced(self, description: WorkerDescription) -> None:
        log(
            Event.WORKER_ANNOUNCED,
            worker=description.worker_id,
            incarnation=description.incarnation,
            data_centre=description.data_centre,
        )

    def _update(self, worker: _Worker, load: WorkerLoad) -> None:
        worker.last_seen = self._clock.monotonic()
        worker.lost = False
        if load.leaving and not worker.leaving:
            log(Event.WORKER_LEAVING, worker=worker.description.worker_id)
            worker.leaving = True
        # A process that has begun to leave never returns, but an older reply may come in late.
        worker.load = attrs.evolve(load, leaving=True) if worker.leaving else load

    def _silent(self, worker: _Worker) -> bool:
        return self._clock.monotonic() - worker.last_seen > self._lost_after

    def _view(self, worker: _Worker) -> WorkerView:
        description = worker.description
        return WorkerView(
            description=description,
            load=worker.load,
            data_centre_in=self.data_centre_in(description.data_centre),
            quarantined=self._quarantine.holds(description.worker_id),
            running=tuple(name for names in worker.running.values() for name in names),
        )
