"""Callers for failure tests: a steady stream of requests whose answers are checked and recorded."""

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
# A pause between the requests of one thread; the stream shall not load the machine.
PAUSE_S = 0.02


@attrs.define
class Record:
    """What callers were told.

    :param answered: ids of the requests with a target's answer.
    :param not_run: id and time in seconds of each refusal as not run.
    :param not_claimed: ids of the requests that reached no target, but may have run before.
    :param unknown: ids of the requests with an unknown outcome or a lost connection.
    :param reasons: one line for each request that may have run, for the trace.
    :param mixed_up: one line for each answer that belonged to another request or was not whole.
    """

    answered: list[str] = attrs.field(factory=list)
    not_run: list[tuple[str, float]] = attrs.field(factory=list)
    not_claimed: list[str] = attrs.field(factory=list)
    unknown: list[str] = attrs.field(factory=list)
    reasons: list[str] = attrs.field(factory=list)
    mixed_up: list[str] = attrs.field(factory=list)


class Callers:
    """Threads that send idempotent and non-idempotent requests to random entries.

    Every second non-idempotent request is sent again under its id through another entry.

    :param urls: base address of the service on each entry.
    :param seed: seed of the choices.
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
        """Stop sending, wait for the last answers, and return the record."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 3)
        return self.record

    def _run(self, rng: random.Random) -> None:
        http = urllib3.PoolManager(timeout=urllib3.Timeout(TIMEOUT_S), retries=False)
        while not self._stopped.wait(PAUSE_S):
            method = rng.choice(("GET", "POST"))
            request_id = uuid.UUID(int=rng.getrandbits(128)).hex
            body = rng.randbytes(rng.randint(1, 2000)) if method == "POST" else b""
            sends = 2 if method == "POST" and rng.random() < 0.5 else 1
            for url in rng.sample(self._urls, min(sends, len(self._urls))):
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
            self._classify(resp.status, resp.data, request_id, body)

    def _classify(self, status: int, data: bytes, request_id: str, body: bytes) -> None:
        try:
            document: dict[str, Any] = json.loads(data)
        except ValueError:
            self.record.mixed_up.append(f"{request_id}: status {status}, not JSON: {data[:80]!r}")
            return
        code = document.get("error", {}).get("code")
        if code == "not_run":
            self.record.not_run.append((request_id, time.time()))
        elif code == "not_claimed":
            self.record.not_claimed.append(request_id)
        elif code:
            self.record.unknown.append(request_id)
            self.record.reasons.append(f"{request_id}: {document['error']}")
        elif self._is_own(document, request_id, body):
            self.record.answered.append(request_id)
        else:
            self.record.mixed_up.append(f"{request_id}: answer {document}")

    @staticmethod
    def _is_own(document: dict[str, Any], request_id: str, body: bytes) -> bool:
        path = str(document.get("path", ""))
        return path.endswith(request_id) and document.get("body_crc32") == zlib.crc32(body)
