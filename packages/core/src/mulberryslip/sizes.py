"""Task sizes learned per template from reported usage, as declared sizes are inaccurate."""

import math

import attrs

from .models import Resources

BUCKET_RATIO = 1.05
"""Ratio of the bounds of a histogram bucket; estimates are accurate to 5 %."""

HALF_LIFE_SAMPLES = 400
"""Samples after which older ones count half, so that a changed template is learned again."""

MIN_SAMPLES = 5
"""Samples required to use the learned size instead of the declared one."""

CPU_QUANTILE = 0.5
"""Processor time is compressible, so peaks of the tasks of a worker average out."""

MEMORY_QUANTILE = 0.99
"""Memory is not compressible: a task that exceeds its size is killed."""

MEMORY_MARGIN = 1.05
"""Factor that covers memory peaks between two usage reports."""


class DecayingHistogram:
    """Histogram of positive amounts with logarithmic buckets and exponential decay.

    :param half_life: number of samples after which a sample counts half.
    """

    def __init__(self, half_life: int = HALF_LIFE_SAMPLES):
        self._weight_growth = 2.0 ** (1.0 / half_life)
        self._next_weight = 1.0
        self._total_weight = 0.0
        self._buckets: dict[int, float] = {}

    def add(self, amount: int) -> None:
        """Add one sample. Newer samples get larger weights, which decays the older ones."""
        bucket = math.ceil(math.log(max(1, amount), BUCKET_RATIO))
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + self._next_weight
        self._total_weight += self._next_weight
        self._next_weight *= self._weight_growth
        if self._next_weight > 1e9:
            self._rescale()

    def quantile(self, share: float) -> int:
        """Return the upper bound of the bucket that holds the quantile, or 0 without samples."""
        quantile_weight = share * self._total_weight
        cumulative = 0.0
        for bucket in sorted(self._buckets):
            cumulative += self._buckets[bucket]
            if cumulative >= quantile_weight:
                return math.ceil(BUCKET_RATIO**bucket)
        return 0

    def _rescale(self) -> None:
        scale = 1.0 / self._next_weight
        kept = {bucket: weight * scale for bucket, weight in self._buckets.items()}
        self._buckets = {bucket: weight for bucket, weight in kept.items() if weight > 1e-6}
        self._total_weight = sum(self._buckets.values())
        self._next_weight = 1.0


@attrs.define
class _TemplateSizes:
    cpu: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    memory: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    samples: int = 0
    learned: Resources | None = None


class SizeEstimator:
    """Learn the task size of each template."""

    def __init__(self):
        self._templates: dict[str, _TemplateSizes] = {}

    def observe(self, template: str, usage: Resources) -> None:
        """Record one usage report of a running task.

        :param template: template of the task.
        :param usage: reported usage; a report without memory counts as missing and is ignored.
        """
        if usage.memory_mb <= 0:
            return
        sizes = self._templates.setdefault(template, _TemplateSizes())
        sizes.cpu.add(usage.cpu_millis)
        sizes.memory.add(usage.memory_mb)
        sizes.samples += 1
        sizes.learned = None

    def known(self, template: str) -> bool:
        """Return whether the template has enough samples to use its learned size."""
        sizes = self._templates.get(template)
        return sizes is not None and sizes.samples >= MIN_SAMPLES

    def size(self, template: str, declared: Resources) -> Resources:
        """Return the size to reserve: the learned size if known, else the declared one.

        Slots and accelerators are always as declared, since they are allocated in whole units.
        """
        if not self.known(template):
            return declared
        sizes = self._templates[template]
        if sizes.learned is None:
            cpu_millis = sizes.cpu.quantile(CPU_QUANTILE)
            memory_mb = math.ceil(sizes.memory.quantile(MEMORY_QUANTILE) * MEMORY_MARGIN)
            sizes.learned = Resources(cpu_millis, memory_mb)
        learned = sizes.learned
        return Resources(
            learned.cpu_millis, learned.memory_mb, declared.accelerators, declared.slots
        )
