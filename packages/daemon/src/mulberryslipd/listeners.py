"""HTTP server on top of cheroot."""

import select
import threading
import time
from datetime import timedelta
from typing import Any

from cheroot import server, wsgi
from mulberryslip.events import Event, log

from .responses import CONNECTION_CLOSE, MAX_BODY_BYTES, QUEUE_TIME_KEY, Application

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT = timedelta(seconds=30)
IDLE_WHILE_STOPPING = timedelta(milliseconds=200)
TRANSFER_TIMEOUT = timedelta(seconds=5)
"""Maximum wait for the next bytes of a request; the request occupies a thread meanwhile."""

LISTEN_BACKLOG = 128
MAX_IDLE_CONNECTIONS = 512
MAX_QUEUED_REQUESTS = 128
QUEUE_TIMEOUT = timedelta(milliseconds=10)

_CLOSE_HEADER = next(iter(CONNECTION_CLOSE.items()))


class _Gateway(wsgi.Gateway_10):
    """Passes a request's queue time to the application, and closes connections on its behalf."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[QUEUE_TIME_KEY] = timedelta(seconds=time.monotonic() - self.req.conn.ready_at)
        return environ

    def start_response(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None):
        # cheroot sends this header but does not close the connection.
        if _CLOSE_HEADER in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Connection(server.HTTPConnection):
    """Connection that records when its request arrived.

    :param ready_at: monotonic time in seconds; 0 before anything was received.
    """

    ready_at = 0.0


class _Server(wsgi.Server):
    """Server that hands a connection to a thread only after the first data has arrived."""

    ConnectionClass = _Connection

    def process_conn(self, conn: _Connection) -> None:
        """Hand a connection to a thread once it has data.

        cheroot hands a new connection to a thread at once, so as many idle connections as there
        are threads would block the server.
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
        """Write cheroot's messages to the event log."""
        log(Event.CONNECTION_DROPPED, peer="", reason=str(msg), level=level)


def _has_data(conn: _Connection) -> bool:
    poll = select.poll()
    poll.register(conn.socket, select.POLLIN)
    return bool(poll.poll(0))


class HTTPListener:
    """One cheroot server in a background thread.

    :param host: IP address to listen on.
    :param port: TCP port; 0 selects a free one, see the attribute `port`.
    :param threads: number of requests that are served concurrently.
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
            accepted_queue_size=MAX_QUEUED_REQUESTS,
            accepted_queue_timeout=QUEUE_TIMEOUT.total_seconds(),
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

        Runs in a daemon thread because cheroot's threads inherit the daemon flag. Otherwise they
        would keep the process from exiting while one of them waits for a worker.
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

    def expire_idle(self) -> None:
        """Close connections that are idle, now and from now on.

        The thread that reads requests closes them, so a request that has arrived is still served.
        It takes up to a second.
        """
        self._server.timeout = IDLE_WHILE_STOPPING.total_seconds()

    def close(self) -> None:
        """Stop accepting connections; open ones are still served.

        cheroot's own stop leaves up to 0.5 s between the last accept and the close of the socket;
        connections made in that time are reset together with their requests.
        """
        listening, self._server.socket = self._server.socket, None
        listening.close()

    def stop(self) -> None:
        """Close idle connections and end the threads; call `close` first."""
        self._server.stop()
        self._thread.join(1)
