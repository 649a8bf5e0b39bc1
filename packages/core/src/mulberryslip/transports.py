"""HTTP connections to the platform: pools, deadlines and answers that were read whole."""

import json
import threading
from collections.abc import Mapping
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from .clocks import Clock, SystemClock
from .exceptions import InvalidMessageError, StoreError

_CHUNK_BYTES = 64 * 1024

SLOWEST_RATE = 100_000
"""Bytes a second that an answer must keep up, a sixth of the smallest link of 5 Mbit/s: a
configuration of several hundred kilobytes arrives there beside other traffic."""

NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
)
"""Errors that come before the first byte of a call is sent."""


@attrs.frozen
class HTTPAnswer:
    """An HTTP answer that was read whole."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def to_object(self) -> dict[str, Any]:
        """Return the JSON object of the body.

        :raises InvalidMessageError: the body is something else.
        """
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise InvalidMessageError(f"the answer is not JSON: {exc}") from exc
        if not isinstance(document, dict):
            raise InvalidMessageError(f"the answer is no object: {self.body[:200]!r}")
        return document


class HTTPTransport:
    """Calls to one HTTP server of the platform.

    It never retries by itself: a repeated call could take effect twice, and repeats during an
    outage would use up the server's rate. Connections are bounded; a call that finds none free
    within the timeout fails.

    :param base_url: `http://host:port`, optionally with a path.
    :param timeout: limit for connecting, for the head and for a small body of an answer; a large
        body has more time, as long as it arrives at `SLOWEST_RATE`.
    :param max_connections: connections for calls that are answered at once.
    :param max_waits: further connections for calls that the server answers later.
    :param clock: measures the time of an answer.
    """

    def __init__(
        self,
        base_url: str,
        timeout: timedelta = timedelta(seconds=1),
        max_connections: int = 8,
        max_waits: int = 4,
        clock: Clock | None = None,
    ):
        url = urllib3.util.parse_url(base_url)
        if url.scheme != "http" or not url.host or not url.port:
            raise StoreError(f"{base_url!r} is not of the form http://host:port")
        self._address = (url.host, url.port)
        self._path = (url.path or "").rstrip("/")
        self._timeout = timeout.total_seconds()
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._sizes = {False: max_connections, True: max_waits}
        self._pools = {waiting: self._new_pool(waiting) for waiting in self._sizes}

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()

    def send(
        self,
        method: str,
        path: str,
        fields: Mapping[str, str],
        body: bytes | None,
        extra: timedelta = timedelta(),
        headers: Mapping[str, str] | None = None,
    ) -> HTTPAnswer:
        """Make one call.

        :param fields: query parameters.
        :param extra: time that the server may wait before it answers; a call with any uses the
            connections kept for such calls.
        :raises urllib3.exceptions.HTTPError: no whole answer came; one of `NOT_SENT` when the
            server cannot have received the call.
        """
        query = "&".join(f"{name}={quote(value, safe='')}" for name, value in fields.items())
        pool = self._pools[extra > timedelta()]
        read_timeout = self._timeout + extra.total_seconds()
        try:
            resp = pool.urlopen(
                method,
                f"{self._path}{path}?{query}" if query else self._path + path,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=self._timeout, read=read_timeout),
                pool_timeout=self._timeout,
                preload_content=False,
            )
            return HTTPAnswer(resp.status, resp.headers, self._read_body(resp))
        except urllib3.exceptions.ReadTimeoutError:
            self._replace_pool(pool)
            raise

    def _read_body(self, resp: urllib3.BaseHTTPResponse) -> bytes:
        """Read the body within a limit, since the socket's timeout is for each wait only.

        Without it, an answer that trickles over a bad link would hold its thread for minutes.
        """
        deadline = self._clock.monotonic().total_seconds() + self._timeout
        chunks: list[bytes] = []
        try:
            while chunk := resp.read1(_CHUNK_BYTES):
                chunks.append(chunk)
                deadline += len(chunk) / SLOWEST_RATE
                if self._clock.monotonic().total_seconds() > deadline:
                    raise urllib3.exceptions.HTTPError("the answer took too long")
        except BaseException:
            resp.close()
            raise
        finally:
            resp.release_conn()
        return b"".join(chunks)

    def _replace_pool(self, stale: urllib3.HTTPConnectionPool) -> None:
        """Drop all connections of a pool after a timeout.

        When a network path goes silent, every open connection is affected while new ones work;
        without this each of them would cost one more timeout.
        """
        with self._lock:
            for waiting, pool in self._pools.items():
                if pool is stale:
                    self._pools[waiting] = self._new_pool(waiting)
        stale.close()

    def _new_pool(self, waiting: bool) -> urllib3.HTTPConnectionPool:
        host, port = self._address
        return urllib3.HTTPConnectionPool(host, port, maxsize=self._sizes[waiting], block=True)
