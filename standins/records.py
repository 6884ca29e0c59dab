"""Execution records, kept in memory and appended to a JSON Lines file."""

import collections
import json
import time

MAX_RECORDS = 200_000
MAX_HEADER_RECORDS = 100


class Records:
    """Execution records and counts of one upstream.

    Parameters
    ----------
    path : str or None
        File to which a line is appended at the start and at the end of each
        execution, so that it also contains executions interrupted by SIGKILL;
        None for no file.
    name : str
        Prefix of the execution ids, unique among all upstreams.
    """

    __slots__ = ("counts", "executions", "file", "headers", "name")

    def __init__(self, path, name):
        self.name = name
        self.file = open(path, "a", buffering=1) if path else None  # noqa: SIM115
        self.executions = collections.deque(maxlen=MAX_RECORDS)
        self.headers = collections.deque(maxlen=MAX_HEADER_RECORDS)
        self.counts = collections.Counter()


def append_event(records, event, fields):
    """Append one event to the file, if there is one."""
    if records.file is not None:
        records.file.write(json.dumps({"event": event, **fields}) + "\n")


def record_start(records, request, arrived):
    """Record that a request obtained a slot; return its execution record."""
    records.counts["executions"] += 1
    headers = request.headers
    execution = {
        "execution": f"{records.name}-{records.counts['executions']}",
        "request_id": headers.get("x-request-id"),
        "identifier": headers.get("idempotency-key"),
        "organisation": headers.get("egretlift-organisation"),
        "priority": headers.get("egretlift-priority"),
        "method": request.method,
        "path": request.path,
        "arrived": arrived,
        "start": time.monotonic(),
        "end": None,
        "status": None,
        "finished": False,
    }
    records.executions.append(execution)
    append_event(records, "start", execution)
    return execution


def record_end(records, execution, status, finished):
    """Record the end of an execution.

    The status is None if the execution was cancelled or raised an error, and
    ``finished`` is False if it was interrupted.
    """
    execution.update(end=time.monotonic(), status=status, finished=finished)
    records.counts["finished" if finished else "unfinished"] += 1
    append_event(records, "end", execution)


def record_headers(records, request):
    """Store the path and all headers of a request, repeated names included."""
    pairs = [[name, value] for name, value in request.headers.items()]
    path = request.path_qs
    records.headers.append({"path": path, "headers": pairs})


def read_executions(path):
    """Return the execution records of a file, in order of their start.

    An execution that was interrupted because the process was killed has
    ``finished`` False and ``end`` None.
    """
    executions = {}
    with open(path) as file:
        for line in file:
            # The last line may be incomplete if the process was killed.
            if line.endswith("\n"):
                fields = json.loads(line)
                fields.pop("event")
                executions[fields["execution"]] = fields
    return list(executions.values())
