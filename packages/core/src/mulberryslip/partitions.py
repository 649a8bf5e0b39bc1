"""Division of a fleet into pools with an owner each. Performs no I/O.

It is designed for this load pattern: hundreds of workers report their runs and ask for commands all
the time, more than one process can serve. Each worker and each workflow belongs to one pool, which
every process derives from the same settings. So two owners never command one worker, and the calls
about a workflow always reach the owner that has it.
"""

import re
import zlib

WRITES_PER_POOL = 4000
"""Writes per second that the store must allow for each pool. The platform allows about 20 writes a
second per worker, so a pool has 200 workers or more. Capacity does not move between pools, and
workflows are divided by their ids alone: services that reserve most of the processors can fill one
pool while another has room. So a fleet is divided only when one owner could not carry it."""

MAX_POOLS = 64


def pool_count(writes_per_s: float) -> int:
    """Return the number of pools of a fleet.

    :param writes_per_s: writes per second that the store allows, which grow with the fleet.
    """
    return max(1, min(MAX_POOLS, int(writes_per_s // WRITES_PER_POOL)))


def partition_of(key: str, count: int) -> int:
    """Return the number of the partition that a key belongs to, such as the id of a workflow."""
    return zlib.crc32(key.encode()) % count


def pool_of_agent(agent_id: str, data_centre: str, count: int) -> int:
    """Return the number of the pool that an agent and its worker belong to.

    Agents whose ids end in a number are assigned in turn. Each pool then has its share of the
    workers of each data centre and rack, and loses only that share with one of them.
    """
    number = re.search(r"\d+$", agent_id)
    if number is None:
        return partition_of(agent_id, count)
    return (zlib.crc32(data_centre.encode()) + int(number[0])) % count
