"""Decoder of HTTP bodies in the chunked transfer coding. Performs no I/O."""

import re

MAX_LINE_BYTES = 4096
_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


class MalformedChunkError(ValueError):
    """The body does not follow the chunked transfer coding."""


class BodyTooLargeError(ValueError):
    """The body exceeds the limit."""


class ChunkedBody:
    """A body that arrives in chunks; the size of each chunk is checked before it arrives.

    cheroot reads chunks from a blocking file, and appends each to a copy of all before.

    :param max_bytes: limit on the body, and on the lines between its parts, which are not kept.
    """

    def __init__(self, max_bytes: int):
        self.body = bytearray()
        self._max_bytes = max_bytes
        self._line_bytes = 0
        self._remaining = 0
        self._expects_line_end = False
        self._is_trailer = False

    def feed(self, data: bytearray) -> bool:
        """Remove what belongs to the body from the start of received data.

        :returns: whether the body is complete.
        :raises MalformedChunkError: the data is malformed.
        :raises BodyTooLargeError: the body exceeds the limit.
        """
        while self._take_chunk(data):
            line = self._take_line(data)
            if line is None:
                return False
            if not self._is_trailer:
                self._begin_chunk(line)
            elif not line:
                return True
        return False

    def _take_chunk(self, data: bytearray) -> bool:
        """Take the rest of a chunk; return whether it is complete."""
        if self._remaining:
            part = data[: self._remaining]
            del data[: len(part)]
            self.body += part
            self._remaining -= len(part)
            if self._remaining:
                return False
            self._expects_line_end = True
        if self._expects_line_end:
            if len(data) < 2:
                return False
            if data[:2] != b"\r\n":
                raise MalformedChunkError("a chunk does not end with a line break")
            del data[:2]
            self._expects_line_end = False
        return True

    def _take_line(self, data: bytearray) -> bytes | None:
        end = data.find(b"\r\n", 0, MAX_LINE_BYTES)
        if end < 0:
            if len(data) >= MAX_LINE_BYTES or b"\n" in data:
                raise MalformedChunkError("a line between chunks is too long or malformed")
            return None
        line = bytes(data[:end])
        del data[: end + 2]
        self._line_bytes += end + 2
        if self._line_bytes > self._max_bytes:
            raise BodyTooLargeError("too many lines between chunks")
        return line

    def _begin_chunk(self, line: bytes) -> None:
        text = line.partition(b";")[0].strip()
        if not _SIZE.fullmatch(text):
            raise MalformedChunkError(f"the size of a chunk is malformed: {text[:20]!r}")
        self._remaining = int(text, 16)
        self._is_trailer = self._remaining == 0
        if len(self.body) + self._remaining > self._max_bytes:
            raise BodyTooLargeError("the chunks exceed the limit")
