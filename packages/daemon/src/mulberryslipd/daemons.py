"""The processes of a pool: gateways for callers and an agent beside each worker."""

import threading
from collections.abc import Callable, Sequence
from datetime import timedelta

import attrs
from mulberryslip.channels import ChannelPool
from mulberryslip.clocks import Clock
from mulberryslip.events import Event, log
from mulberryslip.metrics import Metrics
from mulberryslip.servers import Server

from .agents import Agent
from .directories import PoolOwnerDirectory
from .intents import PoolConfigSource
from .listeners import HTTPListener
from .pools import PoolOwner
from .responses import Drain

SERVER_GRACE = timedelta(milliseconds=200)
OWNER_STOP_TIMEOUT = timedelta(seconds=1)
FINAL_RESPONSES_WAIT = timedelta(milliseconds=300)
DRAIN_TIMEOUT = timedelta(milliseconds=1500)
CLOSE_TIMEOUT = timedelta(milliseconds=300)
"""With the grace period of 3 s before, a stop takes at most 5.1 s; the platform kills the process
after 6 s."""

Loop = Callable[[threading.Event], None]


def start_loops(loops: Sequence[tuple[str, Loop]], stop: threading.Event) -> list[threading.Thread]:
    """Run each loop in its own thread until the event is set."""
    threads = [
        threading.Thread(target=loop, args=(stop,), name=name, daemon=True) for name, loop in loops
    ]
    for thread in threads:
        thread.start()
    return threads


def metrics_application(metrics: Metrics, store_calls: Callable[[], dict[str, int]]) -> Callable:
    """Return the WSGI application that exports counters and histograms as text."""

    def application(environ, start_response):
        lines = [f'store_calls{{kind="{kind}"}} {n}' for kind, n in store_calls().items()]
        lines += metrics.to_text()
        body = "\n".join([*lines, ""]).encode()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    return application


@attrs.define(eq=False)
class GatewayDaemon:
    """One gateway process.

    :param stop_grace: how long requests are still accepted after a planned stop has begun, so that
        the load balancer notices and callers with open connections switch to another gateway.
    """

    name: str
    directories: Sequence[PoolOwnerDirectory]
    source: PoolConfigSource
    channels: ChannelPool
    drain: Drain
    callers: HTTPListener
    health: HTTPListener
    metrics: HTTPListener
    clock: Clock
    stop_grace: timedelta
    _stop: threading.Event = attrs.field(factory=threading.Event, init=False)

    def start(self) -> None:
        """Start all threads and servers."""
        loops = [
            ("pool-config", self.source.run),
            *(("owner-watch", directory.run) for directory in self.directories),
        ]
        start_loops(loops, self._stop)
        for listener in (self.callers, self.health, self.metrics):
            listener.start()
        log(Event.PROCESS_STARTED, role="gateway", id=self.name)

    def stop(self) -> None:
        """Stop as planned: fail health checks, finish the remaining requests, then close."""
        log(Event.PROCESS_STOPPING, role="gateway", id=self.name)
        self.drain.leave()
        self.callers.expire_idle()
        self.clock.sleep(self.stop_grace)
        self.callers.close()
        self.clock.sleep(FINAL_RESPONSES_WAIT)
        drained = self.drain.wait(DRAIN_TIMEOUT)
        # A request that arrives now could not be finished.
        self.drain.close()
        self._stop.set()
        # The HTTP library waits up to 2 s for threads that still serve a request.
        closing = threading.Thread(target=self.callers.stop, name="close", daemon=True)
        closing.start()
        closing.join(CLOSE_TIMEOUT.total_seconds())
        self.channels.close()
        log(Event.PROCESS_STOPPED, role="gateway", id=self.name, drained=drained)


@attrs.define(eq=False)
class AgentDaemon:
    """One agent process, which can also become the owner of the pool."""

    name: str
    agent: Agent
    owner: PoolOwner
    directory: PoolOwnerDirectory
    server: Server
    channels: ChannelPool
    announcements: HTTPListener
    metrics: HTTPListener
    clock: Clock
    _stop: threading.Event = attrs.field(factory=threading.Event, init=False)
    _owner_thread: threading.Thread | None = attrs.field(default=None, init=False)

    def start(self) -> None:
        """Start all threads and servers."""
        self.server.start()
        self.announcements.start()
        self.metrics.start()
        loops = [("owner-watch", self.directory.run), ("observer", self.owner.run_observation)]
        start_loops(loops, self._stop)
        self._owner_thread = start_loops([("pool-owner", self.owner.run)], self._stop)[0]
        self.agent.start(self._stop)
        log(Event.PROCESS_STARTED, role="agent", id=self.name)

    def is_stopped(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._stop.is_set()

    def stop(self) -> None:
        """Stop at once; runs continue under the worker's lease until the agent is back."""
        log(Event.PROCESS_STOPPING, role="agent", id=self.name)
        self._stop.set()
        self._owner_thread.join(OWNER_STOP_TIMEOUT.total_seconds())
        self.server.stop(SERVER_GRACE)
        self.channels.close()
        log(Event.PROCESS_STOPPED, role="agent", id=self.name)
