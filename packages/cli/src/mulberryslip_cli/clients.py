"""HTTP client for the operators' interface of the entries."""

import json
import uuid
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from .exceptions import CommandError, ConflictError, UnavailableError, UnknownOutcomeError

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
HTTP_UNKNOWN = 504


@attrs.frozen
class Revisioned:
    """A configuration document and its revision.

    :param revision: number to send with a change that is based on the document.
    :param document: decoded JSON document.
    """

    revision: int
    document: dict[str, Any]


class OperatorClient:
    """Calls the first entry that answers.

    :param entries: addresses of operators' ports, `IP:PORT`.
    :param timeout_s: longest wait for one entry in seconds.
    """

    def __init__(self, entries: list[str], timeout_s: float):
        self._entries = entries
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s), retries=False
        )

    def config(self) -> Revisioned:
        """Return the accepted configuration."""
        document = self.get("/v1/config")
        return Revisioned(int(document["revision"]), document)

    def get(self, path: str) -> Any:
        """Read a path.

        :param path: absolute path, already quoted.
        :returns: the decoded JSON answer.
        :raises UnavailableError: when no entry answers.
        :raises CommandError: when an entry refuses the call.
        """
        faults = []
        for entry in self._entries:
            try:
                resp = self._http.request("GET", f"http://{entry}{path}")
                return _decode(resp.status, resp.data)
            except (urllib3.exceptions.HTTPError, UnavailableError) as exc:
                faults.append(f"{entry}: {exc}")
        raise UnavailableError("no entry answered: " + "; ".join(faults))

    def change(
        self, method: str, path: str, body: dict[str, Any], revision: int, operator: str
    ) -> Any:
        """Send one change of the configuration.

        The change carries one id for all entries that are tried, so that a change whose answer was
        lost is not applied twice.

        :param method: `PUT` or `DELETE`.
        :param path: absolute path, already quoted.
        :param body: JSON body.
        :param revision: revision that the change is based on.
        :param operator: name recorded with the change.
        :returns: the decoded JSON answer, with the new revision.
        :raises ConflictError: when the configuration has changed since the revision.
        :raises UnknownOutcomeError: when every answer was lost.
        """
        headers = {
            "Content-Type": "application/json",
            "If-Revision": str(revision),
            "Change-Id": uuid.uuid4().hex,
            "Operator": operator,
        }
        maybe_sent = False
        faults = []
        for entry in self._entries:
            try:
                resp = self._http.request(
                    method, f"http://{entry}{path}", body=json.dumps(body), headers=headers
                )
                return _decode(resp.status, resp.data)
            except UnavailableError as exc:
                faults.append(f"{entry}: {exc}")
            except UnknownOutcomeError as exc:
                maybe_sent = True
                faults.append(f"{entry}: {exc}")
            except urllib3.exceptions.HTTPError as exc:
                maybe_sent |= not isinstance(exc, urllib3.exceptions.NewConnectionError)
                faults.append(f"{entry}: {exc}")
        kind = UnknownOutcomeError if maybe_sent else UnavailableError
        raise kind("; ".join(faults) + "; check with: mulberryslip config show")


def quoted(segment: str) -> str:
    """Return a path segment with every reserved character percent-encoded."""
    return quote(segment, safe="")


def _decode(status: int, data: bytes) -> Any:
    try:
        document = json.loads(data) if data else {}
    except ValueError as exc:
        raise CommandError(f"the entry's answer is not JSON (HTTP status {status})") from exc
    if status < 400:
        return document
    error = document.get("error", {}) if isinstance(document, dict) else {}
    message = error.get("message", f"HTTP status {status}")
    if status == HTTP_CONFLICT:
        raise ConflictError(message)
    if status == HTTP_UNAVAILABLE:
        raise UnavailableError(message)
    if status == HTTP_UNKNOWN:
        raise UnknownOutcomeError(message)
    raise CommandError(message)
