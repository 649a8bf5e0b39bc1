"""The shard owner against workers in memory: starts, takeovers, losses, moves."""

from mulberryslip.wire import ttypes as wire
from shard_doubles import Cluster, status, submit


def test_job_runs_to_its_result():
    """Guards against any break in the way from submission to result."""
    cluster = Cluster()
    owner = cluster.owner()
    assert submit(owner, tasks=5).outcome == wire.Outcome.OK
    cluster.run(owner, 2)
    assert len(cluster.running()) == 5
    cluster.finish()
    cluster.run(owner, 2)
    state = status(owner)
    assert state["state"] == "finished"
    assert [task["result"] for task in state["tasks"]] == [{"sum": 1}] * 5
    assert [worker.held for worker in cluster.workers] == [{}, {}, {}]
    cluster.check_history()
