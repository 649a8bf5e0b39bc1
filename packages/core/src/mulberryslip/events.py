"""Numbered log events. The catalogue for operators is `docs/events.md`."""

import enum

import eliot


class Event(enum.Enum):
    """Log events: the value is the event number, the lower-case name the message type.

    1xx process, 2xx configuration, 3xx shards and journal, 4xx tasks, 5xx requests,
    6xx workers, 7xx store.
    """

    PROCESS_STARTED = 101
    PROCESS_STOPPING = 102
    PROCESS_STOPPED = 103
    SETTINGS_INVALID = 104
    MESSAGE_INVALID = 105
    INTERNAL_ERROR = 106
    SETTINGS_RELOADED = 107
    CONFIG_ACCEPTED = 201
    CONFIG_REFUSED = 202
    CONFIG_APPLIED = 203
    SHARD_CLAIMED = 301
    SHARD_LOST = 302
    SHARD_RELEASED = 303
    JOURNAL_FENCED = 304
    JOURNAL_READ_BACK = 305
    SNAPSHOT_WRITTEN = 306
    POOL_CLAIMED = 311
    POOL_LOST = 312
    TAKEOVER_REQUESTED = 313
    OWNER_KEY_DELETED = 314
    SNAPSHOT_FAILED = 315
    POOL_FULL = 316
    POOL_HAS_ROOM = 317
    TASK_STARTED = 401
    TASK_FINISHED = 402
    TASK_FAILED = 403
    TASK_EVICTED = 404
    TASK_SUSPENDED = 405
    TASK_REATTACHED = 406
    TASK_THROTTLED = 407
    START_REFUSED = 408
    JOB_ACCEPTED = 411
    JOB_FINISHED = 412
    JOB_FAILED = 413
    JOB_CANCELLED = 414
    WORKFLOW_ACCEPTED = 421
    WORKFLOW_REJECTED = 422
    WORKFLOW_ENDED = 423
    WORKFLOW_CANCELLED = 424
    WORKFLOW_TIMED = 425
    QUEUE_BACKLOG = 426
    RUN_PLACED = 431
    RUN_ENDED = 432
    RUN_STOPPED = 433
    RUN_REFUSED = 434
    RUNS_PACED = 435
    PRESSURES_LEARNED = 436
    RUN_WAITING = 437
    TASK_SUSPECTED = 438
    TASK_GIVEN_UP = 439
    WIDE_STEPS = 440
    CAPACITY_RESERVED = 441
    SERVICE_WAITED = 442
    REQUEST_NOT_RUN = 501
    REQUEST_OUTCOME_UNKNOWN = 502
    REQUEST_RETRIED = 503
    REQUEST_HEDGED = 504
    CONNECTION_DROPPED = 505
    CLIENTS_REJECTED = 506
    WORKER_ANNOUNCED = 601
    WORKER_LEAVING = 602
    WORKER_LOST = 603
    WORKER_QUARANTINED = 604
    WORKER_RELEASED = 605
    RUNTIME_UNAVAILABLE = 606
    OWNER_LOST = 607
    OWNER_FOUND = 608
    WORKER_SUSPECTED = 609
    WORKER_CRASHED = 610
    INCARNATION_RENAMED = 611
    WORKER_LISTING = 612
    ANNOUNCEMENT_REFUSED = 613
    INCARNATION_CHANGED = 614
    STORE_UNAVAILABLE = 701
    STORE_RECOVERED = 702
    SESSION_EXPIRED = 703


def log(event: Event, **fields: object) -> None:
    """Write one event to the log.

    :param event: event whose number and message type are written.
    :param fields: JSON-serialisable fields of the message.
    """
    eliot.log_message(message_type=event.name.lower(), event=event.value, **fields)
