"""Workers known to one process, with data-centre state and quarantine.

The state is kept in memory only and is rebuilt from announcements and replies.
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
"""Silence after which a worker is lost.

Workers announce and answer renewals every second, so this is five missed messages.
"""

FORGOTTEN_AFTER = timedelta(hours=24)
"""Silence after which a worker is forgotten.

A data centre may be out for a day; until then the capacity of its workers counts as existing.
"""

MAX_WORKERS = 4096
MAX_FORMER_INCARNATIONS = 8


class DataCentreStates(Protocol):
    """Interface of `configs.ConfigView` that the fleet depends on."""

    revision: int

    def data_centre_in(self, name: str) -> bool:
        """Return whether the data centre is in service."""


@attrs.define
class _Worker:
    description: WorkerDescription
    load: WorkerLoad
    last_seen: timedelta
    former_incarnations: deque = attrs.field(factory=lambda: deque(maxlen=MAX_FORMER_INCARNATIONS))
    running: dict[int, tuple[str, ...]] = attrs.field(factory=dict)
    leaving: bool = False
    lost: bool = False


class Fleet:
    """Registry of the workers known to this process. Thread-safe.

    :param clock: source of monotonic time.
    :param lost_after: silence after which a worker is lost and gets no new work.
    """

    def __init__(self, clock: Clock, lost_after: timedelta = LOST_AFTER):
        self._clock = clock
        self._lost_after = lost_after
        self._lock = threading.RLock()
        self._workers: dict[str, _Worker] = {}
        self._quarantine = Quarantine(clock, self._live_count)
        self._config: DataCentreStates | None = None
        self._first_seen: timedelta | None = None

    def record_announcement(self, description: WorkerDescription, load: WorkerLoad) -> bool:
        """Record an announcement of a worker.

        :param description: the announced description.
        :param load: current load of the worker.
        :returns: False when the announcement is from an incarnation that has been replaced,
            or when too many workers are known.
        """
        with self._lock:
            worker = self._workers.get(description.worker_id)
            if worker is None:
                return self._add_worker(description, load)
            if description.incarnation in worker.former_incarnations:
                return False
            if description.incarnation != worker.description.incarnation:
                self._record_restart(worker, description)
            worker.description = description
            self._update(worker, load)
            return True

    def record_reply(
        self, worker_id: str, incarnation: str, load: WorkerLoad | None = None
    ) -> bool:
        """Record a reply of a worker.

        :param worker_id: the worker.
        :param incarnation: incarnation in the reply; empty when the reply carries none.
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
        """Apply the data-centre states of a configuration; older revisions are ignored."""
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
        """Remove the running templates of a shard that this process no longer owns."""
        with self._lock:
            for worker in self._workers.values():
                worker.running.pop(shard, None)

    def expire(self) -> list[str]:
        """Mark silent workers as lost, and forget workers silent for `FORGOTTEN_AFTER`.

        :returns: ids of the workers lost since the last call.
        """
        with self._lock:
            now = self._clock.monotonic()
            newly_lost = []
            for worker_id, worker in list(self._workers.items()):
                if now - worker.last_seen > FORGOTTEN_AFTER:
                    del self._workers[worker_id]
                    self._quarantine.forget(worker_id)
                elif not worker.lost and self._is_silent(worker):
                    worker.lost = True
                    newly_lost.append(worker_id)
            self._quarantine.release_due()
        for worker_id in newly_lost:
            log(Event.WORKER_LOST, worker=worker_id)
        return newly_lost

    def worker(self, worker_id: str) -> WorkerView | None:
        """Return the view of a worker, even if it is lost, or None when it is unknown."""
        with self._lock:
            worker = self._workers.get(worker_id)
            return None if worker is None else self._view(worker)

    def is_lost(self, worker_id: str) -> bool:
        """Return whether the worker is unknown or lost."""
        with self._lock:
            worker = self._workers.get(worker_id)
            return worker is None or self._is_silent(worker)

    def data_centre_in(self, name: str) -> bool:
        """Return whether a data centre is in service; False until a configuration is known."""
        with self._lock:
            return self._config is not None and self._config.data_centre_in(name)

    def workers(self) -> list[WorkerView]:
        """Return views of all workers that are not lost, including leaving ones."""
        with self._lock:
            return [self._view(w) for w in self._workers.values() if not self._is_silent(w)]

    def known_workers(self) -> list[WorkerView]:
        """Return views of all known workers, including lost ones."""
        with self._lock:
            return [self._view(w) for w in self._workers.values()]

    def placement_views(self) -> list[WorkerView]:
        """Return views of the workers on which a task may start."""
        return [
            view
            for view in self.workers()
            if view.data_centre_in and not view.quarantined and not view.load.leaving
        ]

    def routing_views(self, service: str) -> list[WorkerView]:
        """Return views of the workers to which requests for a service may be sent.

        Quarantine applies to tasks only, so a quarantined worker still serves requests.
        """
        return [
            view
            for view in self.workers()
            if service in view.description.services
            and view.data_centre_in
            and not view.load.leaving
        ]

    def time_since_first_announcement(self) -> timedelta:
        """Return the time since the first announcement, or zero before it."""
        with self._lock:
            if self._first_seen is None:
                return timedelta()
            return self._clock.monotonic() - self._first_seen

    def fits_any_worker(self, resources: Resources) -> bool:
        """Return whether the resources fit the total capacity of any known worker, lost or not."""
        with self._lock:
            return any(resources.fits(w.description.capacity) for w in self._workers.values())

    def record_failure(self, worker_id: str, key: TaskKey, template: str) -> bool:
        """Record that a task failed on a worker.

        :param worker_id: worker on which it failed.
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
        """Record that a task finished or wrote a checkpoint on a worker.

        :param worker_id: worker on which it ran.
        :param key: the task.
        :param template: template of its job.
        :param finished: False for a checkpoint, after which the task may still fail.
        """
        with self._lock:
            self._quarantine.record_progress(worker_id, key, template, finished)

    def quarantine_reason(self, worker_id: str) -> str:
        """Return the reason why a worker is in quarantine, or an empty string."""
        with self._lock:
            return self._quarantine.reason(worker_id)

    def _live_count(self) -> int:
        return sum(not self._is_silent(w) for w in self._workers.values())

    def _add_worker(self, description: WorkerDescription, load: WorkerLoad) -> bool:
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

    def _record_restart(self, worker: _Worker, description: WorkerDescription) -> None:
        worker.former_incarnations.append(worker.description.incarnation)
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
        # A leaving incarnation never returns to service, but an older reply may arrive late.
        worker.load = attrs.evolve(load, leaving=True) if worker.leaving else load

    def _is_silent(self, worker: _Worker) -> bool:
        return self._clock.monotonic() - worker.last_seen > self._lost_after

    def _view(self, worker: _Worker) -> WorkerView:
        description = worker.description
        return WorkerView(
            description=description,
            load=worker.load,
            data_centre_in=self.data_centre_in(description.data_centre),
            quarantined=self._quarantine.is_quarantined(description.worker_id),
            running=tuple(name for names in worker.running.values() for name in names),
        )
