"""Measures the CPU time and memory of single operations, for `docs/CAPACITY.md`.

Run with `python -m mulberryslip_testing.capacity`. Each result is CPU time of this process, the
minimum of several rounds, which reduces the effect of other load on the machine.
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
TASK_SIZE = Resources(4_000, 8_000, 0, 1)
TEMPLATES = ("plan", "scan", "count", "forecast")


def cost_us(operation: Callable[[], object], repeats: int) -> float:
    """Return the CPU time of one call in microseconds: the lowest mean of several rounds."""
    lowest_us = float("inf")
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            operation()
        lowest_us = min(lowest_us, (time.process_time_ns() - started_ns) / repeats / 1000.0)
    return lowest_us


def memory_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that stay allocated for the object that `build` returns."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    kept = build()
    bytes_after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return bytes_after - bytes_before


def worker_views(count: int) -> list[WorkerView]:
    """Return workers whose capacity is about three quarters allocated."""
    rng = random.Random(count)
    return [
        WorkerView(
            _description(number),
            WorkerLoad(
                in_flight=2,
                service_time_us=9_000,
                free=Resources(16_000, 60_000, 0, 2),
                pressure_permille=rng.randint(500, 1500),
            ),
            running=tuple(rng.choices(TEMPLATES, k=TASKS_PER_WORKER)),
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


def _running_tasks(workers: list[WorkerView]) -> list[RunningTask]:
    return [
        RunningTask(
            TaskKey(f"job-{number}", index),
            template,
            TaskClass.BATCH,
            view.description.worker_id,
            TASK_SIZE,
            usage=TASK_SIZE,
        )
        for number, view in enumerate(workers)
        for index, template in enumerate(view.running)
    ]


def placement_rows() -> list[list[object]]:
    """Measure one pass of 32 tasks: order them, then rank the workers for each."""
    rows = []
    for count in FLEET_SIZES:
        workers = worker_views(count)
        policy = Interferences()
        policy.decide(timedelta(seconds=1), workers, _running_tasks(workers))
        placement = Placement(ManualClock(), interferences=policy)
        items = [
            PlacementItem(
                TaskKey(f"job-{number}", 0),
                TEMPLATES[number % len(TEMPLATES)],
                "account",
                TaskClass.BATCH,
                Priority.NORMAL,
                TASK_SIZE,
            )
            for number in range(32)
        ]

        def rank_all(placement=placement, items=items, workers=workers) -> None:
            for item in placement.order(items):
                placement.rank(item, workers)

        per_task = cost_us(rank_all, 4) / len(items)
        rows.append([f"placement of a task, {count} workers", per_task, per_task / count])
    return rows


def decision_rows() -> list[list[object]]:
    """Measure one interference decision over a fleet, and one routing decision."""
    rows = []
    for count in FLEET_SIZES:
        workers = worker_views(count)
        running = _running_tasks(workers)
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
        workers = worker_views(count)
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
    """Measure encoding and decoding of a renewal and its reply, and their sizes in bytes."""
    rows = []
    for count in HEARTBEAT_SIZES:
        request, reply = _make_renewal(count)
        encoded = serialize(request, PROTOCOL), serialize(reply, PROTOCOL)

        def exchange(request=request, reply=reply) -> None:
            decoded = deserialize(ttypes.RenewRequest(), serialize(request, PROTOCOL), PROTOCOL)
            validate(decoded)
            decoded = deserialize(ttypes.RenewReply(), serialize(reply, PROTOCOL), PROTOCOL)
            validate(decoded)

        size = f"{len(encoded[0])} + {len(encoded[1])} bytes"
        rows.append([f"heartbeat, {count} tasks", cost_us(exchange, 50), size])
    return rows


def _make_renewal(count: int) -> tuple[ttypes.RenewRequest, ttypes.RenewReply]:
    task_refs = [ttypes.TaskRef(f"nightly-2026-01-01-{n}", n, 1) for n in range(count)]
    header = ttypes.Header("request-00000001", 1000, 42, "entry-1", "incarnation-1")
    request = ttypes.RenewRequest(header, 1, 7, 20_000, task_refs[:1], b"", "10.0.0.1", 7000)
    usage = ttypes.Resources(4_000, 8_000, 0, 1)
    reports = [
        ttypes.TaskReport(ref, ttypes.TaskState.RUNNING, "c" * 32, "", "", usage, 1000)
        for ref in task_refs
    ]
    load = ttypes.Load(2, 0, 9_000, ttypes.Resources(16_000, 60_000, 0, 2), False, 900)
    reply = ttypes.RenewReply(ttypes.Outcome.OK, "", 7, reports, load, 42, "incarnation-1")
    return request, reply


def memory_rows() -> list[list[object]]:
    """Measure the memory of one known worker, one job and one task."""
    count = 400
    worker_bytes = memory_bytes(lambda: _make_fleet(count)) / count
    one_task_job_bytes = memory_bytes(lambda: _make_shard(count, 1)) / count
    eleven_task_job_bytes = memory_bytes(lambda: _make_shard(count, 11)) / count
    task_bytes = (eleven_task_job_bytes - one_task_job_bytes) / 10
    return [
        ["memory per known worker", worker_bytes, "bytes"],
        ["memory per job without tasks", one_task_job_bytes - task_bytes, "bytes"],
        ["memory per task", task_bytes, "bytes"],
    ]


def _make_fleet(count: int) -> Fleet:
    fleet = Fleet(ManualClock())
    for number in range(count):
        fleet.announce(_description(number), WorkerLoad(free=CAPACITY))
        fleet.set_running(f"worker-{number}", 0, TEMPLATES)
    return fleet


def _make_shard(jobs: int, tasks: int) -> Shard:
    shard = Shard()
    for number in range(jobs):
        shard.apply(_job_submitted(number, tasks))
    return shard


def _job_submitted(number: int, tasks: int) -> JobSubmitted:
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
    """Print all results."""
    headers = ["operation", "us of processor time", "per worker, or size"]
    rows = placement_rows() + decision_rows() + heartbeat_rows()
    print(tabulate(rows, headers, floatfmt=".2f"))
    print(tabulate(memory_rows(), ["state", "amount", "unit"], floatfmt=".0f"))


if __name__ == "__main__":
    main()
