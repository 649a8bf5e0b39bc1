"""Tests that the catalogue of log events and the code agree."""

import json
import re
from pathlib import Path

import eliot
from mulberryslip.events import Event, log

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\| (\d+) \| ([A-Z_]+) \| ", re.MULTILINE)


def test_catalogue_lists_every_event_with_its_number():
    """Guards against an event that is missing from the catalogue or has another number."""
    listed = ROW.findall((ROOT / "docs" / "events.md").read_text())
    assert listed == [(str(event.value), event.name) for event in Event]


def test_code_logs_only_catalogued_events():
    """Guards against log calls that bypass the catalogue."""
    sources = (ROOT / "packages").glob("*/src/**/*.py")
    bypassing = [
        path.name
        for path in sources
        if path.name != "events.py" and re.search(r"eliot\.(log_message|Message)", path.read_text())
    ]
    assert bypassing == []


def test_event_is_one_json_line_with_number_and_fields():
    """Guards against a change of the log format that operators' tools parse."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        log(Event.SHARD_CLAIMED, shard=2, epoch=7)
    finally:
        eliot.remove_destination(lines.append)
    message = json.loads(json.dumps(lines[0]))
    assert (message["event"], message["message_type"]) == (301, "shard_claimed")
    assert (message["shard"], message["epoch"]) == (2, 7)
