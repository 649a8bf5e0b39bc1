"""The entry process: serves callers, operators and workers, and runs the shard owners."""

import json
import random
import sys
import threading
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

import attrs
from mulberryslip import records
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.exceptions import InvalidMessageError, StoreError
from mulberryslip.fleets import Fleet
from mulberryslip.metrics import Metrics
from mulberryslip.outcomes import Committed
from mulberryslip.retries import RetryBudget
from mulberryslip.routings import LinkDelays, Router
from mulberryslip.servers import Server
from mulberryslip.stores import Store, StoredValue
from mulberryslip.wire import EntryService as EntryWire
from mulberryslip.wire import WorkerService as WorkerWire

from .callers import CallerInterface
from .client_limits import ClientLimits, Clients
from .listeners import HTTPListener
from .operators import OperatorInterface
from .reports import EntryReports
from .requests import RequestService, SenderIdentity
from .responses import Drain
from .services import EntryService, Owner, OwnerDirectory, ShardClient
from .sources import ConfigSource, ConfigWriter, InvalidValueLog

ENTRIES_PREFIX = "entries/"
REGISTRATION_INTERVAL = timedelta(seconds=1)
DIRECTORY_INTERVAL = timedelta(seconds=2)
FLEET_INTERVAL = timedelta(seconds=1)
OPERATOR_THREADS = 4
OPERATOR_CONNECTIONS = 128
CALLER_THREADS = 64
"""With 40 callers of a service that takes 300 ms, 16 threads refused 5 of 6 of its requests. 64
threads refused none, at the same latency of other services and with 2 MB more memory."""

SWITCH_INTERVAL_S = 0.001
"""Interval at which Python threads yield the interpreter lock. At the default of 5 ms, a CPU-bound
thread delays other threads by up to 5 ms each time they need the lock."""

SERVICE_SHARE_PERCENT = 75
"""Share of the threads that one service may use; the rest is reserved for other services, jobs and
health checks."""

SERVER_GRACE = timedelta(seconds=1)
OWNER_STOP_TIMEOUT = timedelta(seconds=2)
FINAL_RESPONSE_TIME = timedelta(milliseconds=200)
STOP_RESERVE = timedelta(seconds=2)
"""Part of the stop timeout that is reserved for closing connections and ending threads."""


class Session(Protocol):
    """The part of `sessions.Session` that the entry needs."""

    session_id: str

    def start(self) -> None:
        """Start renewing."""

    def stop(self) -> None:
        """End the lease, which deletes its keys."""


class RunningOwner(Owner, Protocol):
    """An owner with its claim loop."""

    def run(self, stop: threading.Event) -> None:
        """Claim the shard whenever it is free and schedule its tasks, until stopped."""

    def release(self) -> None:
        """Release the shard."""


@attrs.frozen
class EntryOptions:
    """Parameters of an entry.

    :param entry_id: name of the entry.
    :param incarnation: differs for each start of the process.
    :param data_centre: where the entry runs.
    :param host: IP address at which other processes reach the entry.
    :param listen_host: IP address to listen on.
    :param wire_port: TCP port of the Thrift server for workers and other entries.
    :param callers_port: TCP port for callers.
    :param operators_port: TCP port for operators.
    :param threads: callers' requests that are served concurrently.
    :param wire_connections: limit on connections of workers and other entries.
    :param links: one-way latencies in milliseconds by `"data-centre/data-centre"`.
    :param stop_grace: time during which health checks fail before requests are refused.
    :param stop_timeout: longest time of a planned stop.
    :param client_limits: limits for callers and operators.
    """

    entry_id: str
    incarnation: str
    data_centre: str
    host: str
    listen_host: str
    wire_port: int
    callers_port: int
    operators_port: int
    threads: int = CALLER_THREADS
    wire_connections: int = 512
    links: Mapping[str, float] = attrs.field(factory=dict)
    stop_grace: timedelta = timedelta(seconds=1)
    stop_timeout: timedelta = timedelta(seconds=10)
    client_limits: ClientLimits = ClientLimits()

    def identity(self) -> SenderIdentity:
        """Return the identity of the entry in messages."""
        return SenderIdentity(self.entry_id, self.incarnation, self.data_centre)


class EntryRegistration:
    """Register the entry as `entries/<id>` under the session's lease, and list the other entries.

    :param address: returns this entry's Thrift address.
    """

    def __init__(
        self,
        store: Store,
        session: Session,
        options: EntryOptions,
        address: Callable[[], Address],
        clock: Clock,
    ):
        self._store = store
        self._session = session
        self._options = options
        self._address = address
        self._clock = clock
        self._lock = threading.Lock()
        self._registered_session_id = ""
        self._addresses: list[str] = []
        self._invalid_values = InvalidValueLog()

    def addresses(self) -> list[str]:
        """Return `host:port` of every registered entry, this one included."""
        with self._lock:
            return sorted({*self._addresses, str(self._address())})

    def run(self, stop: threading.Event) -> None:
        """Renew the registration and the list of entries periodically, until stopped."""
        next_listing = self._clock.monotonic()
        while not stop.is_set():
            try:
                self.register()
                if self._clock.monotonic() >= next_listing:
                    self.refresh()
                    next_listing = self._clock.monotonic() + DIRECTORY_INTERVAL
            except StoreError as exc:
                log(Event.STORE_UNAVAILABLE, call="register entry", reason=str(exc))
            self._clock.wait(stop, REGISTRATION_INTERVAL)

    def register(self) -> None:
        """Write the registration if the session is a new one.

        :raises StoreError: the store did not answer.
        """
        session_id = self._session.session_id
        if not session_id or session_id == self._registered_session_id:
            return
        key = ENTRIES_PREFIX + self._options.entry_id
        stored = self._store.get(key)
        version = 0 if stored is None else stored.version
        if isinstance(self._store.put(key, self._record(), version, session_id), Committed):
            self._registered_session_id = session_id

    def refresh(self) -> None:
        """Read the list of entries.

        :raises StoreError: the store did not answer; the last list is kept.
        """
        listing = self._store.list(ENTRIES_PREFIX)
        addresses_found = [self._parse_address(stored) for stored in listing.values]
        with self._lock:
            self._addresses = [str(address) for address in addresses_found if address is not None]

    def _parse_address(self, stored: StoredValue) -> Address | None:
        try:
            return Address.from_record(records.parse_object(stored.value))
        except InvalidMessageError as exc:
            self._invalid_values.record(stored, exc)
            return None

    def _record(self) -> bytes:
        address = self._address()
        record = {
            "entry_id": self._options.entry_id,
            "incarnation": self._options.incarnation,
            "data_centre": self._options.data_centre,
            "host": address.host,
            "port": address.port,
        }
        return json.dumps(record).encode()


class EntryDaemon:
    """Builds, starts and stops the components of one entry process.

    :param session: lease of the process in the store.
    :param fleet: known workers, shared with the owners.
    :param source: the configuration, shared with the owners.
    :param owners: owner of each shard, by shard number from 0.
    :param store_calls: returns the number of calls to the store by kind.
    :param background: functions to run in background threads, by thread name; each returns once
        the event passed to it is set.
    """

    def __init__(
        self,
        options: EntryOptions,
        store: Store,
        session: Session,
        fleet: Fleet,
        source: ConfigSource,
        owners: Mapping[int, RunningOwner],
        clock: Clock,
        rng: random.Random,
        store_calls: Callable[[], dict[str, int]] = dict,
        background: Mapping[str, Callable[[threading.Event], None]] | None = None,
    ):
        self._options = options
        self._session = session
        self._fleet = fleet
        self._source = source
        self._owners = owners
        self._background = background or {}
        self._clock = clock
        self._stop = threading.Event()
        self._shard_threads: list[threading.Thread] = []
        self.drain = Drain(clock)
        self.metrics = Metrics()
        self._worker_channels = ChannelPool(WorkerWire.Client, clock)
        self._entry_channels = ChannelPool(EntryWire.Client, clock)
        self._registration = EntryRegistration(store, session, options, self.wire_address, clock)
        self._calls = ShardClient(
            options.identity(),
            owners,
            OwnerDirectory(store, clock),
            self._entry_channels,
            source.revision,
            clock,
            rng,
        )
        router = Router(clock, rng, LinkDelays(options.links))
        self._requests = RequestService(
            options.identity(),
            fleet,
            router,
            self._worker_channels,
            self._calls,
            self.metrics,
            RetryBudget(),
            source.revision,
            clock,
            rng,
            max_per_service=max(1, options.threads * SERVICE_SHARE_PERCENT // 100),
        )
        reports = EntryReports(fleet, router, self._calls, self.metrics, clock, store_calls)
        callers = CallerInterface(self._requests, self._calls, source.view, self.drain, clock)
        writer = ConfigWriter(store, source, clock, rng)
        operators = OperatorInterface(source, writer, reports, self.drain)
        self._open_servers(callers, operators)
        source.subscribe(fleet.apply_config)

    def _open_servers(self, callers: CallerInterface, operators: OperatorInterface) -> None:
        options = self._options
        service = EntryService(self._fleet, self._source, self._calls, self._registration.addresses)
        self._wire = Server(
            EntryWire.Processor(service),
            options.listen_host,
            options.wire_port,
            options.wire_connections,
            self._clock,
        )
        clients = Clients(options.client_limits, self.metrics, self._clock)
        self._callers = HTTPListener(
            options.listen_host,
            options.callers_port,
            callers.application(),
            options.threads,
            clients,
        )
        self._operators = HTTPListener(
            options.listen_host,
            options.operators_port,
            operators.application(),
            OPERATOR_THREADS,
            clients,
            OPERATOR_CONNECTIONS,
        )

    def wire_address(self) -> Address:
        """Return the address at which other processes reach the Thrift server."""
        return Address(self._options.host, self._wire.port)

    @property
    def callers_port(self) -> int:
        """TCP port for callers."""
        return self._callers.port

    @property
    def operators_port(self) -> int:
        """TCP port for operators."""
        return self._operators.port

    def start(self) -> None:
        """Start all threads and servers."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._session.start()
        self._start_thread("config-reads", lambda: self._source.run_reads(self._stop))
        self._start_thread("config-watch", lambda: self._source.run_watch(self._stop))
        self._start_thread("registration", lambda: self._registration.run(self._stop))
        self._start_thread("fleet", self._run_fleet)
        self._shard_threads = [
            self._start_thread(f"shard-{shard}", lambda owner=owner: owner.run(self._stop))
            for shard, owner in self._owners.items()
        ]
        self._wire.start()
        self._callers.start()
        self._operators.start()
        log(Event.PROCESS_STARTED, role="entry", id=self._options.entry_id)

    def stop(self) -> None:
        """Stop as in section "Planned stop" of the design; return within the stop timeout."""
        expires = self._clock.monotonic() + self._options.stop_timeout
        log(Event.PROCESS_STOPPING, role="entry", id=self._options.entry_id)
        self.drain.leave()
        self._clock.sleep(self._options.stop_grace)
        self.drain.close()
        # Release the shards while requests finish, so that new owners can claim them at once.
        self._stop.set()
        release_thread = threading.Thread(target=self._release, name="release", daemon=True)
        release_thread.start()
        drained = self.drain.wait(expires - STOP_RESERVE - self._clock.monotonic())
        self._callers.close()
        self._operators.close()
        # Leave time for the responses on connections that were accepted just before.
        self._clock.sleep(FINAL_RESPONSE_TIME)
        remaining = expires - SERVER_GRACE - self._clock.monotonic()
        release_thread.join(max(0.0, remaining.total_seconds()))
        self._close_servers()
        log(Event.PROCESS_STOPPED, role="entry", id=self._options.entry_id, drained=drained)

    def _release(self) -> None:
        # The loop of an owner must have ended before its shard is released.
        self._join(self._shard_threads, OWNER_STOP_TIMEOUT)
        self._run_all([owner.release for owner in self._owners.values()], OWNER_STOP_TIMEOUT)
        # Stopping the session revokes the lease, which deletes the registration.
        self._session.stop()

    def _close_servers(self) -> None:
        stops = [self._callers.stop, self._operators.stop, lambda: self._wire.stop(SERVER_GRACE)]
        self._run_all(stops, SERVER_GRACE)
        self._worker_channels.close()
        self._entry_channels.close()

    def _run_all(self, targets: Sequence[Callable[[], None]], timeout: timedelta) -> None:
        threads = [threading.Thread(target=target, daemon=True) for target in targets]
        for thread in threads:
            thread.start()
        self._join(threads, timeout)

    def _join(self, threads: Sequence[threading.Thread], timeout: timedelta) -> None:
        expires = self._clock.monotonic() + timeout
        for thread in threads:
            remaining = expires - self._clock.monotonic()
            thread.join(max(0.0, remaining.total_seconds()))

    def _run_fleet(self) -> None:
        while not self._stop.is_set():
            self._fleet.expire()
            self._clock.wait(self._stop, FLEET_INTERVAL)

    def _start_thread(self, name: str, target: Callable[[], None]) -> threading.Thread:
        thread = threading.Thread(
            target=self._run_with_restart, args=(name, target), name=name, daemon=True
        )
        thread.start()
        return thread

    def _run_with_restart(self, name: str, target: Callable[[], None]) -> None:
        """Restart a loop after an unexpected error, because the process cannot work without it."""
        while not self._stop.is_set():
            try:
                target()
            except Exception as exc:
                log(Event.INTERNAL_ERROR, where=name, error=repr(exc))
                self._clock.wait(self._stop, REGISTRATION_INTERVAL)
