"""Stand-in of the platform's metadata store."""

import base64
import json
import threading
import time

from .http_servers import JSONServer

MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
ANSWER_S = 0.004


class Store:
    """The store. Each machine of the system gets a port of its own, see `port_for`.

    Its answers are linearizable. It keeps its whole history.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._revision = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._next_lease = 1
        self._stop = threading.Event()
        self.ports = {}
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def port_for(self, machine):
        """Open the port at which one machine reaches the store; return its address."""
        self.ports[machine] = JSONServer(self._respond)
        return self.ports[machine].address

    def set_mode(self, mode, machines=None):
        """Set how the store treats the given machines, or all of them."""
        for machine, port in self.ports.items():
            if machines is None or machine in machines:
                port.gate.mode = mode

    def close(self):
        """Stop serving."""
        self._stop.set()
        for port in self.ports.values():
            port.close()

    def operate(self, key, document):
        """Write a key as the operator does."""
        with self._changed:
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self._put({"Key": key, "Value": value})

    def value(self, key):
        """Return the bytes of a key, or None."""
        with self._changed:
            item = self._items.get(key)
            return base64.b64decode(item["Value"]) if item else None

    def _respond(self, method, path, query, body, headers):
        time.sleep(ANSWER_S)
        name, _, lease = path.removeprefix("/-/kv-").partition("/")
        if name == "watch":
            return self._watch(query)
        with self._changed:
            return getattr(self, f"_{name.replace('-', '_')}")(query, body, lease)

    def _key(self, query, body, _):
        item = self._items.get(query["Key"])
        return (200, {**item, "AsOf": self._revision}) if item else (404, {})

    def _range(self, query, body, _):
        prefix, after = query["Prefix"], query.get("After", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items, size = [], 0
        for key in keys:
            size += len(self._items[key]["Value"])
            if items and (len(items) >= MAX_ITEMS or size > MAX_PAGE_BYTES):
                break
            items.append(self._items[key])
        is_truncated = len(items) < len(keys)
        return 200, {"items": items, "Truncated": is_truncated, "AsOf": self._revision}

    def _watch(self, query):
        prefix, after = query["Prefix"], int(query["After"])
        expires = time.monotonic() + int(query["WaitMs"]) / 1000
        with self._changed:
            while True:
                events = [
                    event for event in self._events_after(after) if event["Key"].startswith(prefix)
                ]
                left = expires - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self._revision}
                self._changed.wait(left)

    def _events_after(self, revision):
        position = len(self._events)
        while position and self._events[position - 1]["Rev"] > revision:
            position -= 1
        return self._events[position:]

    def _txn(self, query, body, _):
        for row in body.get("Expected", []):
            item = self._items.get(row["Key"])
            if row["Rev"] != (item["Rev"] if item else 0):
                keys = [row["Key"] for row in body["Expected"]]
                items = [self._items.get(key, {"Key": key, "Rev": 0}) for key in keys]
                return 412, {"items": items}
        puts = body.get("Puts") or []
        if any(put.get("Lease") and put["Lease"] not in self._leases for put in puts):
            return 404, {}
        if any(put["Key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        for put in puts:
            self._put(put)
        for key in body.get("Remove") or []:
            self._remove(key)
        return 200, {"Rev": self._revision}

    def _lease(self, query, body, _):
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        ttl_ms = body["TtlMs"]
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"Lease": lease, "TtlMs": ttl_ms}

    def _keep(self, query, body, lease):
        if int(lease) not in self._leases:
            return 404, {}
        ttl_ms = self._leases[int(lease)][1]
        self._leases[int(lease)] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"TtlMs": ttl_ms}

    def _lease_end(self, query, body, lease):
        if int(lease) not in self._leases:
            return 404, {}
        self._end_lease(int(lease))
        return 200, {}

    def _put(self, put):
        self._revision += 1
        known = self._items.get(put["Key"])
        item = {
            "Key": put["Key"],
            "Value": put["Value"],
            "Rev": self._revision,
            "Created": known["Created"] if known else self._revision,
            "Lease": put.get("Lease", 0),
        }
        self._items[put["Key"]] = item
        self._events.append(item)
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"Key": key, "Rev": self._revision, "Removed": True})
            self._changed.notify_all()

    def _end_lease(self, lease):
        del self._leases[lease]
        for key in [key for key, item in self._items.items() if item["Lease"] == lease]:
            self._remove(key)

    def _expire_leases(self):
        """End leases that have expired. They pause while the store is down for all machines."""
        last = time.monotonic()
        while not self._stop.wait(0.02):
            now = time.monotonic()
            passed, last = now - last, now
            modes = {port.gate.mode for port in self.ports.values()}
            with self._changed:
                if modes and "up" not in modes:
                    for lease, (expires, ttl_ms) in self._leases.items():
                        self._leases[lease] = (expires + passed, ttl_ms)
                for lease in [key for key, value in self._leases.items() if value[0] < now]:
                    self._end_lease(lease)
