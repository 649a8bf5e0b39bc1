"""Quotas per client account, with borrowing of capacity that other accounts leave idle."""

import threading
from collections.abc import Mapping
from datetime import timedelta

import attrs

from .clocks import Clock
from .models import Resources

REPORT_LIFETIME = timedelta(seconds=10)
"""Lifetime of the usage reported by a shard; its owner reports every second."""

BORROW_HEADROOM = 0.05
"""Share of the fleet that borrowers leave free, so that lenders can start tasks at once."""


@attrs.frozen
class AccountQuota:
    """Resources guaranteed to a client account by the configuration.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole accelerators.
    :param weight: weight when borrowing idle capacity, relative to other borrowers.
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0
    weight: int = 1


@attrs.frozen
class AccountUsage:
    """Resources that an account uses and waits for.

    :param used: sum of the committed sizes.
    :param waiting: sum of the sizes of waiting tasks.
    """

    used: Resources = Resources()
    waiting: Resources = Resources()


@attrs.frozen
class QuotaDecision:
    """Decision on the start of a task.

    :param allowed: whether the account may start the task now.
    :param borrowed: whether the task uses idle capacity of other accounts.
    :param reason: explanation of the decision.
    """

    allowed: bool
    borrowed: bool
    reason: str


@attrs.frozen
class _Report:
    at: timedelta
    usages: Mapping[str, AccountUsage]


class Quotas:
    """Check accounts against their quotas, from the usage that shards report. Thread-safe.

    An account without a quota in the configuration is not limited.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # The shards of an entry share this object and call it from their own threads.
        self._lock = threading.RLock()
        self._quotas: dict[str, AccountQuota] = {}
        self._reports: dict[str, _Report] = {}
        self._capacity = Resources()

    def configure(self, quotas: Mapping[str, AccountQuota], capacity: Resources) -> None:
        """Replace the quotas and the capacity of the part of the fleet that is in service."""
        with self._lock:
            self._quotas = dict(quotas)
            self._capacity = capacity

    def report(self, source: str, usages: Mapping[str, AccountUsage]) -> None:
        """Replace the usage of one shard.

        :param source: name of the shard.
        :param usages: usage by account; accounts left out use nothing.
        """
        with self._lock:
            self._reports[source] = _Report(self._clock.monotonic(), dict(usages))

    def usage_of(self, source: str) -> Mapping[str, AccountUsage]:
        """Return the last reported usage of a shard plus the starts charged since."""
        with self._lock:
            report = self._reports.get(source)
            return dict(report.usages) if report else {}

    def charge(self, source: str, account: str, size: Resources) -> None:
        """Count a start before the next report includes it: its size moves from waiting to used."""
        with self._lock:
            report = self._reports.get(source, _Report(self._clock.monotonic(), {}))
            usage = report.usages.get(account, AccountUsage())
            waiting = Resources(
                *(
                    max(0, a - b)
                    for a, b in zip(usage.waiting.amounts(), size.amounts(), strict=True)
                )
            )
            usages = {**report.usages, account: AccountUsage(usage.used + size, waiting)}
            self._reports[source] = _Report(report.at, usages)

    def decide(self, account: str, size: Resources) -> QuotaDecision:
        """Decide whether the account may start a task of this size now."""
        with self._lock:
            quota = self._quotas.get(account)
            if quota is None:
                return QuotaDecision(True, False, "account has no quota")
            usages = self._merged_usages()
            own = usages.get(account, AccountUsage())
            if _is_within(own.used + size, quota):
                return QuotaDecision(True, False, "within quota")
            return self._borrow(account, size, usages)

    def used_share(self, account: str) -> float:
        """Return the used share of the quota; accounts with a lower share are placed first."""
        with self._lock:
            quota = self._quotas.get(account)
            if quota is None:
                return 0.0
            return _used_share(self._merged_usages().get(account, AccountUsage()).used, quota)

    def _borrow(
        self, account: str, size: Resources, usages: Mapping[str, AccountUsage]
    ) -> QuotaDecision:
        lender = self._waiting_lender(account, usages)
        if lender:
            return QuotaDecision(False, False, f"quota used up; {lender} claims its share back")
        free = self._capacity - sum((usage.used for usage in usages.values()), Resources())
        if not _leaves_headroom(free, size, self._capacity):
            return QuotaDecision(False, False, "quota used up; no idle share to borrow")
        preferred = self._preferred_borrower(account, usages)
        if preferred:
            return QuotaDecision(False, False, f"quota used up; {preferred} borrows first")
        return QuotaDecision(True, True, "borrows idle share")

    def _waiting_lender(self, account: str, usages: Mapping[str, AccountUsage]) -> str:
        for name, usage in usages.items():
            quota = self._quotas.get(name)
            if name == account or quota is None or not any(usage.waiting.amounts()):
                continue
            if _used_share(usage.used, quota) < 1.0:
                return name
        return ""

    def _preferred_borrower(self, account: str, usages: Mapping[str, AccountUsage]) -> str:
        own_borrowing = self._weighted_borrowing(account, usages)
        for name, usage in usages.items():
            if name == account or name not in self._quotas or not any(usage.waiting.amounts()):
                continue
            if self._weighted_borrowing(name, usages) < own_borrowing:
                return name
        return ""

    def _weighted_borrowing(self, account: str, usages: Mapping[str, AccountUsage]) -> float:
        quota = self._quotas[account]
        used = usages.get(account, AccountUsage()).used
        borrowed = max(0, used.cpu_millis - quota.cpu_millis)
        return borrowed / max(1, quota.weight)

    def _merged_usages(self) -> dict[str, AccountUsage]:
        oldest = self._clock.monotonic() - REPORT_LIFETIME
        merged: dict[str, AccountUsage] = {}
        for report in self._reports.values():
            if report.at < oldest:
                continue
            for name, usage in report.usages.items():
                total = merged.get(name, AccountUsage())
                merged[name] = AccountUsage(total.used + usage.used, total.waiting + usage.waiting)
        return merged


def _is_within(used: Resources, quota: AccountQuota) -> bool:
    return (
        used.cpu_millis <= quota.cpu_millis
        and used.memory_mb <= quota.memory_mb
        and used.accelerators <= quota.accelerators
    )


def _used_share(used: Resources, quota: AccountQuota) -> float:
    return max(
        used.cpu_millis / max(1, quota.cpu_millis),
        used.memory_mb / max(1, quota.memory_mb),
        used.accelerators / max(1, quota.accelerators),
    )


def _leaves_headroom(free: Resources, size: Resources, capacity: Resources) -> bool:
    remaining = free - size
    return (
        remaining.cpu_millis >= capacity.cpu_millis * BORROW_HEADROOM
        and remaining.memory_mb >= capacity.memory_mb * BORROW_HEADROOM
        and remaining.accelerators >= 0
    )
