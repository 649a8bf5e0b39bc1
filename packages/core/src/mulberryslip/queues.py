"""Configuration of workflow queues, as set by the operators."""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from . import records
from .exceptions import ConfigError
from .transitions import MAX_ID_CHARS

MAX_SLACK_MS = 366 * 24 * 3600 * 1000
MAX_STRETCH_PERMILLE = 1_000_000
"""Limits beyond which larger values of `Queue` make no difference. Without them, times computed
from a queue's parameters would exceed the range of `timedelta`."""


@attrs.frozen
class Queue:
    """Configuration of a queue: how its workflows are accepted and run.

    :param name: name of the queue.
    :param host: host name in the callers' requests; empty matches any.
    :param prefix: prefix of the path in the callers' requests, with a trailing slash.
    :param service: name of the service whose workers run the tasks.
    :param priority: lower values go first; 0 is the highest and may preempt others.
    :param max_attempts: number of failed runs of one task after which its workflow fails.
    :param stretch_permille: objective for the duration of a workflow, in thousandths of its
        critical path; `slack_ms` is added to it.
    :param slack_ms: fixed part of the objective for the duration, in milliseconds.
    :param requires_ticket: whether a step may use a worker only with a ticket.
    """

    name: str = records.text("n", MAX_ID_CHARS)
    host: str = records.text("h", MAX_ID_CHARS, "")
    prefix: str = records.text("p", MAX_ID_CHARS, "/")
    service: str = records.text("s", MAX_ID_CHARS, "")
    priority: int = records.number("pr", 0)
    max_attempts: int = records.number("m", 1)
    stretch_permille: int = records.number("st", 1000)
    slack_ms: int = records.number("sl", 0)
    requires_ticket: bool = records.flag("ad", False)

    @property
    def unsupported_reason(self) -> str:
        """Return why no pool accepts workflows of this queue; empty when pools accept them."""
        return "advice is not supported" if self.requires_ticket else ""

    @property
    def slack(self) -> timedelta:
        """Return the fixed part of the objective for a workflow's duration."""
        return timedelta(milliseconds=min(self.slack_ms, MAX_SLACK_MS))

    def stretched(self, duration: timedelta) -> timedelta:
        """Return a duration multiplied by the queue's stretch."""
        return duration * min(self.stretch_permille, MAX_STRETCH_PERMILLE) // 1000


@attrs.frozen
class PoolConfig:
    """One revision of the operators' configuration for pools.

    :param revision: increases with each change; an older configuration never replaces a newer one.
    :param queues: all queues by name.
    :param data_centres_out: data centres that are taken out of use: no run may start there.
    """

    revision: int = 0
    queues: dict[str, Queue] = attrs.field(factory=dict)
    data_centres_out: frozenset[str] = frozenset()

    @classmethod
    def from_queues(
        cls, revision: int, queues: Iterable[Queue], out: Iterable[str] = ()
    ) -> "PoolConfig":
        """Create a configuration from a list of queues."""
        return cls(revision, {queue.name: queue for queue in queues}, frozenset(out))

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, or None."""
        candidates = [
            queue
            for queue in self.queues.values()
            if queue.host in ("", host) and path.startswith(queue.prefix)
        ]
        return max(candidates, key=lambda queue: len(queue.prefix), default=None)

    def hidden_queues(self) -> dict[str, Queue]:
        """Return the queues that `match` never returns, by name, with the queue that hides each.

        Two prefixes of one length that match the same path are equal, and the first queue wins.
        """
        hidden: dict[str, Queue] = {}
        first: dict[tuple[str, str], Queue] = {}
        for queue in self.queues.values():
            hiding = first.get(("", queue.prefix)) or first.get((queue.host, queue.prefix))
            if hiding is None:
                first[queue.host, queue.prefix] = queue
            else:
                hidden[queue.name] = hiding
        return hidden


@attrs.frozen
class QueueEntry:
    """An entry of the operators' document that defines a queue.

    :param place: where the entry is, in the terms of the document.
    """

    place: str
    queue: Queue


@attrs.frozen
class PoolDocument:
    """The operators' document for pools, decoded by the platform's adapter.

    An entry that is invalid is left out, so that one fault does not take all queues out of use.

    :param revision: revision that the document states.
    :param entries: valid entries in the order of the document.
    :param faults: why entries were left out, one for each fault; at most `configs.MAX_FAULTS`.
    :param services: names of the services that the document lists; None if it does not list them.
    :param repeated_names: names that occur more than once in one object, of which the last counts.
    """

    revision: int
    entries: tuple[QueueEntry, ...] = ()
    faults: tuple[ConfigError, ...] = ()
    services: frozenset[str] | None = None
    repeated_names: frozenset[str] = frozenset()

    def config(self, out: Iterable[str] = ()) -> PoolConfig:
        """Return the configuration that the document puts into force.

        :param out: data centres that are taken out of use.
        """
        return PoolConfig.from_queues(self.revision, (entry.queue for entry in self.entries), out)
