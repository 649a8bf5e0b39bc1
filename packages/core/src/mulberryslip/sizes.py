"""Task sizes learned per template from reported usage; declared sizes are far off."""

import math

import attrs

from .models import Resources

BUCKET_RATIO = 1.05
"""Width of a histogram bucket; estimates are exact to 5 %."""

HALF_LIFE_SAMPLES = 400
"""Samples after which evidence counts half, so that a changed template is relearned."""

MIN_SAMPLES = 5
"""Below this many samples the declared size applies."""

CPU_QUANTILE = 0.5
"""Processor time can be shared for a moment, so peaks of the tasks of a worker average out."""

MEMORY_QUANTILE = 0.99
"""Memory cannot be shared; a task beyond it is killed."""

MEMORY_MARGIN = 1.05
"""Covers the peaks between two reports of usage."""


class DecayingHistogram:
    """Quantiles of positive amounts in logarithmic buckets with exponential decay."""

    def __init__(self, half_life: int = HALF_LIFE_SAMPLES):
        self._growth = 2.0 ** (1.0 / half_life)
        self._weight = 1.0
        self._total = 0.0
        self._buckets: dict[int, float] = {}

    def add(self, amount: int) -> None:
        """Add one sample; newer samples weigh more, which equals decay of the older ones."""
        bucket = math.ceil(math.log(max(1, amount), BUCKET_RATIO))
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + self._weight
        self._total += self._weight
        self._weight *= self._growth
        if self._weight > 1e9:
            self._rescale()

    def quantile(self, share: float) -> int:
        """Return the upper edge of the bucket that holds the quantile, 0 without samples."""
        wanted = share * self._total
        reached = 0.0
        for bucket in sorted(self._buckets):
            reached += self._buckets[bucket]
            if reached >= wanted:
                return math.ceil(BUCKET_RATIO**bucket)
        return 0

    def _rescale(self) -> None:
        scale = 1.0 / self._weight
        kept = {bucket: weight * scale for bucket, weight in self._buckets.items()}
        self._buckets = {bucket: weight for bucket, weight in kept.items() if weight > 1e-6}
        self._total = sum(self._buckets.values())
        self._weight = 1.0


@attrs.define
class _TemplateSizes:
    cpu: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    memory: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    samples: int = 0
    learned: Resources | None = None


class SizeBook:
    """Learned size of each template."""

    def __init__(self):
        self._templates: dict[str, _TemplateSizes] = {}

    def observe(self, template: str, usage: Resources) -> None:
        """Record one reported usage of a task that has run for a while.

        :param template: template of the task.
        :param usage: reported usage; a report without memory is a missing report and is ignored.
        """
        if usage.memory_mb <= 0:
            return
        sizes = self._templates.setdefault(template, _TemplateSizes())
        sizes.cpu.add(usage.cpu_millis)
        sizes.memory.add(usage.memory_mb)
        sizes.samples += 1
        sizes.learned = None

    def known(self, template: str) -> bool:
        """Return whether the template has enough samples to replace its declared size."""
        sizes = self._templates.get(template)
        return sizes is not None and sizes.samples >= MIN_SAMPLES

    def size(self, template: str, declared: Resources) -> Resources:
        """Return the size to reserve: learned when known, else declared.

        Slots and accelerators are always the declared ones, as they are counted in whole units.
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
