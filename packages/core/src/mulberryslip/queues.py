"""Queues of workflows as the operators configure them."""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from . import records
from .transitions import MAX_ID_CHARS


@attrs.frozen
class Queue:
    """Terms under which workflows are accepted.

    :param name: name of the queue.
    :param host: host name that callers use; empty for any.
    :param prefix: start of the callers' paths, with a slash at the end.
    :param service: name of the service whose workers run the tasks.
    :param priority: 0 comes first and may preempt others.
    :param max_attempts: failed runs of a task after which its workflow has failed.
    :param stretch_permille: objective for the whole workflow, in thousandths of its longest chain
        of work; `slack` is added to it.
    :param slack_ms: see `stretch_permille`.
    :param is_advised: whether workers may be used for a step only with a ticket.
    """

    name: str = records.text("n", MAX_ID_CHARS)
    host: str = records.text("h", MAX_ID_CHARS, "")
    prefix: str = records.text("p", MAX_ID_CHARS, "/")
    service: str = records.text("s", MAX_ID_CHARS, "")
    priority: int = records.number("pr", 0)
    max_attempts: int = records.number("m", 1)
    stretch_permille: int = records.number("st", 1000)
    slack_ms: int = records.number("sl", 0)
    is_advised: bool = records.flag("ad", False)

    @property
    def slack(self) -> timedelta:
        """Return the fixed part of the objective."""
        return timedelta(milliseconds=self.slack_ms)


@attrs.frozen
class PoolConfig:
    """The operators' configuration for pools at one moment.

    :param revision: rises with each change; an older configuration never replaces a newer one.
    :param queues: all queues by name.
    :param data_centres_out: data centres in which nothing may start.
    """

    revision: int = 0
    queues: dict[str, Queue] = attrs.field(factory=dict)
    data_centres_out: frozenset[str] = frozenset()

    @classmethod
    def of(cls, revision: int, queues: Iterable[Queue], out: Iterable[str] = ()) -> "PoolConfig":
        """Return a configuration of some queues."""
        return cls(revision, {queue.name: queue for queue in queues}, frozenset(out))

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or None."""
        fitting = [
            queue
            for queue in self.queues.values()
            if queue.host in ("", host) and path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)

    def services(self) -> frozenset[str]:
        """Return the services to which a queue leads."""
        return frozenset(queue.service for queue in self.queues.values())
