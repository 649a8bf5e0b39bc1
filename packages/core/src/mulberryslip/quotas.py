"""Quotas per client account, with borrowing of the share that others leave idle."""

import threading
from collections.abc import Mapping
from datetime import timedelta

import attrs

from .clocks import Clock
from .models import Resources

REPORT_LIFETIME = timedelta(seconds=10)
"""Usage reported by another shard is forgotten after this time; its owner reports every second."""

BORROW_HEADROOM = 0.05
"""Share of the fleet that borrowers leave free, so that a lender's first tasks start at once."""


@attrs.frozen
class AccountQuota:
    """Guaranteed amounts of a client account, as in the configuration document.

    :param cpu_millis: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole accelerators.
    :param weight: share of the idle capacity relative to other borrowers.
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0
    weight: int = 1


@attrs.frozen
class AccountUse:
    """What an account holds and waits for.

    :param used: sum of the committed sizes.
    :param waiting: sum of the sizes of waiting tasks.
    """

    used: Resources = Resources()
    waiting: Resources = Resources()


@attrs.frozen
class QuotaVerdict:
    """Whether an account may start a task now.

    :param allowed: whether it may.
    :param borrowed: whether the task uses idle share of other accounts.
    :param reason: one short sentence.
    """

    allowed: bool
    borrowed: bool
    reason: str


@attrs.frozen
class _Report:
    at: timedelta
    uses: Mapping[str, AccountUse]


class Quotas:
    """Quotas of all accounts over the usage that the shards report.

    An account without a quota in the configuration is not limited.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # The shards of an entry share one object and call it from their own threads.
        self._lock = threading.RLock()
        self._quotas: dict[str, AccountQuota] = {}
        self._reports: dict[str, _Report] = {}
        self._capacity = Resources()

    def configure(self, quotas: Mapping[str, AccountQuota], capacity: Resources) -> None:
        """Replace the quotas and the capacity of the fleet that is in service."""
        with self._lock:
            self._quotas = dict(quotas)
            self._capacity = capacity

    def report(self, source: str, uses: Mapping[str, AccountUse]) -> None:
        """Replace the usage of one shard.

        :param source: name of the shard.
        :param uses: use by account; accounts left out use nothing.
        """
        with self._lock:
            self._reports[source] = _Report(self._clock.monotonic(), dict(uses))

    def uses_of(self, source: str) -> Mapping[str, AccountUse]:
        """Return the last reported usage of a shard with the starts counted since."""
        with self._lock:
            report = self._reports.get(source)
            return dict(report.uses) if report else {}

    def charge(self, source: str, account: str, size: Resources) -> None:
        """Count a start at once, before the next report; it stops waiting."""
        with self._lock:
            report = self._reports.get(source, _Report(self._clock.monotonic(), {}))
            use = report.uses.get(account, AccountUse())
            waiting = Resources(
                *(max(0, a - b) for a, b in zip(use.waiting.amounts(), size.amounts(), strict=True))
            )
            uses = {**report.uses, account: AccountUse(use.used + size, waiting)}
            self._reports[source] = _Report(report.at, uses)

    def decide(self, account: str, size: Resources) -> QuotaVerdict:
        """Decide whether the account may start a task of this size now."""
        with self._lock:
            quota = self._quotas.get(account)
            if quota is None:
                return QuotaVerdict(True, False, "account has no quota")
            uses = self._uses()
            mine = uses.get(account, AccountUse())
            if _within(mine.used + size, quota):
                return QuotaVerdict(True, False, "within quota")
            return self._borrow(account, size, uses)

    def deficit(self, account: str) -> float:
        """Return the used share of the quota; accounts with a lower one are served first."""
        with self._lock:
            quota = self._quotas.get(account)
            if quota is None:
                return 0.0
            return _share(self._uses().get(account, AccountUse()).used, quota)

    def _borrow(
        self, account: str, size: Resources, uses: Mapping[str, AccountUse]
    ) -> QuotaVerdict:
        lender = self._waiting_lender(account, uses)
        if lender:
            return QuotaVerdict(False, False, f"quota used up; {lender} claims its share back")
        free = self._capacity - sum((use.used for use in uses.values()), Resources())
        if not _leaves_headroom(free, size, self._capacity):
            return QuotaVerdict(False, False, "quota used up; no idle share to borrow")
        rival = self._rival(account, uses)
        if rival:
            return QuotaVerdict(False, False, f"quota used up; {rival} borrows first")
        return QuotaVerdict(True, True, "borrows idle share")

    def _waiting_lender(self, account: str, uses: Mapping[str, AccountUse]) -> str:
        for name, use in uses.items():
            quota = self._quotas.get(name)
            if name == account or quota is None or not any(use.waiting.amounts()):
                continue
            if _share(use.used, quota) < 1.0:
                return name
        return ""

    def _rival(self, account: str, uses: Mapping[str, AccountUse]) -> str:
        mine = self._overdraft(account, uses)
        for name, use in uses.items():
            if name == account or name not in self._quotas or not any(use.waiting.amounts()):
                continue
            if self._overdraft(name, uses) < mine:
                return name
        return ""

    def _overdraft(self, account: str, uses: Mapping[str, AccountUse]) -> float:
        quota = self._quotas[account]
        used = uses.get(account, AccountUse()).used
        borrowed = max(0, used.cpu_millis - quota.cpu_millis)
        return borrowed / max(1, quota.weight)

    def _uses(self) -> dict[str, AccountUse]:
        oldest = self._clock.monotonic() - REPORT_LIFETIME
        merged: dict[str, AccountUse] = {}
        for report in self._reports.values():
            if report.at < oldest:
                continue
            for name, use in report.uses.items():
                known = merged.get(name, AccountUse())
                merged[name] = AccountUse(known.used + use.used, known.waiting + use.waiting)
        return merged


def _within(used: Resources, quota: AccountQuota) -> bool:
    return (
        used.cpu_millis <= quota.cpu_millis
        and used.memory_mb <= quota.memory_mb
        and used.accelerators <= quota.accelerators
    )


def _share(used: Resources, quota: AccountQuota) -> float:
    return max(
        used.cpu_millis / max(1, quota.cpu_millis),
        used.memory_mb / max(1, quota.memory_mb),
        used.accelerators / max(1, quota.accelerators),
    )


def _leaves_headroom(free: Resources, size: Resources, capacity: Resources) -> bool:
    rest = free - size
    return (
        rest.cpu_millis >= capacity.cpu_millis * BORROW_HEADROOM
        and rest.memory_mb >= capacity.memory_mb * BORROW_HEADROOM
        and rest.accelerators >= 0
    )
