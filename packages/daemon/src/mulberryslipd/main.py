"""Entry point of `mulberryslipd`: flags, settings and construction of the role's components."""

import importlib
import random
import signal
import sys
import uuid
from collections.abc import Sequence
from datetime import timedelta
from types import ModuleType
from typing import Any, Protocol

import attrs
from absl import flags
from mulberryslip import settings
from mulberryslip.channels import Address, ChannelPool
from mulberryslip.clocks import Clock, SystemClock
from mulberryslip.dispatches import Dispatcher, estimated_run_time
from mulberryslip.evacuations import EvacuationPlanner
from mulberryslip.events import Event, log
from mulberryslip.exceptions import MulberryslipError, SettingsError
from mulberryslip.fleets import Fleet
from mulberryslip.headrooms import InterferenceModel
from mulberryslip.interferences import Interferences
from mulberryslip.journals import Journal
from mulberryslip.logs import LogWriter
from mulberryslip.metrics import Metrics
from mulberryslip.partitions import pool_of_agent
from mulberryslip.placements import Placement
from mulberryslip.quotas import Quotas
from mulberryslip.runtimes import HTTPRuntime
from mulberryslip.servers import Server
from mulberryslip.settings import Settings
from mulberryslip.signals import SignalQueue
from mulberryslip.stores import HTTPStore
from mulberryslip.vms import VMInventory
from mulberryslip.wide_steps import WideStepGate
from mulberryslip.wire import PoolService as PoolWire
from mulberryslip.wire import WorkerService as WorkerWire

from .agents import Agent, PoolService
from .client_limits import ClientLimits, Clients
from .daemons import AgentDaemon, GatewayDaemon, metrics_application
from .directories import PoolOwnerDirectory, owner_key
from .entries import EntryDaemon, EntryOptions
from .gateways import Gateway
from .intents import PoolConfigSource
from .listeners import HTTPListener
from .owners import ShardOwner
from .ownerships import PoolLeaseTimes
from .pools import PoolOwner
from .responses import Drain
from .sessions import Session
from .sources import ConfigSource
from .terms import LeaseTimes, OwnerIdentity
from .usages import UsageExchange
from .workers import WorkerDaemon, WorkerOptions

EXIT_FAILED = 1
EXIT_USAGE = 2

AUXILIARY_THREADS = 2
"""Threads of each listener that serves about one short request per second."""

AUXILIARY_CONNECTIONS = 128
"""Connections of each such listener; its clients open less than ten."""

AUXILIARY_BODY_BYTES = 16 * 1024
"""Limit on bodies sent to health checks and metrics, which have no use for one."""

MAX_POOL_CONNECTIONS = 1024
"""Limit for connections to a pool owner: two from each agent and several from each gateway."""

SPARE_WATCHES = 4
"""Watches of a process beside those of the pools' owners: those of the configuration and of the
owner's confirmations, and watches that the store still holds open after the process has given them
up."""

USAGE = """\
usage: mulberryslipd --config=FILE.toml [--check]

Runs one process of mulberryslip. The role, entry, worker, gateway or agent, is a setting;
docs/OPERATIONS.md lists all settings, and examples/ holds complete files. The log goes to standard
output, one JSON object a line. SIGTERM starts a planned stop.

exit codes: 0 planned stop or settings checked, 1 failed, 2 wrong usage or settings"""


class Daemon(Protocol):
    """A process of any role."""

    def start(self) -> None:
        """Start serving in background threads."""

    def stop(self) -> None:
        """Stop as planned."""


def run() -> None:
    """Run the daemon and exit the process."""
    sys.exit(main(sys.argv))


def define_flags() -> flags.FlagValues:
    """Define the command-line flags, without parsing them."""
    values = flags.FlagValues()
    flags.DEFINE_string("config", None, "TOML file with the settings.", flag_values=values)
    flags.DEFINE_boolean("check", False, "Check the settings and exit.", flag_values=values)
    flags.DEFINE_boolean("help", False, "Print this help.", flag_values=values)
    return values


def main(argv: Sequence[str]) -> int:
    """Run one process.

    :param argv: program name and flags.
    :returns: the exit code.
    """
    values = define_flags()
    try:
        unknown_args = values(argv)[1:]
    except flags.Error as exc:
        return _usage_error(str(exc))
    if values.help:
        print(USAGE)
        return 0
    if not values.config or unknown_args:
        return _usage_error(
            "--config is missing" if not unknown_args else f"unknown argument {unknown_args[0]!r}"
        )
    try:
        cfg = settings.load(values.config)
    except SettingsError as exc:
        return _settings_error(exc)
    return 0 if values.check else serve(cfg, values.config)


def serve(cfg: Settings, path: str) -> int:
    """Run the role until SIGTERM or SIGINT; SIGHUP rereads the settings file.

    :param path: settings file.
    :returns: the exit code.
    """
    clock = SystemClock()
    writer = LogWriter(sys.stdout, clock)
    writer.start()
    signals = SignalQueue(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    try:
        daemon = build(cfg, clock)
        daemon.start()
        while signals.get() == signal.SIGHUP:
            check_reloaded_settings(cfg, path)
        daemon.stop()
    except (MulberryslipError, OSError) as exc:
        log(Event.INTERNAL_ERROR, what="the process cannot serve", reason=str(exc))
        print(f"mulberryslipd: {exc}", file=sys.stderr)
        return EXIT_FAILED
    finally:
        writer.stop()
    return 0


def check_reloaded_settings(cfg: Settings, path: str) -> None:
    """Reread the settings file and log which tables differ.

    Addresses and limits of a process are fixed while it runs; changes take effect at its next
    start.
    """
    try:
        reloaded = settings.load(path)
    except SettingsError as exc:
        log(Event.SETTINGS_INVALID, faults=exc.faults)
        return
    changed = [
        name
        for name in attrs.fields_dict(Settings)
        if getattr(reloaded, name) != getattr(cfg, name)
    ]
    log(Event.SETTINGS_RELOADED, path=path, changed_tables=changed)


def build(cfg: Settings, clock: Clock) -> Daemon:
    """Construct the daemon of the configured role."""
    builders = {
        "entry": build_entry,
        "worker": build_worker,
        "gateway": build_gateway,
        "agent": build_agent,
    }
    return builders[cfg.process["role"]](cfg, clock)


def build_worker(cfg: Settings, clock: Clock) -> WorkerDaemon:
    """Construct a worker."""
    process, role_settings = cfg.process, cfg.role
    options = WorkerOptions(
        worker_id=process["id"],
        data_centre=process["data_centre"],
        rack=process["rack"],
        host=process["host"],
        listen_host=cfg.listen_host(),
        port=role_settings["wire_port"],
        target_url=role_settings["target_url"],
        services=tuple(role_settings["services"]),
        entries=tuple(Address.parse(text) for text in role_settings["entries"]),
        capacity=cfg.capacity(),
        target_resources=cfg.target_resources(),
        connections=role_settings["connections"],
        queue=role_settings["queue"],
        shards=cfg.cluster["shards"],
        reservation_ttl=cfg.duration("reservation"),
        runtime_lease=cfg.duration("runtime_lease"),
        announce_interval=cfg.duration("announce_interval"),
        stop_timeout=cfg.duration("stop_timeout"),
        stop_grace=cfg.duration("stop_grace"),
    )
    return WorkerDaemon(options, HTTPRuntime(role_settings["runtime_url"]), clock)


@attrs.frozen
class EntryParts:
    """Components of an entry that its shard owners share."""

    clock: Clock
    store: HTTPStore
    session: Session
    fleet: Fleet
    source: ConfigSource
    channels: ChannelPool
    quotas: Quotas


def build_entry(cfg: Settings, clock: Clock) -> EntryDaemon:
    """Construct an entry with a shard owner for each shard."""
    options = entry_options(cfg)
    parts = build_parts(cfg, clock)
    shards = range(cfg.cluster["shards"])
    owners = {shard: build_owner(cfg, options, parts, shard) for shard in shards}

    def owned() -> list[int]:
        return [shard for shard, owner in owners.items() if owner.is_owner()]

    usage = UsageExchange(parts.store, parts.quotas, owned, clock)
    return EntryDaemon(
        options,
        parts.store,
        parts.session,
        parts.fleet,
        parts.source,
        owners,
        clock,
        random.Random(),
        parts.store.call_counts,
        {"usage": usage.run},
    )


def build_parts(cfg: Settings, clock: Clock) -> EntryParts:
    """Construct the components that the shard owners of an entry share."""
    store = HTTPStore(cfg.store["url"], cfg.store_timeout())
    return EntryParts(
        clock=clock,
        store=store,
        session=Session(store, cfg.store_lease_ttl(), clock),
        fleet=Fleet(clock, cfg.duration("worker_silence")),
        source=ConfigSource(store, clock, cfg.duration("config_read_interval")),
        channels=ChannelPool(WorkerWire.Client, clock),
        quotas=Quotas(clock),
    )


def entry_options(cfg: Settings) -> EntryOptions:
    """Return an entry's options from its settings."""
    process, role_settings = cfg.process, cfg.role
    return EntryOptions(
        entry_id=process["id"],
        incarnation=uuid.uuid4().hex,
        data_centre=process["data_centre"],
        host=process["host"],
        listen_host=cfg.listen_host(),
        wire_port=role_settings["wire_port"],
        callers_port=role_settings["callers_port"],
        operators_port=role_settings["operators_port"],
        threads=role_settings["threads"],
        wire_connections=role_settings["wire_connections"],
        links=role_settings["links"],
        stop_grace=cfg.duration("stop_grace"),
        stop_timeout=cfg.duration("stop_timeout"),
        client_limits=client_limits(cfg),
    )


def client_limits(cfg: Settings) -> ClientLimits:
    """Return the limits for clients from the settings."""
    return ClientLimits(
        memory_mb=cfg.http["memory_mb"],
        max_marks=cfg.http["max_marks"],
        transfer_timeout=timedelta(milliseconds=cfg.http["transfer_timeout_ms"]),
        connections=cfg.http["connections"],
        connections_per_address=cfg.http["connections_per_address"],
    )


def build_owner(cfg: Settings, options: EntryOptions, parts: EntryParts, shard: int) -> ShardOwner:
    """Construct the owner of a shard with its own policies."""
    # Each shard sees only its own tasks, so it may use only its share of the fleet's evictions.
    interferences = Interferences(shard, 1 / cfg.cluster["shards"])
    evacuations = EvacuationPlanner(parts.clock)
    placement = Placement(
        parts.clock,
        quotas=parts.quotas,
        interferences=interferences,
        return_limit=evacuations,
        source=f"shard-{shard}",
        seed=shard,
    )
    times = LeaseTimes(
        cfg.duration("task_lease"), cfg.duration("runtime_lease"), cfg.duration("reservation")
    )
    return ShardOwner(
        shard,
        parts.store,
        parts.session,
        Journal(parts.store, shard, cfg.role["journal_slots"]),
        parts.fleet,
        parts.source,
        placement,
        parts.channels,
        parts.clock,
        OwnerIdentity(options.entry_id, options.incarnation, options.host, options.wire_port),
        policies=(evacuations, interferences),
        times=times,
        renew_interval=cfg.duration("renew_interval"),
        quotas=parts.quotas,
        on_task_finished=evacuations.durations.observe,
    )


@attrs.frozen
class PoolParts:
    """Components that gateways and agents have in common.

    :param adapter: module that implements the platform's protocols.
    :param clients: limits and memory of the clients of all HTTP ports.
    """

    adapter: ModuleType
    store: Any
    source: PoolConfigSource
    channels: ChannelPool
    metrics: Metrics
    clients: Clients


def build_pool_parts(cfg: Settings, clock: Clock) -> PoolParts:
    """Construct the components that gateways and agents have in common."""
    adapter = importlib.import_module(cfg.adapter["module"])
    max_watches = cfg.pools() + SPARE_WATCHES
    store = adapter.PlatformStore(cfg.store["url"], cfg.store_timeout(), clock, max_watches)
    metrics = Metrics()
    return PoolParts(
        adapter=adapter,
        store=store,
        source=PoolConfigSource(
            store, adapter.OPERATOR_PREFIX, adapter.decode_config, clock, random.Random()
        ),
        channels=ChannelPool(PoolWire.Client, clock),
        metrics=metrics,
        clients=Clients(client_limits(cfg), metrics, clock),
    )


def build_directory(parts: PoolParts, pool: int, clock: Clock) -> PoolOwnerDirectory:
    """Construct the directory of a pool's owner.

    :param pool: number of the pool.
    """
    return PoolOwnerDirectory(parts.store, owner_key(pool), clock, random.Random())


def build_gateway(cfg: Settings, clock: Clock) -> GatewayDaemon:
    """Construct a gateway."""
    parts = build_pool_parts(cfg, clock)
    name = cfg.process["id"]
    directories = [build_directory(parts, pool, clock) for pool in range(cfg.pools())]
    gateway = Gateway(
        name,
        directories,
        parts.channels,
        parts.source,
        parts.metrics,
        clock,
        random.Random(),
    )
    drain = Drain(clock)
    callers = parts.adapter.callers_application(gateway, drain, clock)
    health = parts.adapter.health_application(gateway.is_ready, drain)
    return GatewayDaemon(
        name=name,
        directories=directories,
        source=parts.source,
        channels=parts.channels,
        drain=drain,
        callers=_callers_listener(cfg, callers, parts.clients),
        health=_auxiliary_listener(cfg.role["health"], health, parts.clients),
        metrics=_metrics_listener(cfg, parts),
        clock=clock,
        stop_grace=cfg.duration("stop_grace"),
    )


def build_agent(cfg: Settings, clock: Clock) -> AgentDaemon:
    """Construct an agent and its pool owner, which stays inactive until it is elected."""
    parts = build_pool_parts(cfg, clock)
    name = cfg.process["id"]
    pool = pool_of_agent(name, cfg.process["data_centre"], cfg.pools())
    directory = build_directory(parts, pool, clock)
    address = Address.parse(cfg.role["wire"])
    runner = parts.adapter.PlatformRunner(cfg.role["worker_url"], clock)
    identity = OwnerIdentity(name, uuid.uuid4().hex, *_host_and_port(address))
    owner = build_pool_owner(cfg, parts, pool, directory, identity, clock)
    agent = Agent(
        runner,
        directory,
        parts.channels,
        address,
        name,
        clock,
        owner.request_takeover,
        owner.request_observation,
    )
    server = Server(
        PoolWire.Processor(PoolService(owner)),
        address.host,
        address.port,
        MAX_POOL_CONNECTIONS,
        clock,
    )
    announcements = parts.adapter.announcements_application(agent.announce, agent.mark_leaving)
    return AgentDaemon(
        name=name,
        agent=agent,
        owner=owner,
        directory=directory,
        server=server,
        channels=parts.channels,
        announcements=_auxiliary_listener(
            cfg.role["announcements"],
            announcements,
            parts.clients,
            parts.adapter.MAX_ANNOUNCEMENT_BYTES,
        ),
        metrics=_metrics_listener(cfg, parts),
        clock=clock,
    )


def build_pool_owner(
    cfg: Settings,
    parts: PoolParts,
    pool: int,
    directory: PoolOwnerDirectory,
    identity: OwnerIdentity,
    clock: Clock,
) -> PoolOwner:
    """Construct the owner of a pool.

    :param pool: number of the pool.
    :param directory: tracks the owner of this pool.
    """
    times = PoolLeaseTimes(
        lease=timedelta(milliseconds=cfg.pool["lease_ms"]),
        store_lease=cfg.store_lease_ttl(),
        max_lease=timedelta(milliseconds=cfg.pool["max_worker_lease_ms"]),
    )
    return PoolOwner(
        pool,
        parts.store,
        directory,
        parts.source,
        lambda: Session(parts.store, times.store_lease, clock),
        Dispatcher(
            estimated_run_time,
            InterferenceModel(),
            reserves_for_large_tasks=cfg.pool["reserve_for_large_tasks"],
        ),
        identity,
        parts.metrics,
        clock,
        random.Random(),
        times,
        build_inventory(cfg, parts, clock),
        WideStepGate(cfg.pool["wide_step_tasks"]),
    )


def build_inventory(cfg: Settings, parts: PoolParts, clock: Clock) -> VMInventory | None:
    """Construct the client of the platform's list of VMs, if the settings name one."""
    url = cfg.vms["url"]
    return parts.adapter.PlatformInventory(url, cfg.store_timeout(), clock) if url else None


def _host_and_port(address: Address) -> tuple[str, int]:
    return address.host, address.port


def _callers_listener(cfg: Settings, application: Any, clients: Clients) -> HTTPListener:
    host, port = _host_and_port(Address.parse(cfg.role["callers"]))
    return HTTPListener(host, port, application, cfg.role["threads"], clients)


def _auxiliary_listener(
    address: str, application: Any, clients: Clients, max_body_bytes: int = AUXILIARY_BODY_BYTES
) -> HTTPListener:
    host, port = _host_and_port(Address.parse(address))
    return HTTPListener(
        host,
        port,
        application,
        AUXILIARY_THREADS,
        clients,
        AUXILIARY_CONNECTIONS,
        max_body_bytes,
    )


def _metrics_listener(cfg: Settings, parts: PoolParts) -> HTTPListener:
    application = metrics_application(parts.metrics, parts.store.call_counts)
    return _auxiliary_listener(cfg.role["metrics"], application, parts.clients)


def _usage_error(message: str) -> int:
    print(f"mulberryslipd: {message}\n\n{USAGE}", file=sys.stderr)
    return EXIT_USAGE


def _settings_error(exc: SettingsError) -> int:
    log(Event.SETTINGS_INVALID, faults=exc.faults)
    for fault in exc.faults:
        print(f"mulberryslipd: {fault}", file=sys.stderr)
    return EXIT_USAGE
