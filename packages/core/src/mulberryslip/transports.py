"""HTTP client for the platform's services: connection pools, deadlines and complete responses."""

import functools
import json
import threading
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from .clocks import Clock, SystemClock
from .exceptions import InvalidMessageError, StoreError

_CHUNK_BYTES = 64 * 1024

MIN_BYTES_PER_S = 100_000
"""Lowest transfer rate of a response body, in bytes per second. It is a sixth of the slowest link
of 5 Mbit/s, so that a configuration of several hundred kilobytes still arrives there beside other
traffic."""

CONNECT_ATTEMPTS = 3
"""Attempts to connect within the timeout of a call. When many processes connect at once, opening
packets are dropped, and the operating system sends them again only after a second."""

NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
)
"""Exceptions that are raised before the first byte of a request is sent."""


@attrs.frozen
class HTTPResponse:
    """HTTP response whose body was read completely.

    :param status: HTTP status code.
    :param headers: HTTP headers; names are case-insensitive.
    :param body: whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Decode the body as a JSON object.

        :raises InvalidMessageError: the body is not a JSON object.
        """
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise InvalidMessageError(f"the response is not JSON: {exc}") from exc
        if not isinstance(document, dict):
            raise InvalidMessageError(f"the response is not a JSON object: {self.body[:200]!r}")
        return document


class HTTPTransport:
    """HTTP client of one server of the platform.

    It never repeats a request on its own, only attempts to connect: a repeated call could take
    effect twice, and retries during an outage would use up the server's rate limit. The number of
    connections is bounded; a call that gets none within the timeout fails.

    :param base_url: `http://host:port`, optionally with a path.
    :param timeout: limit for connecting, for the headers and for a small body of a response; a
        large body has more time, as long as it arrives at `MIN_BYTES_PER_S` or faster.
    :param max_connections: connections for calls that the server answers at once.
    :param max_long_polls: further connections for long polls, which the server answers later.
    :param clock: measures how long a response takes.
    """

    def __init__(
        self,
        base_url: str,
        timeout: timedelta = timedelta(seconds=1),
        max_connections: int = 8,
        max_long_polls: int = 4,
        clock: Clock | None = None,
    ):
        url = urllib3.util.parse_url(base_url)
        if url.scheme != "http" or not url.host or not url.port:
            raise StoreError(f"{base_url!r} is not of the form http://host:port")
        self._address = (url.host, url.port)
        self._base_path = (url.path or "").rstrip("/")
        self._timeout = timeout.total_seconds()
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._pool_sizes = {False: max_connections, True: max_long_polls}
        self._pools = {
            is_long_poll: self._new_pool(is_long_poll) for is_long_poll in self._pool_sizes
        }

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
        server_wait: timedelta = timedelta(),
        headers: Mapping[str, str] | None = None,
    ) -> HTTPResponse:
        """Send a request and read the whole response.

        :param method: HTTP method.
        :param path: path below the base URL.
        :param fields: query parameters.
        :param body: request body, or None.
        :param server_wait: time that the server may wait before it responds; above zero, the call
            uses the connections reserved for long polls.
        :param headers: further request headers.
        :raises urllib3.exceptions.HTTPError: no complete response arrived; one of `NOT_SENT` when
            the server cannot have received the request.
        """
        query = "&".join(f"{name}={quote(value, safe='')}" for name, value in fields.items())
        url = f"{self._base_path}{path}?{query}" if query else self._base_path + path
        pool = self._pools[server_wait > timedelta()]
        read_timeout = self._timeout + server_wait.total_seconds()
        send_once = functools.partial(
            pool.urlopen,
            method,
            url,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=self._timeout / CONNECT_ATTEMPTS, read=read_timeout),
            pool_timeout=self._timeout,
            preload_content=False,
        )
        try:
            resp = _send_once_connected(send_once)
            return HTTPResponse(resp.status, resp.headers, self._read_body(resp))
        except urllib3.exceptions.ReadTimeoutError:
            self._replace_pool(pool)
            raise

    def _read_body(self, resp: urllib3.BaseHTTPResponse) -> bytes:
        """Read the body within a time limit, since the socket's timeout covers each read only.

        Without the limit, a response that trickles in over a bad link would block its thread for
        minutes.
        """
        deadline_s = self._clock.monotonic().total_seconds() + self._timeout
        chunks: list[bytes] = []
        try:
            while chunk := resp.read1(_CHUNK_BYTES):
                chunks.append(chunk)
                deadline_s += len(chunk) / MIN_BYTES_PER_S
                if self._clock.monotonic().total_seconds() > deadline_s:
                    raise urllib3.exceptions.HTTPError("the answer took too long")
        except BaseException:
            resp.close()
            raise
        finally:
            resp.release_conn()
        return b"".join(chunks)

    def _replace_pool(self, stale: urllib3.HTTPConnectionPool) -> None:
        """Discard all connections of a pool after a read timeout.

        When a network path drops packets without an error, all open connections hang while new
        ones work; without this, each open connection would cost one more timeout.
        """
        with self._lock:
            for is_long_poll, pool in self._pools.items():
                if pool is stale:
                    self._pools[is_long_poll] = self._new_pool(is_long_poll)
        stale.close()

    def _new_pool(self, is_long_poll: bool) -> urllib3.HTTPConnectionPool:
        host, port = self._address
        return urllib3.HTTPConnectionPool(
            host, port, maxsize=self._pool_sizes[is_long_poll], block=True
        )


def _send_once_connected(
    send_once: Callable[[], urllib3.BaseHTTPResponse],
) -> urllib3.BaseHTTPResponse:
    """Send a request; repeat only what fails because no connection was made in time."""
    for _ in range(CONNECT_ATTEMPTS - 1):
        try:
            return send_once()
        except urllib3.exceptions.ConnectTimeoutError:
            continue
    return send_once()
