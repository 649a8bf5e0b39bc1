"""Feature gate for pools whose best-effort steps are wide. This module performs no I/O.

It is designed for this load pattern: callers submit best-effort workflows with steps of 20 to 80
tasks that compete for insufficient capacity. Pools with narrow steps are scheduled without the
decisions for wide ones. The widths follow from the workflows in the journal, so a new owner decides
alike.
"""

from typing import Protocol

import attrs

from .steps import WorkflowSpec


@attrs.define
class StepWidths:
    """Number of best-effort steps of a set of workflows, and of their tasks."""

    steps: int = 0
    tasks: int = 0

    def add(self, spec: WorkflowSpec) -> None:
        """Add the best-effort steps of a workflow."""
        for step in spec.steps:
            if step.fills:
                self.steps += 1
                self.tasks += step.count

    def remove(self, spec: WorkflowSpec) -> None:
        """Remove the best-effort steps of a workflow that was added."""
        for step in spec.steps:
            if step.fills:
                self.steps -= 1
                self.tasks -= step.count


class HasStepWidths(Protocol):
    """The part of `workflows.Pool` that the gate needs."""

    best_effort_widths: StepWidths


MIN_STEPS = 6
"""Best-effort steps from which on their mean width decides. The widths of single steps vary by a
factor of four around their mean."""


@attrs.define
class WideStepGate:
    """Tells whether the decisions for wide best-effort steps apply to a pool.

    :param min_tasks: mean number of tasks of a best-effort step from which on they apply; 0 turns
        them off.
    :param min_steps: number of steps from which on the mean decides.
    """

    min_tasks: int = 0
    min_steps: int = MIN_STEPS
    _is_wide: bool = attrs.field(default=False, init=False)

    def applies_to(self, pool: HasStepWidths) -> bool:
        """Return whether a pool counts as wide now.

        With few steps, the last answer stays; it is False at first. The cost is constant, so that
        every decision round can ask.
        """
        widths = pool.best_effort_widths
        if widths.steps >= self.min_steps:
            self._is_wide = 0 < self.min_tasks * widths.steps <= widths.tasks
        return self._is_wide
