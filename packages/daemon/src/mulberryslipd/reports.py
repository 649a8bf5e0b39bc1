"""Reports for operators: workers, jobs, shards, metrics and explanations."""

import json
import uuid
from collections.abc import Callable
from datetime import timedelta

from mulberryslip.clocks import Clock
from mulberryslip.configs import part_to_dict
from mulberryslip.fleets import Fleet
from mulberryslip.metrics import Metrics
from mulberryslip.models import WorkerView
from mulberryslip.retries import Deadline
from mulberryslip.routings import Router
from mulberryslip.wire.ttypes import JobReply, Outcome

from .responses import Response, not_found, outcome_error
from .services import ShardClient

CALL_DEADLINE = timedelta(seconds=3)


class EntryReports:
    """Produce the reports of one entry.

    :param store_calls: returns the number of calls to the store by kind.
    """

    def __init__(
        self,
        fleet: Fleet,
        router: Router,
        calls: ShardClient,
        metrics: Metrics,
        clock: Clock,
        store_calls: Callable[[], dict[str, int]],
    ):
        self._fleet = fleet
        self._router = router
        self._calls = calls
        self._metrics = metrics
        self._clock = clock
        self._store_calls = store_calls

    def workers(self) -> list[dict[str, object]]:
        """Return all known workers, ordered by id."""
        views = sorted(self._fleet.known_workers(), key=lambda view: view.description.worker_id)
        return [self._worker(view) for view in views]

    def jobs(self) -> list[dict[str, object]]:
        """Return the jobs of all shards.

        :raises HTTPError: a shard cannot be reached.
        """
        rows = []
        for shard in range(self._calls.shards):
            deadline = Deadline(self._clock, CALL_DEADLINE)
            reply = self._calls.list_jobs(shard, uuid.uuid4().hex, deadline)
            rows += json.loads(_body(reply))
        return sorted(rows, key=lambda row: row["job_id"])

    def job(self, job_id: str, request_id: str) -> Response:
        """Return the state of one job; raises `HTTPError`."""
        body = self._call("job_status", job_id, request_id)
        return Response(200, body, {"Content-Type": "application/json"})

    def shards(self) -> list[dict[str, object]]:
        """Return the shards and their recorded owners."""
        owners = [(shard, self._calls.owner(shard)) for shard in range(self._calls.shards)]
        return [
            {
                "shard": shard,
                "owner": "" if owner is None else owner.entry_id,
                "address": "" if owner is None else str(owner.address),
            }
            for shard, owner in owners
        ]

    def metrics(self) -> dict[str, object]:
        """Return histograms and counters; the counters include the calls to the store."""
        document = self._metrics.snapshot().to_json()
        calls = {f"store_calls_{kind}": count for kind, count in self._store_calls().items()}
        return {**document, "counters": {**document["counters"], **calls}}

    def explain_job(self, job_id: str, request_id: str) -> list[str]:
        """Return why the tasks of a job wait, run or were moved; raises `HTTPError`."""
        return json.loads(self._call("explain_job", job_id, request_id))

    def explain_worker(self, worker_id: str) -> list[str]:
        """Return the state of a worker that decides whether it is given work.

        :raises HTTPError: the worker is unknown.
        """
        view = self._fleet.worker(worker_id)
        if view is None:
            raise not_found(f"no worker is named {worker_id[:80]!r}")
        description, load = view.description, view.load
        lines = [
            f"{worker_id} is {self._state(view)}, in data centre {description.data_centre}, "
            f"rack {description.rack}",
            f"{load.in_flight} requests at its target, {load.queued} waiting, "
            f"{self._router.in_flight(worker_id)} of them from this entry; "
            f"answer time {load.service_time_us / 1000:.1f} ms, "
            f"pressure {load.pressure_permille} permille",
            f"tasks known to run: {', '.join(view.running) or 'none'}",
        ]
        quarantine = self._fleet.quarantine_reason(worker_id)
        return lines + ([f"quarantined: {quarantine}"] if quarantine else [])

    def explain_service(self, name: str) -> list[str]:
        """Return why this entry routed the latest requests of a service as it did."""
        return self._router.explain(name)

    def _worker(self, view: WorkerView) -> dict[str, object]:
        return {
            "worker_id": view.description.worker_id,
            "data_centre": view.description.data_centre,
            "rack": view.description.rack,
            "state": self._state(view),
            "in_flight": view.load.in_flight,
            "free": part_to_dict(view.load.free),
            "running": len(view.running),
            "capacity": part_to_dict(view.description.capacity),
            "services": list(view.description.services),
        }

    def _state(self, view: WorkerView) -> str:
        if self._fleet.is_lost(view.description.worker_id):
            return "lost"
        if view.load.leaving:
            return "leaving"
        if not view.data_centre_in:
            return "data centre out"
        return "quarantined" if view.quarantined else "in service"

    def _call(self, method: str, job_id: str, request_id: str) -> bytes:
        deadline = Deadline(self._clock, CALL_DEADLINE)
        return _body(self._calls.call_job_owner(method, job_id, b"", request_id, deadline))


def _body(reply: JobReply) -> bytes:
    if reply.outcome != Outcome.OK:
        raise outcome_error(reply.outcome, reply.reason)
    return reply.body
