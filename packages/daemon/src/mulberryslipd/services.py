"""Thrift service of an entry, and calls to the local or remote owner of a shard."""

import random
import threading
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, Protocol

import attrs
from mulberryslip import records
from mulberryslip.channels import Address
from mulberryslip.clocks import Clock
from mulberryslip.configs import NAME_PATTERN
from mulberryslip.events import Event, log
from mulberryslip.exceptions import (
    InvalidMessageError,
    NotSentError,
    StoreError,
    WireError,
)
from mulberryslip.fleets import Fleet
from mulberryslip.models import WorkerDescription
from mulberryslip.partitions import partition_of
from mulberryslip.retries import Deadline, backoff
from mulberryslip.stores import Store
from mulberryslip.wire.ttypes import (
    AnnounceReply,
    AnnounceRequest,
    ClaimReply,
    ClaimRequest,
    Header,
    JobReply,
    JobRequest,
    Outcome,
    ReportReply,
    ReportRequest,
    ShardRequest,
)
from mulberryslip.wire.ttypes import WorkerDescription as WireDescription

from .requests import Channels, SenderIdentity, load_from_wire, resources_from_wire
from .sources import ConfigSource, InvalidValueLog

ENTRY_SENDER = "entry/"
"""Prefix of the sender in calls that an entry forwards. Such a call is never forwarded again, so
that two entries with outdated owner records cannot forward it to each other in a loop."""

OWNER_CACHE_TTL = timedelta(seconds=1)
"""How long an owner record read from the store is cached."""

OWNER_SEARCH_TIMEOUT = timedelta(seconds=3)
"""Longest search for an owner; a shard without an owner is claimed within about this time."""

MAX_INCARNATION_CHARS = 64

_OWNER_METHODS = {"job_status": "status", "explain_job": "explain"}
_NOT_OWNER = "this entry does not own the shard"


class Owner(Protocol):
    """The part of `owners.ShardOwner` that an entry calls; replies are thrift messages."""

    def is_owner(self) -> bool:
        """Return whether this process owns the shard now."""

    def submit(self, req: JobRequest) -> JobReply:
        """Accept a job."""

    def status(self, req: JobRequest) -> JobReply:
        """Return the state of a job."""

    def cancel(self, req: JobRequest) -> JobReply:
        """Cancel a job."""

    def report(self, req: ReportRequest) -> ReportReply:
        """Commit the reports of a worker."""

    def claim_request(self, req: ClaimRequest) -> ClaimReply:
        """Claim or release a request id."""

    def list_jobs(self, req: ShardRequest) -> JobReply:
        """Return the jobs of the shard."""

    def explain(self, req: JobRequest) -> JobReply:
        """Return why the tasks of a job wait, run or were moved."""


@attrs.frozen
class OwnerAddress:
    """Owner of a shard as recorded in the store."""

    entry_id: str
    address: Address
    incarnation: str


class OwnerDirectory:
    """Owners of the shards as recorded in the store, cached for one second.

    :param store: the platform's store.
    """

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._cache: dict[int, tuple[timedelta, OwnerAddress | None]] = {}
        self._invalid_values = InvalidValueLog()

    def find(self, shard: int, fresh: bool = False) -> OwnerAddress | None:
        """Return the owner of a shard, or None when it is not known.

        While the store is unavailable, the last known owner is returned.

        :param fresh: whether to read the store even if the cached record is recent.
        """
        now = self._clock.monotonic()
        with self._lock:
            read_at, owner = self._cache.get(shard, (-OWNER_CACHE_TTL, None))
        if not fresh and now - read_at < OWNER_CACHE_TTL:
            return owner
        try:
            owner = self._read(shard)
        except StoreError as exc:
            log(Event.STORE_UNAVAILABLE, call="find owner", reason=str(exc))
        with self._lock:
            self._cache[shard] = (now, owner)
        return owner

    def _read(self, shard: int) -> OwnerAddress | None:
        stored = self._store.get(f"shards/{shard}/owner")
        try:
            return None if stored is None else parse_owner(stored.value)
        except InvalidMessageError as exc:
            self._invalid_values.record(stored, exc)
            return None


def parse_owner(value: bytes) -> OwnerAddress:
    """Return the owner from its stored record.

    :raises InvalidMessageError: the record is invalid.
    """
    record = records.parse_object(value)
    address = Address.from_record(record)
    entry_id, incarnation = record.get("entry_id"), record.get("incarnation")
    if not isinstance(entry_id, str) or not isinstance(incarnation, str):
        raise InvalidMessageError("entry_id or incarnation is not a string")
    return OwnerAddress(entry_id, address, incarnation)


class ShardClient:
    """Call the owner of a shard, in this process or at another entry.

    :param owners: the owner object of this process for each shard.
    :param channels: connections to other entries.
    :param revision: returns the newest known configuration revision.
    """

    def __init__(
        self,
        identity: SenderIdentity,
        owners: Mapping[int, Owner],
        directory: OwnerDirectory,
        channels: Channels,
        revision: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ):
        self._identity = identity
        self._owners = owners
        self._directory = directory
        self._channels = channels
        self._revision = revision
        self._clock = clock
        self._rng = rng

    @property
    def shards(self) -> int:
        """Number of shards."""
        return len(self._owners)

    def call_job_owner(
        self, method: str, job_id: str, body: bytes, request_id: str, deadline: Deadline
    ) -> JobReply:
        """Call `submit`, `job_status`, `cancel` or `explain_job` of the owner of a job.

        All of these are idempotent, so the call is retried after a lost reply.
        """

        def make_request() -> JobRequest:
            return JobRequest(self._header(request_id, deadline), job_id, body)

        shard = partition_of(job_id, self.shards)
        return self._call_owner(shard, method, make_request, deadline, retry_lost=True)

    def list_jobs(self, shard: int, request_id: str, deadline: Deadline) -> JobReply:
        """Return the jobs of one shard."""

        def make_request() -> ShardRequest:
            return ShardRequest(self._header(request_id, deadline), shard)

        return self._call_owner(shard, "list_jobs", make_request, deadline, retry_lost=True)

    def owner(self, shard: int) -> OwnerAddress | None:
        """Return the recorded owner of a shard, or None."""
        return self._directory.find(shard)

    def claim(self, claim_id: str, worker_id: str, deadline: Deadline) -> ClaimReply:
        """Claim a request id for a worker, or release it with an empty worker id.

        A call that may have been received is not retried: a second release could remove a claim
        that another entry has made meanwhile.
        """

        def make_request() -> ClaimRequest:
            return ClaimRequest(self._header(claim_id, deadline), claim_id, worker_id)

        shard = partition_of(claim_id, self.shards)
        return self._call_owner(shard, "claim_request", make_request, deadline, retry_lost=False)

    def serve(self, shard: int, method: str, req: Any) -> Any:
        """Serve a thrift call with the local owner, or forward it to the recorded owner.

        :param req: the request; its header names the sender.
        """
        if not 0 <= shard < self.shards:
            return _error_reply(
                method, Outcome.INVALID, f"shard {shard} is not below {self.shards}"
            )
        if self._owners[shard].is_owner() or req.header.sender.startswith(ENTRY_SENDER):
            return self._call_local(shard, method, req)
        deadline = Deadline(self._clock, timedelta(milliseconds=req.header.deadline_ms))
        req.header = self._header(req.header.request_id, deadline)
        return self._call_remote(shard, method, req, deadline, fresh=False)

    def _call_owner(
        self,
        shard: int,
        method: str,
        make_request: Callable[[], Any],
        deadline: Deadline,
        retry_lost: bool,
    ) -> Any:
        """Call the owner; retry while there is none or the owner record is outdated.

        :param retry_lost: whether to retry when the reply was lost. After that a reply that the
            call was not carried out does not hold for its earlier sends.
        """
        search_deadline = Deadline(self._clock, deadline.cap(OWNER_SEARCH_TIMEOUT))
        failures = 0
        unknown_reason = ""
        while True:
            if self._owners[shard].is_owner():
                reply = self._call_local(shard, method, make_request())
            else:
                reply = self._call_remote(
                    shard, method, make_request(), deadline, fresh=failures > 0
                )
            is_lost = reply.outcome == Outcome.OUTCOME_UNKNOWN and retry_lost
            if not (is_lost or reply.outcome == Outcome.NOT_OWNER):
                return _final_reply(method, reply, unknown_reason)
            if is_lost:
                unknown_reason = unknown_reason or reply.reason or "the outcome is not known"
            failures += 1
            pause = backoff(failures, self._rng, timedelta(milliseconds=50))
            if pause >= search_deadline.remaining():
                return _final_reply(method, reply, unknown_reason)
            self._clock.sleep(pause)

    def _call_local(self, shard: int, method: str, req: Any) -> Any:
        owner = self._owners[shard]
        if not owner.is_owner():
            return _error_reply(method, Outcome.NOT_OWNER, _NOT_OWNER)
        return getattr(owner, _OWNER_METHODS.get(method, method))(req)

    def _call_remote(
        self, shard: int, method: str, req: Any, deadline: Deadline, fresh: bool
    ) -> Any:
        owner = self._directory.find(shard, fresh)
        if owner is None or owner.entry_id == self._identity.entry_id:
            return _error_reply(method, Outcome.NOT_OWNER, f"shard {shard} has no owner now")
        try:
            return self._channels.call(owner.address, method, req, deadline.remaining())
        except NotSentError as exc:
            reason = f"shard {shard} has no reachable owner: {exc}"
            return _error_reply(method, Outcome.NOT_OWNER, reason)
        except WireError as exc:
            return _error_reply(method, Outcome.OUTCOME_UNKNOWN, str(exc))

    def _header(self, request_id: str, deadline: Deadline) -> Header:
        return Header(
            request_id=request_id,
            deadline_ms=deadline.remaining_ms(),
            config_revision=self._revision(),
            sender=ENTRY_SENDER + self._identity.entry_id,
            incarnation=self._identity.incarnation,
        )


class EntryService:
    """Handlers of the thrift `EntryService`.

    :param entries: returns `host:port` of every registered entry.
    """

    def __init__(
        self,
        fleet: Fleet,
        source: ConfigSource,
        calls: ShardClient,
        entries: Callable[[], list[str]],
    ):
        self._fleet = fleet
        self._source = source
        self._calls = calls
        self._entries = entries

    def ping(self, token: int) -> int:
        """Return the token."""
        return token

    def announce(self, req: AnnounceRequest) -> AnnounceReply:
        """Record a worker's announcement; the reply carries the configuration if it is newer."""
        error = _validate_worker(req.worker)
        if error:
            log(Event.MESSAGE_INVALID, what="announcement", reason=error)
            return AnnounceReply(Outcome.INVALID, self._source.revision(), b"", [])
        known = self._fleet.record_announcement(
            description_from_wire(req.worker), load_from_wire(req.load)
        )
        view = self._source.view()
        newer = view is not None and view.revision > req.header.config_revision
        return AnnounceReply(
            outcome=Outcome.OK if known else Outcome.CONFLICT,
            config_revision=0 if view is None else view.revision,
            config=view.to_json() if newer else b"",
            entries=self._entries(),
        )

    def report(self, req: ReportRequest) -> ReportReply:
        """Commit a worker's report on tasks."""
        return self._calls.serve(req.shard, "report", req)

    def submit(self, req: JobRequest) -> JobReply:
        """Accept a job."""
        return self._job("submit", req)

    def job_status(self, req: JobRequest) -> JobReply:
        """Return the state of a job."""
        return self._job("job_status", req)

    def cancel(self, req: JobRequest) -> JobReply:
        """Cancel a job."""
        return self._job("cancel", req)

    def claim_request(self, req: ClaimRequest) -> ClaimReply:
        """Claim or release a request id."""
        return self._calls.serve(
            partition_of(req.claim_id, self._calls.shards), "claim_request", req
        )

    def list_jobs(self, req: ShardRequest) -> JobReply:
        """Return the jobs of a shard."""
        return self._calls.serve(req.shard, "list_jobs", req)

    def explain_job(self, req: JobRequest) -> JobReply:
        """Return why the tasks of a job wait, run or were moved."""
        return self._job("explain_job", req)

    def _job(self, method: str, req: JobRequest) -> JobReply:
        return self._calls.serve(partition_of(req.job_id, self._calls.shards), method, req)


def _validate_worker(worker: WireDescription) -> str:
    """Return why an announced description is invalid, or an empty string."""
    for field in ("worker_id", "data_centre", "rack"):
        if not NAME_PATTERN.fullmatch(getattr(worker, field)):
            return f"{field}: {getattr(worker, field)[:80]!r} is not a name"
    if not all(map(NAME_PATTERN.fullmatch, worker.services)):
        return f"services: {worker.services!r:.80} are not all names"
    if not 0 < len(worker.incarnation) <= MAX_INCARNATION_CHARS:
        return f"incarnation: {len(worker.incarnation)} characters are not allowed"
    try:
        Address.from_record({"host": worker.host, "port": worker.port})
    except InvalidMessageError as exc:
        return str(exc)
    if min(resources_from_wire(worker.capacity).amounts()) < 0:
        return f"capacity: {worker.capacity} has a negative amount"
    return ""


def description_from_wire(worker: WireDescription) -> WorkerDescription:
    """Return a worker's description from its wire form."""
    return WorkerDescription(
        worker_id=worker.worker_id,
        incarnation=worker.incarnation,
        data_centre=worker.data_centre,
        rack=worker.rack,
        host=worker.host,
        port=worker.port,
        capacity=resources_from_wire(worker.capacity),
        services=tuple(worker.services),
    )


def _final_reply(method: str, reply: Any, unknown_reason: str) -> Any:
    """Return the reply to a call, given the reply to its last send.

    :param unknown_reason: why an earlier send may have been carried out, or empty.
    """
    if not unknown_reason or reply.outcome not in (Outcome.NOT_RUN, Outcome.NOT_OWNER):
        return reply
    reason = f"{unknown_reason}; then: {reply.reason}"
    return _error_reply(method, Outcome.OUTCOME_UNKNOWN, reason)


def _error_reply(method: str, outcome: int, reason: str) -> Any:
    if method == "report":
        return ReportReply(outcome=outcome, acknowledged=[])
    if method == "claim_request":
        return ClaimReply(outcome=outcome, reason=reason, worker_id="")
    return JobReply(outcome=outcome, reason=reason, body=b"")
