"""HTTP client for the operator API of the entries."""

import json
import uuid
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from .exceptions import CommandError, ConflictError, UnavailableError, UnknownOutcomeError

HTTP_CONFLICT = 409
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504


@attrs.frozen
class RevisionedDocument:
    """A configuration document and its revision.

    :param revision: revision to send in `If-Revision` with a change based on this document.
    :param document: decoded JSON document.
    """

    revision: int
    document: dict[str, Any]


class OperatorClient:
    """Client that sends each call to the entries in order until one serves it.

    :param entries: operator addresses of the entries, `IP:PORT`.
    :param timeout_s: read timeout for each entry in seconds; connecting takes at most 1 s.
    """

    def __init__(self, entries: list[str], timeout_s: float):
        self._entries = entries
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s), retries=False
        )

    def config(self) -> RevisionedDocument:
        """Return the accepted configuration and its revision."""
        document = self.get("/v1/config")
        return RevisionedDocument(int(document["revision"]), document)

    def get(self, path: str) -> Any:
        """Send a GET request.

        :param path: absolute path, already percent-encoded.
        :returns: the decoded JSON response.
        :raises UnavailableError: if no entry could serve the request.
        :raises CommandError: if an entry rejects the request.
        """
        errors = []
        for entry in self._entries:
            try:
                resp = self._http.request("GET", f"http://{entry}{path}")
                return _decode_response(resp.status, resp.data)
            except (urllib3.exceptions.HTTPError, UnavailableError) as exc:
                errors.append(f"{entry}: {exc}")
        raise UnavailableError("no entry could serve the request: " + "; ".join(errors))

    def change(
        self, method: str, path: str, body: dict[str, Any], revision: int, operator: str
    ) -> Any:
        """Send one configuration change.

        The change has the same `Change-Id` at every entry that is tried, so that a change whose
        response was lost is not applied twice.

        :param method: `PUT` or `DELETE`.
        :param path: absolute path, already percent-encoded.
        :param body: JSON body.
        :param revision: revision that the change is based on.
        :param operator: name recorded with the change.
        :returns: the decoded JSON response, with the new revision.
        :raises ConflictError: if the configuration has changed since the revision.
        :raises UnavailableError: if no entry could serve the change; nothing was changed.
        :raises UnknownOutcomeError: if an entry may have accepted the change, but no response
            confirms it.
        """
        headers = {
            "Content-Type": "application/json",
            "If-Revision": str(revision),
            "Change-Id": uuid.uuid4().hex,
            "Operator": operator,
        }
        maybe_sent = False
        errors = []
        for entry in self._entries:
            try:
                resp = self._http.request(
                    method, f"http://{entry}{path}", body=json.dumps(body), headers=headers
                )
                return _decode_response(resp.status, resp.data)
            except UnavailableError as exc:
                errors.append(f"{entry}: {exc}")
            except UnknownOutcomeError as exc:
                maybe_sent = True
                errors.append(f"{entry}: {exc}")
            except urllib3.exceptions.HTTPError as exc:
                maybe_sent |= not isinstance(exc, urllib3.exceptions.NewConnectionError)
                errors.append(f"{entry}: {exc}")
        error_class = UnknownOutcomeError if maybe_sent else UnavailableError
        raise error_class("; ".join(errors) + "; check with: mulberryslip config show")


def quote_segment(segment: str) -> str:
    """Return a path segment with every reserved character percent-encoded."""
    return quote(segment, safe="")


def _decode_response(status: int, data: bytes) -> Any:
    try:
        document = json.loads(data) if data else {}
    except ValueError as exc:
        raise CommandError(f"the entry's response is not JSON (HTTP status {status})") from exc
    if status < 400:
        return document
    error = document.get("error", {}) if isinstance(document, dict) else {}
    message = error.get("message", f"HTTP status {status}")
    if status == HTTP_CONFLICT:
        raise ConflictError(message)
    if status == HTTP_SERVICE_UNAVAILABLE:
        raise UnavailableError(message)
    if status == HTTP_GATEWAY_TIMEOUT:
        raise UnknownOutcomeError(message)
    raise CommandError(message)
