"""Tests of the usage exchange: quotas across the shards of several entries."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from log_events import logged_events
from mulberryslip import ManualClock, Resources
from mulberryslip.events import Event
from mulberryslip.exceptions import InvalidMessageError
from mulberryslip.quotas import AccountQuota, AccountUsage, Quotas
from mulberryslip_testing.fakes import FakeStore
from mulberryslipd.usages import UsageExchange, decode, encode

TASK = Resources(1000, 100, 0, 1)
USES = {"oils": AccountUsage(Resources(3000, 300, 0, 3), TASK)}


def make_entry(store, clock, owned):
    quotas = Quotas(clock)
    quotas.configure({"oils": AccountQuota(3000, 10_000)}, Resources(4000, 10_000, 0, 8))
    return quotas, UsageExchange(store, quotas, lambda: owned, clock)


@pytest.mark.parametrize("exchanged", [True, False])
def test_quota_holds_over_the_shards_of_two_entries(exchanged):
    """Guards against an account that can use its full quota once per entry."""
    clock = ManualClock()
    store = FakeStore(clock)
    first, first_exchange = make_entry(store, clock, [0])
    second, second_exchange = make_entry(store, clock, [1])
    first.report("shard-0", USES)
    if exchanged:
        first_exchange.exchange()
        second_exchange.exchange()
    assert second.decide("oils", TASK).allowed is not exchanged


def test_usage_of_a_terminated_owner_is_ignored():
    """Guards against usage of a terminated entry that counts against a quota for ever."""
    clock = ManualClock()
    store = FakeStore(clock)
    first, first_exchange = make_entry(store, clock, [0])
    second, second_exchange = make_entry(store, clock, [1])
    first.report("shard-0", USES)
    first_exchange.exchange()
    for _ in range(15):
        second_exchange.exchange()
        clock.advance(timedelta(seconds=2))
    assert second.decide("oils", TASK).allowed


def test_encoded_usage_is_read_back():
    """Guards against encoding and decoding the amounts in different orders."""
    assert decode(encode(USES)) == USES


@settings(derandomize=True, max_examples=200)
@given(st.one_of(st.binary(), st.text().map(str.encode), st.just(b'{"a":[[1,2],[3]]}')))
def test_malformed_usage_is_reported(body):
    """Guards against a malformed value that stops the exchange."""
    try:
        decode(body)
    except InvalidMessageError:
        return
    assert decode(body) == {}


HUGE = str(10**400).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 100_000,
        b'{"oils": ' + b"[" * 100_000,
        b'{"oils": [[' + HUGE + b", 0, 0, 0], [0, 0, 0, 0]]}",
        b'{"oils": [[0, 0, 0, 0], [0, 0, 0, ' + b"9" * 5000 + b"]]}",
    ],
    ids=["nested", "nested-field", "huge", "digits"],
)
def test_odd_usage_of_one_shard_leaves_the_exchange_of_the_others(value):
    """Guards against one report that stops the exchange or the decisions on quotas."""
    clock = ManualClock()
    store = FakeStore(clock)
    store.put("usages/2", value, 0)
    first, first_exchange = make_entry(store, clock, [0])
    second, second_exchange = make_entry(store, clock, [1])
    first.report("shard-0", USES)
    with logged_events() as events:
        for _ in range(2):
            first_exchange.exchange()
            second_exchange.exchange()
    assert not second.decide("oils", TASK).allowed
    assert second.used_share("oils") > 0
    assert events == 2 * [Event.MESSAGE_INVALID.value]
