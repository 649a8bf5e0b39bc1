"""Load generator: one process sends requests to one URL and prints its latency histogram.

With a rate, latency is measured from the scheduled send time. This avoids coordinated omission: the
latency of a request includes the time it waited behind a slow response. `run_clients` runs several
such processes concurrently.
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
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.frozen
class LoadResult:
    """Measurements of the clients of one run.

    :param histogram: latencies of the answered requests in microseconds.
    :param answered: number of requests with a response of status 200.
    :param failed: number of requests that failed or had another status.
    """

    histogram: HdrHistogram
    answered: int
    failed: int

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


def run_client(url: str, requests: int, rate: float, timeout_s: float) -> LoadResult:
    """Send GET requests sequentially on one connection.

    :param url: URL to request.
    :param requests: number of requests.
    :param rate: requests per second; 0 sends each request right after the last response.
    :param timeout_s: timeout of each request in seconds.
    """
    http = urllib3.PoolManager(timeout=urllib3.Timeout(timeout_s), retries=False)
    histogram = new_histogram()
    answered = 0
    started = time.perf_counter()
    for number in range(requests):
        scheduled = started + number / rate if rate else time.perf_counter()
        time.sleep(max(0.0, scheduled - time.perf_counter()))
        try:
            resp = http.request("GET", url)
        except urllib3.exceptions.HTTPError:
            continue
        if resp.status == HTTP_OK:
            answered += 1
            elapsed_us = int((time.perf_counter() - scheduled) * 1e6)
            histogram.record_value(min(MAX_LATENCY_US, max(1, elapsed_us)))
    return LoadResult(histogram, answered, requests - answered)


def run_clients(
    url: str, clients: int, requests: int, rate: float = 0.0, timeout_s: float = 5.0
) -> LoadResult:
    """Run several client processes concurrently and merge their measurements.

    :param url: URL to request.
    :param clients: number of processes.
    :param requests: number of requests of each process.
    :param rate: requests per second of each process; see `run_client`.
    :param timeout_s: timeout of each request in seconds.
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
    flags.DEFINE_string("url", None, "URL to send GET requests to.", required=True)
    flags.DEFINE_integer("requests", 500, "Number of requests.", 1)
    flags.DEFINE_float("rate", 0.0, "Requests per second; 0 sends each after the last response.")
    flags.DEFINE_float("timeout_s", 5.0, "Timeout of each request, in seconds.")


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
