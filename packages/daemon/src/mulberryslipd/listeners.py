"""HTTP servers of an entry."""

import threading
from datetime import timedelta
from typing import Any

from cheroot import wsgi
from mulberryslip.events import Event, log

from .responses import CLOSE, MAX_BODY_BYTES, Application

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT = timedelta(seconds=30)
LISTEN_BACKLOG = 128
MAX_IDLE_CONNECTIONS = 512
MAX_WAITING_REQUESTS = 256
WAITING_TIMEOUT = timedelta(milliseconds=10)

_CLOSE = next(iter(CLOSE.items()))


class _Gateway(wsgi.Gateway_10):
    """Closes the connection after a response that says so; cheroot only passes the header on."""

    def start_response(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None):
        if _CLOSE in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Server(wsgi.Server):
    """Server that writes its errors to the event log."""

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        log(Event.CONNECTION_DROPPED, peer="", reason=str(msg), level=level)


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
        self._server.prepare()
        self.port: int = self._server.bind_addr[1]
        self._thread = threading.Thread(target=self._server.serve, name=f"http-{self.port}")
        self._thread.daemon = True

    def start(self) -> None:
        """Serve in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and the idle connections, and end the threads."""
        self._server.stop()
        self._thread.join(1)
