"""Scenarios of the bench, one per deployment of the design page. Data only.

They were fixed before the policy was measured; `docs/policy.md` records the first figures.
"""

from collections.abc import Mapping

import attrs
from mulberryslip import Priority, Resources, TaskClass


@attrs.frozen
class ServiceShape:
    """A service and its load.

    :param median_ms: median answer time on an idle worker.
    :param sigma: spread of the answer time (log-normal).
    :param rate_hz: requests simulated per second.
    :param represents: real requests that one simulated request stands for in the load.
    """

    name: str
    objective_ms: int
    deadline_ms: int
    median_ms: float
    sigma: float
    rate_hz: int
    represents: int
    idempotent: bool
    hedge_after_ms: int


@attrs.frozen
class TaskShape:
    """A template of tasks: what is declared and what is true.

    :param declared: declared size; far off on purpose.
    :param cpu_millis: true mean use.
    :param memory_mb: true mean use.
    :param work_s: mean work in seconds at full speed.
    :param share: relative number in the backlog.
    """

    name: str
    account: str
    declared: Resources
    cpu_millis: int
    memory_mb: int
    work_s: int
    share: int
    task_class: TaskClass = TaskClass.BATCH
    priority: Priority = Priority.NORMAL


@attrs.frozen
class Waves:
    """Noise from outside that slows services on some workers for a while.

    :param period_s: time from one wave to the next.
    :param length_s: length of a wave.
    :param share: share of the workers that a wave hits.
    :param slowdown: added slowdown.
    """

    period_s: int
    length_s: int
    share: float
    slowdown: float


@attrs.frozen
class Departure:
    """A data centre that leaves and returns, in seconds from the start.

    :param out_s: operators take it out.
    :param gone_s: its VMs are gone.
    :param back_s: its VMs are back and operators take it in.
    :param until_s: end of the time over which the work done is measured.
    """

    data_centre: str
    out_s: int
    gone_s: int
    back_s: int
    until_s: int


@attrs.frozen
class Scenario:
    """One deployment.

    :param workers: number of workers by data centre.
    :param capacity: capacity of one worker for tasks.
    :param link_ms: one-way delay between data centres.
    :param slowdown: added slowdown of a service by one task, by (service, template).
    :param shifted: entries of `slowdown` that replace it in the second half.
    :param kill_backoff_s: time before a task that was killed for memory is queued again.
    :param memory_ramp_s: time from the start of an attempt until a task holds all its memory.
    :param contention: added slowdown of a batch task by each other one, by template of the other.
    """

    name: str
    duration_s: int
    workers: Mapping[str, int]
    capacity: Resources
    link_ms: float
    services: tuple[ServiceShape, ...]
    tasks: tuple[TaskShape, ...]
    backlog: int
    watches: int
    urgent_every_s: int
    slowdown: Mapping[tuple[str, str], float]
    shifted: Mapping[tuple[str, str], float]
    contention: Mapping[str, float]
    waves: Waves
    departure: Departure
    lag_s: int = 3
    missing_share: float = 0.1
    setup_s: int = 3
    kill_backoff_s: int = 20
    memory_ramp_s: int = 30
    checkpoint_every_s: int = 60
    checkpoint_mb_per_s: int = 4000
    loss_share: float = 0.01


GRANITE_HOLLOW = Scenario(
    name="token ledger",
    duration_s=600,
    workers={"granite": 3, "hollow": 3, "concord": 3, "marsh": 2},
    capacity=Resources(60_000, 240_000, 0, 8),
    link_ms=4.0,
    services=(
        ServiceShape("balance-check", 50, 500, 8.0, 0.5, 40, 8, True, 30),
        ServiceShape("statement", 400, 2000, 60.0, 0.5, 8, 4, False, 0),
    ),
    tasks=(
        TaskShape(
            "reconciliation", "ledger", Resources(20_000, 60_000, 0, 1), 7_000, 22_000, 120, 40
        ),
        TaskShape("ledger-scan", "audit", Resources(4_000, 16_000, 0, 1), 6_000, 40_000, 150, 25),
        TaskShape("archive", "audit", Resources(8_000, 20_000, 0, 1), 5_000, 15_000, 60, 30),
        TaskShape(
            "close-of-day", "ledger", Resources(40_000, 150_000, 0, 1), 30_000, 90_000, 90, 5
        ),
        TaskShape(
            "correction",
            "ledger",
            Resources(2_000, 4_000, 0, 1),
            1_500,
            3_000,
            20,
            0,
            priority=Priority.URGENT,
        ),
        TaskShape(
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
    shifted={("balance-check", "archive"): 0.16, ("balance-check", "ledger-scan"): 0.2},
    contention={"ledger-scan": 0.08, "close-of-day": 0.1, "archive": 0.02},
    waves=Waves(80, 20, 0.5, 1.0),
    departure=Departure("hollow", 240, 300, 390, 480),
)

TAVLOLIE = Scenario(
    name="dispatch service",
    duration_s=600,
    workers={"quay": 4, "ridge": 4, "mill": 3},
    capacity=Resources(30_000, 120_000, 0, 8),
    link_ms=3.0,
    services=(
        ServiceShape("finish-check", 60, 500, 10.0, 0.5, 30, 6, True, 40),
        ServiceShape("dispatch-list", 500, 2000, 80.0, 0.5, 6, 3, False, 0),
    ),
    tasks=(
        TaskShape("oiling-plan", "plans", Resources(10_000, 30_000, 0, 1), 4_000, 12_000, 100, 45),
        TaskShape("board-layout", "plans", Resources(2_000, 12_000, 0, 1), 3_500, 20_000, 140, 20),
        TaskShape("stock-count", "stores", Resources(5_000, 15_000, 0, 1), 2_500, 8_000, 50, 25),
        TaskShape(
            "season-forecast", "stores", Resources(20_000, 80_000, 0, 1), 15_000, 50_000, 80, 5
        ),
        TaskShape(
            "rush-order",
            "plans",
            Resources(1_000, 2_000, 0, 1),
            1_000,
            1_500,
            20,
            0,
            priority=Priority.URGENT,
        ),
        TaskShape(
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
    shifted={("finish-check", "stock-count"): 0.12},
    contention={"board-layout": 0.08, "season-forecast": 0.1, "stock-count": 0.02},
    waves=Waves(70, 18, 0.5, 1.0),
    departure=Departure("ridge", 240, 300, 390, 480),
)

SCENARIOS = (GRANITE_HOLLOW, TAVLOLIE)
