"""Scenarios of the benchmark, one per deployment of the design page. Data only.

They were fixed before the policy was measured; `docs/policy.md` records the first results.
"""

from collections.abc import Mapping

import attrs
from mulberryslip import Priority, Resources, TaskClass


@attrs.frozen
class ServiceProfile:
    """A latency-critical service and its load.

    :param median_ms: median service time on an idle worker.
    :param sigma: standard deviation of the logarithm of the service time (log-normal).
    :param rate_hz: simulated requests per second.
    :param load_multiplier: real requests per simulated request when the load is calculated.
    """

    name: str
    objective_ms: int
    deadline_ms: int
    median_ms: float
    sigma: float
    rate_hz: int
    load_multiplier: int
    idempotent: bool
    hedge_after_ms: int


@attrs.frozen
class TaskProfile:
    """A template of tasks: declared size and actual usage.

    :param declared: declared size; deliberately far from the actual usage.
    :param cpu_millis: actual mean usage.
    :param memory_mb: actual mean usage.
    :param work_s: mean work in seconds at full speed; 0 for tasks that never finish.
    :param backlog_weight: relative weight in the backlog.
    """

    name: str
    account: str
    declared: Resources
    cpu_millis: int
    memory_mb: int
    work_s: int
    backlog_weight: int
    task_class: TaskClass = TaskClass.BATCH
    priority: Priority = Priority.NORMAL


@attrs.frozen
class ExternalNoise:
    """Periodic bursts of external noise that slow services on some workers.

    :param period_s: time from the start of one burst to the next, in seconds.
    :param length_s: duration of a burst in seconds.
    :param worker_share: share of the workers that a burst affects.
    :param slowdown: slowdown added during a burst.
    """

    period_s: int
    length_s: int
    worker_share: float
    slowdown: float


@attrs.frozen
class Departure:
    """A data centre that leaves and returns; times in seconds from the start.

    :param out_s: operators take it out of service.
    :param gone_s: its VMs disappear.
    :param back_s: its VMs return and operators put it back into service.
    :param until_s: end of the interval, from `out_s`, over which completed work is measured.
    """

    data_centre: str
    out_s: int
    gone_s: int
    back_s: int
    until_s: int


@attrs.frozen
class Scenario:
    """One simulated deployment.

    :param workers: number of workers by data centre.
    :param capacity: capacity for tasks of one worker.
    :param link_ms: one-way delay between data centres in milliseconds.
    :param slowdown: slowdown that one task adds to a service, by (service, template).
    :param shifted_slowdown: entries that replace those of `slowdown` in the second half of the run.
    :param kill_backoff_s: delay in seconds before a task killed for memory is queued again.
    :param memory_ramp_s: seconds in which the memory use of an attempt grows by the full size.
    :param contention: slowdown that each other task adds to a task, by template of the other.
    :param measurement_lag_s: lag of measured pressure and usage in seconds.
    :param missing_report_share: share of pressure reports that are lost.
    :param setup_s: seconds from the start of an attempt until it makes progress.
    :param packet_loss_share: share of requests between data centres that lose a packet.
    """

    name: str
    duration_s: int
    workers: Mapping[str, int]
    capacity: Resources
    link_ms: float
    services: tuple[ServiceProfile, ...]
    tasks: tuple[TaskProfile, ...]
    backlog: int
    watches: int
    urgent_every_s: int
    slowdown: Mapping[tuple[str, str], float]
    shifted_slowdown: Mapping[tuple[str, str], float]
    contention: Mapping[str, float]
    external_noise: ExternalNoise
    departure: Departure
    measurement_lag_s: int = 3
    missing_report_share: float = 0.1
    setup_s: int = 3
    kill_backoff_s: int = 20
    memory_ramp_s: int = 30
    checkpoint_every_s: int = 60
    checkpoint_mb_per_s: int = 4000
    packet_loss_share: float = 0.01


GRANITE_HOLLOW = Scenario(
    name="token ledger",
    duration_s=600,
    workers={"granite": 3, "hollow": 3, "concord": 3, "marsh": 2},
    capacity=Resources(60_000, 240_000, 0, 8),
    link_ms=4.0,
    services=(
        ServiceProfile("balance-check", 50, 500, 8.0, 0.5, 40, 8, True, 30),
        ServiceProfile("statement", 400, 2000, 60.0, 0.5, 8, 4, False, 0),
    ),
    tasks=(
        TaskProfile(
            "reconciliation", "ledger", Resources(20_000, 60_000, 0, 1), 7_000, 22_000, 120, 40
        ),
        TaskProfile("ledger-scan", "audit", Resources(4_000, 16_000, 0, 1), 6_000, 40_000, 150, 25),
        TaskProfile("archive", "audit", Resources(8_000, 20_000, 0, 1), 5_000, 15_000, 60, 30),
        TaskProfile(
            "close-of-day", "ledger", Resources(40_000, 150_000, 0, 1), 30_000, 90_000, 90, 5
        ),
        TaskProfile(
            "correction",
            "ledger",
            Resources(2_000, 4_000, 0, 1),
            1_500,
            3_000,
            20,
            0,
            priority=Priority.URGENT,
        ),
        TaskProfile(
            "circulation",
            "ledger",
            Resources(2_000, 4_000, 0, 1),
            1_000,
            3_000,
            0,
            0,
            task_class=TaskClass.WATCH,
        ),
    ),
    backlog=900,
    watches=11,
    urgent_every_s=8,
    slowdown={
        ("balance-check", "reconciliation"): 0.06,
        ("balance-check", "ledger-scan"): 0.3,
        ("balance-check", "archive"): 0.08,
        ("balance-check", "close-of-day"): 0.25,
        ("balance-check", "correction"): 0.05,
        ("balance-check", "circulation"): 0.01,
        ("statement", "reconciliation"): 0.03,
        ("statement", "ledger-scan"): 0.15,
        ("statement", "archive"): 0.15,
        ("statement", "close-of-day"): 0.2,
    },
    shifted_slowdown={("balance-check", "archive"): 0.16, ("balance-check", "ledger-scan"): 0.2},
    contention={"ledger-scan": 0.08, "close-of-day": 0.1, "archive": 0.02},
    external_noise=ExternalNoise(80, 20, 0.5, 1.0),
    departure=Departure("hollow", 240, 300, 390, 480),
)

TAVLOLIE = Scenario(
    name="dispatch service",
    duration_s=600,
    workers={"quay": 4, "ridge": 4, "mill": 3},
    capacity=Resources(30_000, 120_000, 0, 8),
    link_ms=3.0,
    services=(
        ServiceProfile("finish-check", 60, 500, 10.0, 0.5, 30, 6, True, 40),
        ServiceProfile("dispatch-list", 500, 2000, 80.0, 0.5, 6, 3, False, 0),
    ),
    tasks=(
        TaskProfile(
            "oiling-plan", "plans", Resources(10_000, 30_000, 0, 1), 4_000, 12_000, 100, 45
        ),
        TaskProfile(
            "board-layout", "plans", Resources(2_000, 12_000, 0, 1), 3_500, 20_000, 140, 20
        ),
        TaskProfile("stock-count", "stores", Resources(5_000, 15_000, 0, 1), 2_500, 8_000, 50, 25),
        TaskProfile(
            "season-forecast", "stores", Resources(20_000, 80_000, 0, 1), 15_000, 50_000, 80, 5
        ),
        TaskProfile(
            "rush-order",
            "plans",
            Resources(1_000, 2_000, 0, 1),
            1_000,
            1_500,
            20,
            0,
            priority=Priority.URGENT,
        ),
        TaskProfile(
            "curing-watch",
            "curing",
            Resources(1_000, 2_000, 0, 1),
            500,
            1_500,
            0,
            0,
            task_class=TaskClass.WATCH,
        ),
    ),
    backlog=900,
    watches=16,
    urgent_every_s=10,
    slowdown={
        ("finish-check", "oiling-plan"): 0.05,
        ("finish-check", "board-layout"): 0.25,
        ("finish-check", "stock-count"): 0.06,
        ("finish-check", "season-forecast"): 0.25,
        ("finish-check", "rush-order"): 0.04,
        ("dispatch-list", "board-layout"): 0.12,
        ("dispatch-list", "stock-count"): 0.1,
        ("dispatch-list", "season-forecast"): 0.2,
    },
    shifted_slowdown={("finish-check", "stock-count"): 0.12},
    contention={"board-layout": 0.08, "season-forecast": 0.1, "stock-count": 0.02},
    external_noise=ExternalNoise(70, 18, 0.5, 1.0),
    departure=Departure("ridge", 240, 300, 390, 480),
)

SCENARIOS = (GRANITE_HOLLOW, TAVLOLIE)
