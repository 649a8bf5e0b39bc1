"""HTTP servers of an entry."""

import select
import threading
import time
from datetime import timedelta
from typing import Any

from cheroot import server, wsgi
from mulberryslip.events import Event, log

from .responses import CLOSE, MAX_BODY_BYTES, WAITED, Application

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT = timedelta(seconds=30)
TRANSFER_TIMEOUT = timedelta(seconds=5)
"""Longest wait for the next bytes of a request, during which it holds a thread."""

LISTEN_BACKLOG = 128
MAX_IDLE_CONNECTIONS = 512
MAX_WAITING_REQUESTS = 128
WAITING_TIMEOUT = timedelta(milliseconds=10)

_CLOSE = next(iter(CLOSE.items()))


class _Gateway(wsgi.Gateway_10):
    """Tells the application how long a request has waited, and closes connections for it."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[WAITED] = timedelta(seconds=time.monotonic() - self.req.conn.ready_at)
        return environ

    def start_response(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None):
        # cheroot passes this header on without closing the connection.
        if _CLOSE in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Connection(server.HTTPConnection):
    """Connection that knows when its request arrived.

    :param ready_at: monotonic time in seconds; 0 before anything was received.
    """

    ready_at = 0.0


class _Server(wsgi.Server):
    """Server whose threads wait for no connection that has sent nothing yet."""

    ConnectionClass = _Connection

    def process_conn(self, conn: _Connection) -> None:
        """Pass a connection on to a thread once it has data.

        cheroot gives a new connection to a thread at once, so that as many silent connections as
        there are threads would stop the server.
        """
        is_new = conn.ready_at == 0
        conn.ready_at = time.monotonic()
        if is_new:
            conn.socket.settimeout(TRANSFER_TIMEOUT.total_seconds())
        if not is_new or _has_data(conn):
            super().process_conn(conn)
        elif self.can_add_keepalive_connection:
            self.put_conn(conn)
        else:
            conn.close()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Write to the event log."""
        log(Event.CONNECTION_DROPPED, peer="", reason=str(msg), level=level)


def _has_data(conn: _Connection) -> bool:
    poll = select.poll()
    poll.register(conn.socket, select.POLLIN)
    return bool(poll.poll(0))


class HTTPListener:
    """One cheroot server in a background thread.

    :param host: IP address to listen on.
    :param port: TCP port; 0 takes a free one, see `port`.
    :param threads: requests that are served at a time.
    :raises OSError: when the address is in use.
    """

    def __init__(self, host: str, port: int, application: Application, threads: int):
        self._server = _Server(
            (host, port),
            application,
            numthreads=threads,
            server_name="mulberryslip",
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT.total_seconds(),
            shutdown_timeout=1,
            accepted_queue_size=MAX_WAITING_REQUESTS,
            accepted_queue_timeout=WAITING_TIMEOUT.total_seconds(),
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES + 1
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._prepare()
        self.port: int = self._server.bind_addr[1]
        self._thread = threading.Thread(target=self._server.serve, name=f"http-{self.port}")
        self._thread.daemon = True

    def _prepare(self) -> None:
        """Open the socket and start the threads.

        Threads inherit the daemon flag. cheroot's own would otherwise keep the process from ending
        while one of them waits for a worker.
        """
        failures: list[BaseException] = []

        def prepare() -> None:
            try:
                self._server.prepare()
            except BaseException as exc:
                failures.append(exc)

        thread = threading.Thread(target=prepare, name="http-prepare", daemon=True)
        thread.start()
        thread.join()
        if failures:
            raise failures[0]

    def start(self) -> None:
        """Serve in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Accept no more connections; those that are open are still served.

        cheroot's own stop leaves up to 0.5 s between the last accept and the close, and connections
        made in that time are reset with their requests.
        """
        listening, self._server.socket = self._server.socket, None
        listening.close()

    def stop(self) -> None:
        """Close the idle connections and end the threads; call `close` before."""
        self._server.stop()
        self._thread.join(1)
