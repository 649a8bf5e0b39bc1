"""Collection of log events in tests."""

import contextlib

import eliot


@contextlib.contextmanager
def logged_messages():
    """Collect the events that are logged, with their fields."""
    messages = []
    eliot.add_destinations(messages.append)
    try:
        yield messages
    finally:
        eliot.remove_destination(messages.append)


@contextlib.contextmanager
def logged_events():
    """Collect the numbers of the events that are logged."""
    numbers = []

    def collect(message):
        numbers.append(message["event"])

    eliot.add_destinations(collect)
    try:
        yield numbers
    finally:
        eliot.remove_destination(collect)
