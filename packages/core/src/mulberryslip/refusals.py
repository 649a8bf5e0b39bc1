"""Reasons why a waiting task does not start on a worker."""

import enum


class Requirement(enum.StrEnum):
    """A rule, or a fact about the worker, forbids the start, however long the task waits."""

    NO_LISTING = "no listing yet"
    LEAVING = "leaving"
    PROCESS_ENDED = "process ended"
    REPLACED = "replaced by a newer worker"
    DATA_CENTRE_OUT = "data centre out"
    NO_REPORT = "no recent report"
    SILENT = "recorded as silent"
    OTHER_SERVICE = "another service"
    NO_ROOM = "no room"
    LABEL_MISSING = "label missing"
    SPREAD_LIMIT = "spread limit"


class Preference(enum.StrEnum):
    """Another worker or another time is better; it does not bind services past their deadline."""

    ON_TRIAL = "runs a suspected task"
    KEPT = "kept for a trial"
    UNDECIDED_CRASH = "waits for the verdict on a crash"
    TRIALS_OF_FLEET = "workers on trial"
    TRIALS_OF_ROUND = "trials of a round"
    TRIALS_OF_WORKFLOW = "trials of the workflow"
    KEEPS_WORKER = "waits for an idle worker"
    OTHER_VM = "waits for another VM"
    LARGE_TASK = "reserved for a large task"
    SHORT_TASKS = "reserved for short tasks"
    PENDING_STARTS = "too many starts at once"
    EXCLUDED = "excluded"
    NOT_CHOSEN = "not chosen"
