"""Call WSGI applications without a server."""

import io
import json
from collections.abc import Callable, Mapping
from typing import Any

import attrs


@attrs.frozen
class Result:
    """Response of an application.

    :param status: HTTP status code.
    :param headers: response headers.
    :param body: response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def call_application(
    application: Callable,
    method: str,
    uri: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> Result:
    """Call a WSGI application with the environment that cheroot would pass.

    :param application: WSGI application.
    :param method: HTTP method.
    :param uri: percent-encoded path and query.
    :param body: request body, sent with a `Content-Length` unless the headers have one.
    :param headers: request headers.
    """
    path, _, query = uri.partition("?")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": method,
        "REQUEST_URI": uri,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "wsgi.input": io.BytesIO(body or b""),
        "wsgi.input_terminated": False,
    }
    if body is not None:
        environ["CONTENT_LENGTH"] = str(len(body))
    for name, value in (headers or {}).items():
        key = name.upper().replace("-", "_")
        prefix = "" if key in ("CONTENT_TYPE", "CONTENT_LENGTH") else "HTTP_"
        environ[prefix + key] = value
    started: list[tuple[str, list[tuple[str, str]]]] = []
    chunks = application(
        environ, lambda status, response_headers: started.append((status, response_headers))
    )
    status, response_headers = started[0]
    return Result(int(status.split()[0]), dict(response_headers), b"".join(chunks))
