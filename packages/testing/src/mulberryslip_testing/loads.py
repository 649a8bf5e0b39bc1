"""Load tool: one process sends requests to one address and prints its latency histogram.

With a rate, latency counts from the intended time of sending, so that a slow answer is not hidden
by the requests that wait behind it. `run_clients` runs several such processes at once.
"""

import json
import subprocess
import sys
import time

import attrs
import urllib3
from absl import app, flags
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
HTTP_OK = 200


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.frozen
class LoadResult:
    """What the clients of one run measured.

    :param histogram: latency of the answered requests in microseconds.
    :param answered: requests that the address answered with status 200.
    :param failed: requests that failed or had another status.
    """

    histogram: HdrHistogram
    answered: int
    failed: int

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


def run_client(url: str, requests: int, rate: float, timeout_s: float) -> LoadResult:
    """Send requests one after the other on one connection.

    :param url: address.
    :param requests: number of requests.
    :param rate: requests a second, or 0 for no pacing.
    :param timeout_s: longest wait for one answer in seconds.
    """
    http = urllib3.PoolManager(timeout=urllib3.Timeout(timeout_s), retries=False)
    histogram = new_histogram()
    answered = 0
    started = time.perf_counter()
    for number in range(requests):
        intended = started + number / rate if rate else time.perf_counter()
        time.sleep(max(0.0, intended - time.perf_counter()))
        try:
            resp = http.request("GET", url)
        except urllib3.exceptions.HTTPError:
            continue
        if resp.status == HTTP_OK:
            answered += 1
            elapsed_us = int((time.perf_counter() - intended) * 1e6)
            histogram.record_value(min(MAX_LATENCY_US, max(1, elapsed_us)))
    return LoadResult(histogram, answered, requests - answered)


def run_clients(
    url: str, clients: int, requests: int, rate: float = 0.0, timeout_s: float = 5.0
) -> LoadResult:
    """Run several client processes at once and merge what they measured.

    :param clients: number of processes.
    :param requests: requests of each process.
    :param rate: requests a second of each process.
    """
    argv = [sys.executable, "-m", "mulberryslip_testing.loads", f"--url={url}"]
    argv += [f"--requests={requests}", f"--rate={rate}", f"--timeout_s={timeout_s}"]
    children = [subprocess.Popen(argv, stdout=subprocess.PIPE, text=True) for _ in range(clients)]
    merged = new_histogram()
    answered = failed = 0
    for child in children:
        output, _ = child.communicate()
        document = json.loads(output)
        merged.decode_and_add(document["histogram"].encode())
        answered += document["answered"]
        failed += document["failed"]
    return LoadResult(merged, answered, failed)


def define_flags() -> None:
    """Define the flags of a client process."""
    flags.DEFINE_string("url", None, "Address to send GET requests to.", required=True)
    flags.DEFINE_integer("requests", 500, "Number of requests.", 1)
    flags.DEFINE_float("rate", 0.0, "Requests a second; 0 sends the next after each answer.")
    flags.DEFINE_float("timeout_s", 5.0, "Longest wait for one answer.")


def main(argv: list[str]) -> None:
    """Run one client and print its result as JSON."""
    values = flags.FLAGS
    result = run_client(values.url, values.requests, values.rate, values.timeout_s)
    document = {
        "histogram": result.histogram.encode().decode(),
        "answered": result.answered,
        "failed": result.failed,
    }
    print(json.dumps(document))


if __name__ == "__main__":
    define_flags()
    app.run(main)
