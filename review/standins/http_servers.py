"""A small HTTP/1.1 server with JSON bodies, and a gate that can turn callers away."""

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

GATE_POLL_S = 0.02


class Gate:
    """Decides how one listening port treats its callers.

    :param mode: `up`; `busy` answers 503; `reset` closes the connection; `silent` never answers.
        In all modes but `up`, nothing is done.
    """

    def __init__(self):
        self.mode = "up"
        self.is_closed = False


class QuietServer(ThreadingHTTPServer):
    """Server that ignores clients that disconnect before the answer."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Report an error unless the client has gone."""
        if not isinstance(sys.exc_info()[1], OSError | ValueError):
            super().handle_error(request, client_address)


class JSONServer:
    """One listening port.

    :param respond: maps method, path, query, body and headers to a status and a document.
    """

    def __init__(self, respond):
        self.gate = Gate()
        self._server = QuietServer(("127.0.0.1", 0), _handler(respond, self.gate))
        self.port = self._server.server_port
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        """Stop listening and let all silent callers go."""
        self.gate.is_closed = True
        self._server.shutdown()
        self._server.server_close()


def _handler(respond, gate):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def serve(self):
            length = int(self.headers.get("Content-Length") or 0)
            data = self.rfile.read(length)
            if not self._is_let_in():
                return
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query))
            body = json.loads(data) if data else {}
            status, document = respond(self.command, parts.path, query, body, self.headers)
            # An answer that is ready during a disruption is lost as well.
            if self._is_let_in():
                self._answer(status, document)

        def _is_let_in(self):
            mode = gate.mode
            if mode == "up":
                return True
            if mode == "busy":
                self._answer(503, {})
                return False
            while mode == "silent" and gate.mode == "silent" and not gate.is_closed:
                time.sleep(GATE_POLL_S)
            self.close_connection = True
            return False

        def _answer(self, status, document):
            data = json.dumps(document, separators=(",", ":")).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_PUT = do_DELETE = serve  # noqa: N815 - names of the library

        def log_message(self, *args):
            pass

    return Handler
