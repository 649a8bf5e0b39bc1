"""Names of a worker's incarnations that sort in the order in which they began. Performs no I/O.

A worker names its incarnations by its start time. It is designed for this load pattern: a VM's
clock is set back and its worker restarts under its id, so the name of the later incarnation sorts
before that of the earlier one, and all that it says would be taken for old.

An announcement or a report can be delayed, so its order of arrival tells nothing. But a worker that
answers a call runs after that call began, and a VM runs one worker at a time. So an incarnation
that answers is the newest of all that were known when the call began, and gets a name that sorts
after theirs.
"""

import re

from .steps import MAX_NAME_CHARS

_MAX_COUNT = 999_999
_SUCCESSOR = re.compile(r"(.*)~([0-9]{6})~(.*)", re.DOTALL)


class IncarnationNames:
    """Names of one worker's incarnations. Not thread-safe."""

    def __init__(self) -> None:
        self._reported = self._name = ""
        self._known = ("", "")

    def name_of(self, reported: str) -> str:
        """Return the name of an incarnation.

        :param reported: what the worker calls it.
        """
        return self._name if reported == self._reported else reported

    def record_known(self, worker_id: str, name: str) -> None:
        """Record that another process has known an incarnation under a name."""
        if self._known[0] != worker_id or name > self._known[1]:
            self._known = (worker_id, name)

    def newest(self, worker_id: str, name: str) -> str:
        """Return the newest known incarnation of a worker.

        :param name: one of its incarnations.
        """
        return max(name, self._known[1]) if self._known[0] == worker_id else name

    def confirm(self, reported: str, earlier: str) -> str:
        """Record that an incarnation has answered a call; return its name from now on.

        :param reported: what the worker calls it.
        :param earlier: newest incarnation that was known when the call began.
        """
        name = self.name_of(reported)
        if name < earlier:
            self._reported, self._name = reported, successor(earlier, reported)
        return self.name_of(reported)


def successor(earlier: str, reported: str) -> str:
    """Return the name of an incarnation that is an earlier one's successor, or the same.

    It sorts after the earlier one. If that is a name of the same incarnation, it is returned
    unchanged; another process gave it. If the name would be too long, the incarnation keeps what
    the worker calls it, and is not used until that sorts last.

    :param reported: what the worker calls it.
    """
    match = _SUCCESSOR.fullmatch(earlier)
    if match is not None and match[3] == reported:
        return earlier
    base, count = earlier, 0
    if match is not None and int(match[2]) < _MAX_COUNT:
        base, count = match[1], int(match[2])
    name = f"{base}~{count + 1:06d}~{reported}"
    return name if len(name) <= MAX_NAME_CHARS else reported
