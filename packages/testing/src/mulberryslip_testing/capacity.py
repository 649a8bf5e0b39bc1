"""Measures the processor and memory cost of single operations, for `docs/CAPACITY.md`.

Run with `python -m mulberryslip_testing.capacity`. The figures are processor time of this process,
the least of a few rounds, so that other work on the machine distorts them little.
"""

import random
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta

from mulberryslip import (
    ManualClock,
    Priority,
    Resources,
    TaskClass,
    TaskKey,
    WorkerDescription,
    WorkerLoad,
)
from mulberryslip.actions import RunningTask
from mulberryslip.channels import validate
from mulberryslip.configs import ServiceParameters, Template
from mulberryslip.fleets import Fleet
from mulberryslip.interferences import Interferences
from mulberryslip.jobs import Shard
from mulberryslip.models import WorkerView
from mulberryslip.placements import Placement, PlacementItem
from mulberryslip.routings import Links, Router
from mulberryslip.transitions import JobSubmitted
from mulberryslip.wire import ttypes
from tabulate import tabulate
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

FLEET_SIZES = (11, 100, 400, 810)
# The codec of the channels; the default one of the library is many times slower.
PROTOCOL = TBinaryProtocolAcceleratedFactory()
HEARTBEAT_SIZES = (1, 10, 30)
TASKS_PER_WORKER = 6
ROUNDS = 5
CAPACITY = Resources(64_000, 250_000, 0, 8)
SIZE = Resources(4_000, 8_000, 0, 1)
TEMPLATES = ("plan", "scan", "count", "forecast")


def cost_us(operation: Callable[[], object], repeats: int) -> float:
    """Return the least mean processor time of one call in microseconds over a few rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        begin = time.process_time_ns()
        for _ in range(repeats):
            operation()
        best = min(best, (time.process_time_ns() - begin) / repeats / 1000.0)
    return best


def memory_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that stay allocated for what `build` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def views(count: int) -> list[WorkerView]:
    """Return workers that are in use to about three quarters."""
    draws = random.Random(count)
    return [
        WorkerView(
            _description(number),
            WorkerLoad(
                in_flight=2,
                service_time_us=9_000,
                free=Resources(16_000, 60_000, 0, 2),
                pressure_permille=draws.randint(500, 1500),
            ),
            running=tuple(draws.choices(TEMPLATES, k=TASKS_PER_WORKER)),
        )
        for number in range(count)
    ]


def _description(number: int) -> WorkerDescription:
    return WorkerDescription(
        worker_id=f"worker-{number}",
        incarnation=f"incarnation-{number}",
        data_centre=f"dc-{number % 4}",
        rack=f"rack-{number // 3}",
        host=f"10.0.{number // 250}.{number % 250}",
        port=7000,
        capacity=CAPACITY,
        services=("check", "list"),
    )


def _running(workers: list[WorkerView]) -> list[RunningTask]:
    return [
        RunningTask(
            TaskKey(f"job-{number}", place),
            template,
            TaskClass.BATCH,
            view.description.worker_id,
            SIZE,
            usage=SIZE,
        )
        for number, view in enumerate(workers)
        for place, template in enumerate(view.running)
    ]


def placement_rows() -> list[list[object]]:
    """Measure one pass of 32 tasks: order them, then rank and start each."""
    rows = []
    for count in FLEET_SIZES:
        workers = views(count)
        policy = Interferences()
        policy.decide(timedelta(seconds=1), workers, _running(workers))
        placement = Placement(ManualClock(), interferences=policy)
        items = [
            PlacementItem(
                TaskKey(f"job-{number}", 0),
                TEMPLATES[number % len(TEMPLATES)],
                "account",
                TaskClass.BATCH,
                Priority.NORMAL,
                SIZE,
            )
            for number in range(32)
        ]

        def one_pass(placement=placement, items=items, workers=workers) -> None:
            for item in placement.order(items):
                placement.rank(item, workers)

        per_task = cost_us(one_pass, 4) / len(items)
        rows.append([f"placement of a task, {count} workers", per_task, per_task / count])
    return rows


def decision_rows() -> list[list[object]]:
    """Measure one interference decision over a fleet, and one routing decision."""
    rows = []
    for count in FLEET_SIZES:
        workers = views(count)
        running = _running(workers)
        policy = Interferences()
        seconds = iter(range(10**6))
        cost = cost_us(
            lambda policy=policy, workers=workers, running=running, seconds=seconds: policy.decide(
                timedelta(seconds=next(seconds)), workers, running
            ),
            3,
        )
        rows.append([f"interference decision, {count} workers", cost, cost / count])
    for count in FLEET_SIZES:
        workers = views(count)
        router = Router(ManualClock(), random.Random(1), Links({}))
        service = Template("check", TaskClass.SERVICE, "account", ServiceParameters())
        cost = cost_us(
            lambda router=router, service=service, workers=workers: router.choose(
                service, "dc-1", workers, timedelta(milliseconds=500)
            ),
            50,
        )
        rows.append([f"routing decision, {count} workers", cost, cost / count])
    return rows


def heartbeat_rows() -> list[list[object]]:
    """Measure encoding and decoding of a renewal and its reply, and their bytes."""
    rows = []
    for count in HEARTBEAT_SIZES:
        request, reply = _renewal(count)
        encoded = serialize(request, PROTOCOL), serialize(reply, PROTOCOL)

        def exchange(request=request, reply=reply) -> None:
            read = deserialize(ttypes.RenewRequest(), serialize(request, PROTOCOL), PROTOCOL)
            validate(read)
            read = deserialize(ttypes.RenewReply(), serialize(reply, PROTOCOL), PROTOCOL)
            validate(read)

        size = f"{len(encoded[0])} + {len(encoded[1])} bytes"
        rows.append([f"heartbeat, {count} tasks", cost_us(exchange, 50), size])
    return rows


def _renewal(count: int) -> tuple[ttypes.RenewRequest, ttypes.RenewReply]:
    refs = [ttypes.TaskRef(f"nightly-2026-01-01-{n}", n, 1) for n in range(count)]
    header = ttypes.Header("request-00000001", 1000, 42, "entry-1", "incarnation-1")
    request = ttypes.RenewRequest(header, 1, 7, 20_000, refs[:1], b"", "10.0.0.1", 7000)
    usage = ttypes.Resources(4_000, 8_000, 0, 1)
    reports = [
        ttypes.TaskReport(ref, ttypes.TaskState.RUNNING, "c" * 32, "", "", usage, 1000)
        for ref in refs
    ]
    load = ttypes.Load(2, 0, 9_000, ttypes.Resources(16_000, 60_000, 0, 2), False, 900)
    reply = ttypes.RenewReply(ttypes.Outcome.OK, "", 7, reports, load, 42, "incarnation-1")
    return request, reply


def memory_rows() -> list[list[object]]:
    """Measure the memory of a known worker, of a job and of a task."""
    count = 400
    fleet = memory_bytes(lambda: _fleet(count)) / count
    single = memory_bytes(lambda: _shard(count, 1)) / count
    double = memory_bytes(lambda: _shard(count, 11)) / count
    task = (double - single) / 10
    return [
        ["memory per known worker", fleet, "bytes"],
        ["memory per job without tasks", single - task, "bytes"],
        ["memory per task", task, "bytes"],
    ]


def _fleet(count: int) -> Fleet:
    fleet = Fleet(ManualClock())
    for number in range(count):
        fleet.announce(_description(number), WorkerLoad(free=CAPACITY))
        fleet.set_running(f"worker-{number}", 0, TEMPLATES)
    return fleet


def _shard(jobs: int, tasks: int) -> Shard:
    shard = Shard()
    for number in range(jobs):
        shard.apply(_submitted(number, tasks))
    return shard


def _submitted(number: int, tasks: int) -> JobSubmitted:
    return JobSubmitted(
        job_id=f"nightly-2026-01-01-{number}",
        digest="d" * 64,
        template="plan",
        account="account",
        task_class=TaskClass.BATCH.value,
        priority=Priority.NORMAL.value,
        cpu_millis=4_000,
        memory_mb=8_000,
        accelerators=0,
        max_attempts=4,
        inputs=tuple(f'{{"item": "{number}-{index}"}}' for index in range(tasks)),
        at_ms=1_000_000,
    )


def main() -> None:
    """Print all figures."""
    headers = ["operation", "us of processor time", "per worker, or size"]
    rows = placement_rows() + decision_rows() + heartbeat_rows()
    print(tabulate(rows, headers, floatfmt=".2f"))
    print(tabulate(memory_rows(), ["state", "amount", "unit"], floatfmt=".0f"))


if __name__ == "__main__":
    main()
