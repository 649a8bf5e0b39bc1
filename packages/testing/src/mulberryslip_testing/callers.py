"""Callers for failure tests: send a steady stream of requests; check and record the responses."""

import json
import random
import threading
import time
import uuid
import zlib
from collections.abc import Sequence
from typing import Any

import attrs
import urllib3

TIMEOUT_S = 3.0
# Pause between the requests of one thread, so that the callers do not saturate the machine.
REQUEST_PAUSE_S = 0.02


@attrs.define
class Record:
    """Outcomes that the callers received.

    :param answered: ids of the requests that got a target's response.
    :param not_run: id and time in seconds of each refusal as not run.
    :param not_claimed: ids of the requests that reached no target, but may have run when they were
        sent before.
    :param unknown: ids of the requests with an unknown outcome or a lost connection.
    :param reasons: one line for each request with an unknown outcome, for failure messages.
    :param mismatched: one line for each response that was incomplete or for another request.
    """

    answered: list[str] = attrs.field(factory=list)
    not_run: list[tuple[str, float]] = attrs.field(factory=list)
    not_claimed: list[str] = attrs.field(factory=list)
    unknown: list[str] = attrs.field(factory=list)
    reasons: list[str] = attrs.field(factory=list)
    mismatched: list[str] = attrs.field(factory=list)


class Callers:
    """Threads that send idempotent and non-idempotent requests to random entries.

    About half of the non-idempotent requests are sent again with the same id through another entry.

    :param urls: base URL of the service at each entry.
    :param seed: seed of the random choices.
    :param threads: number of threads.
    """

    def __init__(self, urls: Sequence[str], seed: int, threads: int = 4):
        self.record = Record()
        self._urls = list(urls)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}-{n}"),), daemon=True)
            for n in range(threads)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> Record:
        """Stop sending, wait for outstanding responses, and return the record."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 3)
        return self.record

    def _run(self, rng: random.Random) -> None:
        http = urllib3.PoolManager(timeout=urllib3.Timeout(TIMEOUT_S), retries=False)
        while not self._stopped.wait(REQUEST_PAUSE_S):
            method = rng.choice(("GET", "POST"))
            request_id = uuid.UUID(int=rng.getrandbits(128)).hex
            body = rng.randbytes(rng.randint(1, 2000)) if method == "POST" else b""
            send_count = 2 if method == "POST" and rng.random() < 0.5 else 1
            for url in rng.sample(self._urls, min(send_count, len(self._urls))):
                self._send(http, url, method, request_id, body)

    def _send(
        self, http: urllib3.PoolManager, url: str, method: str, request_id: str, body: bytes
    ) -> None:
        path = f"/tokens/{request_id}"
        headers = {"Request-Id": request_id, "Request-Deadline-Ms": "2000"}
        try:
            resp = http.request(method, url + path, body=body or None, headers=headers)
        except urllib3.exceptions.NewConnectionError:
            return
        except urllib3.exceptions.HTTPError as exc:
            with self._lock:
                self.record.unknown.append(request_id)
                self.record.reasons.append(f"{request_id}: {exc}")
            return
        with self._lock:
            self._record_response(resp.status, resp.data, request_id, body)

    def _record_response(self, status: int, data: bytes, request_id: str, body: bytes) -> None:
        try:
            document: dict[str, Any] = json.loads(data)
        except ValueError:
            self.record.mismatched.append(f"{request_id}: status {status}, not JSON: {data[:80]!r}")
            return
        code = document.get("error", {}).get("code")
        if code == "not_run":
            self.record.not_run.append((request_id, time.time()))
        elif code == "not_claimed":
            self.record.not_claimed.append(request_id)
        elif code:
            self.record.unknown.append(request_id)
            self.record.reasons.append(f"{request_id}: {document['error']}")
        elif self._matches_request(document, request_id, body):
            self.record.answered.append(request_id)
        else:
            self.record.mismatched.append(f"{request_id}: response {document}")

    @staticmethod
    def _matches_request(document: dict[str, Any], request_id: str, body: bytes) -> bool:
        path = str(document.get("path", ""))
        return path.endswith(request_id) and document.get("body_crc32") == zlib.crc32(body)
