"""Worker process: admission, task execution and request forwarding on one VM."""

import threading
import uuid
import zlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from mulberryslip.admissions import RESERVATION_TTL, Admission
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.configs import ConfigView, ServiceParameters, TaskParameters
from mulberryslip.events import Event, log
from mulberryslip.exceptions import (
    AdmissionError,
    ConfigError,
    MulberryslipError,
    RuntimeAdapterError,
    WireError,
)
from mulberryslip.models import Attempt, Resources, TaskClass, TaskKey
from mulberryslip.outcomes import Answered, NotRun, RequestOutcome
from mulberryslip.runtimes import Runtime
from mulberryslip.servers import Server
from mulberryslip.wire import EntryService
from mulberryslip.wire import WorkerService as WireWorkerService
from mulberryslip.wire import ttypes as wire

from .executions import AttemptReport, Executions, TaskStartCommand, TaskStopCommand
from .forwarders import Forwarder
from .pressures import PressureGauge, ThrottleController

MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)
MAX_ENTRIES = 16
CALL_TIMEOUT = timedelta(seconds=1)
REPORT_INTERVAL = timedelta(seconds=1)
# Number of renewals within the duration of one runtime lease.
RENEWALS_PER_LEASE = 4
DEFAULT_CHECKPOINT_INTERVAL = timedelta(seconds=60)
# Part of the stop timeout that is kept for stopping the server.
STOP_RESERVE = timedelta(seconds=1)
STOP_POLL_INTERVAL = timedelta(milliseconds=50)


@attrs.frozen
class WorkerOptions:
    """Parameters of a worker process.

    :param worker_id: name of the worker.
    :param data_centre: name of its data centre.
    :param rack: name of its rack.
    :param host: IP address that it announces.
    :param listen_host: IP address that it listens on; `host` when empty.
    :param port: TCP port of its Thrift server; 0 selects a free one.
    :param target_url: base URL of the local target.
    :param services: templates that the target serves.
    :param entries: entries to announce to.
    :param capacity: capacity for tasks, slots included.
    :param target_resources: part of the capacity that is reserved for services.
    :param connections: maximum number of connections to the target.
    :param queue: maximum number of requests that wait for a connection.
    :param shards: number of shards; the same on all processes.
    :param wire_connections: maximum number of connections to the Thrift server.
    :param reservation_ttl: time after which an unused reservation expires.
    :param runtime_lease: duration of a runtime lease and of the runtime session.
    :param announce_interval: time between announcements to one entry.
    :param stop_timeout: maximum duration of a planned stop.
    :param stop_grace: time for entries to learn that the worker is leaving.
    """

    worker_id: str
    data_centre: str
    rack: str
    host: str
    port: int
    target_url: str
    services: tuple[str, ...]
    entries: tuple[Address, ...]
    capacity: Resources
    target_resources: Resources = Resources()
    listen_host: str = ""
    connections: int = 64
    queue: int = 64
    shards: int = 4
    wire_connections: int = 256
    reservation_ttl: timedelta = RESERVATION_TTL
    runtime_lease: timedelta = timedelta(seconds=2)
    announce_interval: timedelta = timedelta(seconds=1)
    stop_timeout: timedelta = timedelta(seconds=10)
    stop_grace: timedelta = timedelta(seconds=1)


class ConfigCache:
    """Caches the newest configuration that this process has received.

    :param apply: called with every newer view.
    """

    def __init__(self, apply: Callable[[ConfigView], object]):
        self._apply = apply
        self._lock = threading.Lock()
        self.view = ConfigView()

    def apply_if_newer(self, document: bytes) -> None:
        """Apply a document unless it is empty, invalid or not newer."""
        if not document:
            return
        try:
            view = ConfigView.from_json(document)
        except ConfigError as exc:
            log(Event.CONFIG_REFUSED, reason=str(exc))
            return
        with self._lock:
            if view.revision <= self.view.revision:
                return
            self._apply(view)
            self.view = view
        log(Event.CONFIG_APPLIED, revision=view.revision)

    def service(self, template: str) -> ServiceParameters | None:
        """Return the parameters of a service, or None when it is unknown."""
        parameters = self._parameters(template)
        return parameters if isinstance(parameters, ServiceParameters) else None

    def objective(self, template: str) -> timedelta | None:
        """Return the latency objective of a service, or None when it is unknown."""
        service = self.service(template)
        return service.objective_ms * MILLISECOND if service else None

    def max_in_flight(self, template: str) -> int | None:
        """Return how many requests of a service one target serves at a time, or None."""
        service = self.service(template)
        return service.max_in_flight if service else None

    def checkpoint_interval(self, template: str) -> timedelta:
        """Return the time between checkpoints of a task."""
        parameters = self._parameters(template)
        if isinstance(parameters, TaskParameters):
            return timedelta(seconds=parameters.checkpoint_s)
        return DEFAULT_CHECKPOINT_INTERVAL

    def task_class(self, template: str) -> TaskClass:
        """Return the class of a template; `BATCH` when the template is unknown."""
        found = self.view.template(template)
        return found.task_class if found else TaskClass.BATCH

    def _parameters(self, template: str) -> ServiceParameters | TaskParameters | None:
        found = self.view.template(template)
        return found.parameters if found else None


class WorkerService:
    """Handlers of the Thrift service `WorkerService`.

    :param load: returns the worker's load for replies.
    :param ensure_reporter: starts reporting a shard's attempts to its owner.
    """

    def __init__(
        self,
        options: WorkerOptions,
        incarnation: str,
        admission: Admission,
        executions: Executions,
        forwarder: Forwarder,
        config: ConfigCache,
        load: Callable[[], wire.Load],
        ensure_reporter: Callable[[int], None],
    ):
        self._options = options
        self._incarnation = incarnation
        self._admission = admission
        self._executions = executions
        self._forwarder = forwarder
        self._config = config
        self._load = load
        self._ensure_reporter = ensure_reporter

    def ping(self, token: int) -> int:
        """Return the token."""
        return token

    def forward(self, req: wire.ForwardRequest) -> wire.ForwardReply:
        """Forward one request to the target."""
        outcome = self._forward(req)
        return self._forward_reply(req.header.request_id, outcome)

    def reserve(self, req: wire.ReserveRequest) -> wire.ReserveReply:
        """Reserve capacity for attempts."""
        refusal = self._refusal_reason(req.shard, req.epoch)
        granted = [] if refusal else [self._reserve(req, item) for item in req.items]
        outcome = wire.Outcome.CONFLICT if refusal else wire.Outcome.OK
        return wire.ReserveReply(outcome, refusal, granted, self._load(), self._incarnation)

    def start(self, req: wire.StartRequest) -> wire.StartReply:
        """Start attempts for which capacity is reserved."""
        refusal = self._refusal_reason(req.shard, req.epoch)
        results = [] if refusal else [self._start(req, item) for item in req.items]
        outcome = wire.Outcome.CONFLICT if refusal else wire.Outcome.OK
        return wire.StartReply(outcome, refusal, results, self._load())

    def renew(self, req: wire.RenewRequest) -> wire.RenewReply:
        """Renew a shard's lease, apply the configuration and return the held attempts."""
        if not 0 <= req.shard < self._options.shards:
            return self._renew_reply(req, wire.Outcome.INVALID, f"no shard {req.shard}")
        self._config.apply_if_newer(req.config)
        owner = Address(req.owner_host, req.owner_port)
        duration = max(0, req.lease_ms) * MILLISECOND
        try:
            since = req.clock_ms * MILLISECOND if req.clock_ms else None
            self._executions.extend_shard_lease(req.shard, req.epoch, duration, owner, since)
        except AdmissionError as exc:
            return self._renew_reply(req, wire.Outcome.CONFLICT, str(exc))
        self._executions.set_owner_throttles(
            {attempt_from_wire(t.task): t.permille for t in req.throttles}
        )
        self._executions.acknowledge(map(attempt_from_wire, req.acknowledged))
        self._ensure_reporter(req.shard)
        return self._renew_reply(req, wire.Outcome.OK, "")

    def stop(self, req: wire.StopRequest) -> wire.StopReply:
        """Stop attempts, with a checkpoint if requested."""
        refusal = self._refusal_reason(req.shard, req.epoch)
        if refusal:
            return wire.StopReply(wire.Outcome.CONFLICT, refusal, [])
        command = TaskStopCommand(wire.TaskState.STOPPED, req.checkpoint, req.reason)
        reports = self._executions.stop(map(attempt_from_wire, req.tasks), command)
        return wire.StopReply(wire.Outcome.OK, "", [report_to_wire(r) for r in reports])

    def _forward(self, req: wire.ForwardRequest) -> RequestOutcome:
        if not req.resent and self._is_data_centre_out():
            return NotRun("the data centre is out")
        return self._forwarder.forward(req)

    def _is_data_centre_out(self) -> bool:
        view = self._config.view
        return bool(view.revision) and not view.data_centre_in(self._options.data_centre)

    def _forward_reply(self, request_id: str, outcome: RequestOutcome) -> wire.ForwardReply:
        if isinstance(outcome, Answered):
            code, reason = wire.Outcome.OK, ""
            status, headers, body = outcome.status, outcome.headers, outcome.body
        else:
            is_refused = isinstance(outcome, NotRun)
            code = wire.Outcome.NOT_RUN if is_refused else wire.Outcome.OUTCOME_UNKNOWN
            reason, status, headers, body = outcome.reason, 0, {}, b""
        return wire.ForwardReply(
            request_id=request_id,
            outcome=code,
            reason=reason,
            status=status,
            headers=headers,
            body=body,
            body_crc32=zlib.crc32(body),
            load=self._load(),
        )

    def _refusal_reason(self, shard: int, epoch: int) -> str:
        """Return why the whole call is refused, or an empty string."""
        if not 0 <= shard < self._options.shards:
            return f"no shard {shard}"
        try:
            self._admission.observe_epoch(shard, epoch)
        except AdmissionError as exc:
            return str(exc)
        return ""

    def _reserve(self, req: wire.ReserveRequest, item: wire.ReserveItem) -> wire.Reservation:
        try:
            reservation = self._admission.reserve(
                req.shard,
                req.epoch,
                attempt_from_wire(item.task),
                item.template_name,
                TaskClass(item.task_class),
                resources_from_wire(item.resources),
            )
        except (AdmissionError, ValueError) as exc:
            return wire.Reservation(item.task, False, "", str(exc))
        return wire.Reservation(item.task, True, reservation.reservation_id, "")

    def _start(self, req: wire.StartRequest, item: wire.StartItem) -> wire.StartResult:
        command = TaskStartCommand(
            attempt_from_wire(item.task),
            item.reservation_id,
            item.account,
            item.input,
            item.checkpoint,
        )
        outcome, reason = self._executions.start(req.shard, req.epoch, command)
        if outcome != wire.Outcome.OK:
            log(Event.START_REFUSED, job_id=item.task.job_id, reason=reason)
        return wire.StartResult(item.task, outcome, reason)

    def _renew_reply(self, req: wire.RenewRequest, outcome: int, reason: str) -> wire.RenewReply:
        is_granted = outcome == wire.Outcome.OK
        reports = self._executions.reports(req.shard) if is_granted else []
        return wire.RenewReply(
            outcome=outcome,
            reason=reason,
            epoch=self._admission.epoch(req.shard),
            tasks=[report_to_wire(report) for report in reports],
            load=self._load(),
            config_revision=self._config.view.revision,
            incarnation=self._incarnation,
            clock_ms=self._executions.clock_ms(),
        )


class WorkerDaemon:
    """Worker process; the composition root constructs it and calls `run`.

    :param options: parameters of the worker.
    :param runtime: the platform's runtime of this VM.
    :param clock: source of time.
    """

    def __init__(self, options: WorkerOptions, runtime: Runtime, clock: Clock):
        self.incarnation = uuid.uuid4().hex
        self._options = options
        self._clock = clock
        self._stopping = threading.Event()
        self._is_leaving = False
        self._lock = threading.Lock()
        self._announcers: dict[Address, threading.Thread] = {}
        self._named_entries: dict[Address, frozenset[Address]] = {}
        self._invalid_names: dict[Address, list[str]] = {}
        self._reporters: dict[int, threading.Event] = {}
        self._wake_announcers = threading.Event()
        self._entries = ChannelPool(EntryService.Client, clock)
        self.admission = Admission(
            options.capacity,
            options.target_resources,
            clock,
            self.incarnation,
            options.reservation_ttl,
        )
        self.config = ConfigCache(self._apply_config)
        self._gauge = PressureGauge(self.config.objective, clock)
        self._throttle = ThrottleController(clock)
        self.forwarder = Forwarder(
            options.target_url,
            options.services,
            options.connections,
            options.queue,
            self.config.max_in_flight,
            self._gauge,
            clock,
        )
        self.executions = Executions(
            runtime,
            self.admission,
            lambda job_id: zlib.crc32(job_id.encode()) % options.shards,
            self.config.task_class,
            self.config.checkpoint_interval,
            clock,
            options.runtime_lease,
        )
        service = WorkerService(
            options,
            self.incarnation,
            self.admission,
            self.executions,
            self.forwarder,
            self.config,
            self.load,
            self._ensure_reporter,
        )
        self._server = Server(
            WireWorkerService.Processor(service),
            options.listen_host or options.host,
            options.port,
            options.wire_connections,
            clock,
        )
        self.port = self._server.port

    def run(self, stop_event: threading.Event) -> None:
        """Serve until the event is set, then make a planned stop."""
        self.start()
        while not self._clock.wait(stop_event, timedelta(hours=1)):
            pass
        self.stop()

    def start(self) -> None:
        """Start all threads; the runtime's tasks are reattached before calls are accepted."""
        self._run_step(self.executions.renew_leases)
        self._run_step(self._tick)
        self._server.start()
        interval = self._options.runtime_lease / RENEWALS_PER_LEASE
        # In separate threads, so that slow state and checkpoint calls do not delay renewals.
        for name, step in (("renew", self.executions.renew_leases), ("tick", self._tick)):
            threading.Thread(
                target=self._repeat, args=(step, interval), name=name, daemon=True
            ).start()
        for entry in self._options.entries:
            self._add_announcer(entry)
        log(Event.PROCESS_STARTED, worker=self._options.worker_id, incarnation=self.incarnation)

    def stop(self) -> None:
        """Make a planned stop: announce it, suspend tasks, drain requests and report the tasks."""
        log(Event.PROCESS_STOPPING, worker=self._options.worker_id)
        expires = self._clock.monotonic() + self._options.stop_timeout - STOP_RESERVE
        self._leave()
        self.executions.suspend_all("the worker is leaving")
        self._wake_reporters()
        grace_ends = self._clock.monotonic() + self._options.stop_grace
        self._clock.sleep(min(grace_ends, expires) - self._clock.monotonic())
        self.forwarder.wait_idle(expires - self._clock.monotonic())
        while self.executions.has_pending() and self._clock.monotonic() < expires:
            self._wake_reporters()
            self._clock.sleep(STOP_POLL_INTERVAL)
        self._server.stop(max(STOP_RESERVE / 2, expires - self._clock.monotonic()))
        self._stopping.set()
        self._wake_announcers.set()
        self._wake_reporters()
        self._entries.close()
        log(Event.PROCESS_STOPPED, worker=self._options.worker_id)

    def load(self) -> wire.Load:
        """Return the worker's current load."""
        return wire.Load(
            in_flight=self.forwarder.in_flight,
            queued=self.forwarder.queued,
            service_time_us=self.forwarder.service_time // MICROSECOND,
            free=resources_to_wire(self.admission.free()),
            leaving=self._is_leaving,
            pressure_permille=self._gauge.permille(),
        )

    def _leave(self) -> None:
        self._is_leaving = True
        self.admission.leave()
        self.forwarder.leave()
        self._wake_announcers.set()
        log(Event.WORKER_LEAVING, worker=self._options.worker_id)

    def _apply_config(self, view: ConfigView) -> None:
        is_in = view.data_centre_in(self._options.data_centre)
        self.admission.apply_config(view.revision, is_in)

    # Runtime.

    def _repeat(self, step: Callable[[], None], interval: timedelta) -> None:
        while not self._clock.wait(self._stopping, interval):
            self._run_step(step)

    def _run_step(self, step: Callable[[], Any], name: str = "") -> Any:
        """Return the result of one step of a loop; None if it fails."""
        name = name or step.__name__
        try:
            return step()
        except RuntimeAdapterError as exc:
            log(Event.RUNTIME_UNAVAILABLE, call=name, reason=str(exc))
        except Exception as exc:
            # The thread must survive an error in one step. Without it every lease would expire,
            # or the worker would no longer be known to an entry or report its tasks.
            log(Event.INTERNAL_ERROR, what=name, reason=repr(exc))
        return None

    def _tick(self) -> None:
        permille = self._throttle.update(self._gauge.permille())
        self.executions.tick(permille)
        self._wake_reporters()

    # Announcements, one thread for each entry.

    def _add_announcer(self, entry: Address) -> None:
        with self._lock:
            if entry in self._announcers or len(self._announcers) >= MAX_ENTRIES:
                return
            thread = threading.Thread(
                target=self._run_announcer, args=(entry,), name=f"announce-{entry}", daemon=True
            )
            self._announcers[entry] = thread
        thread.start()

    def _run_announcer(self, entry: Address) -> None:
        while not self._stopping.is_set() and self._is_entry_known(entry):
            self._run_step(lambda: self._announce(entry), f"announce to {entry}")
            self._clock.wait(self._wake_announcers, self._options.announce_interval)
            if self._is_leaving and not self._stopping.is_set():
                self._clock.wait(self._stopping, self._options.announce_interval / 5)
        with self._lock:
            self._announcers.pop(entry, None)
            self._invalid_names.pop(entry, None)

    def _is_entry_known(self, entry: Address) -> bool:
        if entry in self._options.entries:
            return True
        with self._lock:
            return any(entry in named for named in self._named_entries.values())

    def _announce(self, entry: Address) -> None:
        req = wire.AnnounceRequest(self._header(), self._description(), self.load())
        try:
            reply = self._entries.call(entry, "announce", req, CALL_TIMEOUT)
        except MulberryslipError as exc:
            log(Event.CONNECTION_DROPPED, peer=str(entry), reason=str(exc))
            with self._lock:
                self._named_entries.pop(entry, None)
            return
        self.config.apply_if_newer(reply.config)
        named = self._parse_entries(entry, reply.entries)
        with self._lock:
            self._named_entries[entry] = named
        for other in sorted(named):
            self._add_announcer(other)

    def _parse_entries(self, entry: Address, texts: list[str]) -> frozenset[Address]:
        """Return the addresses that an entry names; invalid ones are logged and left out."""
        named, invalid = set(), []
        for text in texts:
            try:
                named.add(Address.parse(text))
            except ValueError:
                invalid.append(text)
        if invalid != self._invalid_names.get(entry, []):
            what = f"entries named by {entry}"
            log(Event.MESSAGE_INVALID, what=what, reason=f"{invalid!r:.200}")
        self._invalid_names[entry] = invalid
        return frozenset(named)

    def _header(self) -> wire.Header:
        return wire.Header(
            request_id=uuid.uuid4().hex,
            deadline_ms=CALL_TIMEOUT // MILLISECOND,
            config_revision=self.config.view.revision,
            sender=self._options.worker_id,
            incarnation=self.incarnation,
        )

    def _description(self) -> wire.WorkerDescription:
        options = self._options
        return wire.WorkerDescription(
            worker_id=options.worker_id,
            incarnation=self.incarnation,
            data_centre=options.data_centre,
            rack=options.rack,
            host=options.host,
            port=self.port,
            capacity=resources_to_wire(options.capacity),
            services=list(options.services),
        )

    # Reports, one thread for each shard.

    def _ensure_reporter(self, shard: int) -> None:
        with self._lock:
            event = self._reporters.get(shard)
            is_new = event is None
            if is_new:
                event = threading.Event()
                self._reporters[shard] = event
        if is_new:
            threading.Thread(
                target=self._run_reporter, args=(shard, event), name=f"report-{shard}", daemon=True
            ).start()

    def _wake_reporters(self) -> None:
        with self._lock:
            events = list(self._reporters.items())
        for shard, event in events:
            if self._stopping.is_set() or self.executions.pending(shard):
                event.set()

    def _run_reporter(self, shard: int, event: threading.Event) -> None:
        while not self._stopping.is_set():
            self._clock.wait(event, REPORT_INTERVAL)
            event.clear()
            if not self._run_step(lambda: self._report(shard), f"report of shard {shard}"):
                self._clock.wait(self._stopping, REPORT_INTERVAL / 4)

    def _report(self, shard: int) -> bool:
        """Send a shard's pending reports to its owner.

        :returns: False when some of them must be sent again soon.
        """
        reports = self.executions.pending(shard)
        owner = self.executions.owner(shard)
        if not reports or owner is None:
            return True
        req = wire.ReportRequest(self._header(), shard, [report_to_wire(r) for r in reports])
        try:
            reply = self._entries.call(owner, "report", req, CALL_TIMEOUT)
        except WireError as exc:
            log(Event.CONNECTION_DROPPED, peer=str(owner), reason=str(exc))
            return False
        if reply.outcome != wire.Outcome.OK:
            return False
        # The owner replies OK after its commit; the reply names only attempts that have ended.
        acknowledged = set(map(attempt_from_wire, reply.acknowledged))
        committed = [r for r in reports if r.held.is_running or r.held.attempt in acknowledged]
        self.executions.acknowledge_reports(committed)
        return len(committed) == len(reports)


def attempt_from_wire(task: wire.TaskRef) -> Attempt:
    """Convert a task reference from its Thrift type."""
    return Attempt(TaskKey(task.job_id, task.index), task.attempt)


def resources_from_wire(res: wire.Resources) -> Resources:
    """Convert resources from their Thrift type."""
    return Resources(res.cpu_millis, res.memory_mb, res.accelerators, res.slots)


def resources_to_wire(res: Resources) -> wire.Resources:
    """Convert resources to their Thrift type."""
    return wire.Resources(*res.amounts())


def report_to_wire(report: AttemptReport) -> wire.TaskReport:
    """Convert the report of an attempt to its Thrift type."""
    held = report.held
    key = held.attempt.key
    return wire.TaskReport(
        task=wire.TaskRef(key.job_id, key.index, held.attempt.number),
        state=held.state,
        checkpoint=held.checkpoint,
        result=held.result,
        reason=held.reason,
        usage=resources_to_wire(held.usage),
        throttle_permille=held.throttle_permille,
    )
