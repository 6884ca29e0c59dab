"""Records of executions, kept in memory and appended to a file of JSON lines."""

import collections
import json
import time

RECORDS_KEPT = 200_000
HEADERS_KEPT = 100


class Records:
    """Executions of one upstream.

    Parameters
    ----------
    path : str or None
        File to which a line is appended at the start and at the end of each
        execution, so that an execution cut off by SIGKILL is in the file as well.
    name : str
        Prefix of the execution numbers, unique over all upstreams.
    """

    __slots__ = ("counts", "executions", "file", "headers", "name")

    def __init__(self, path, name):
        self.name = name
        self.file = open(path, "a", buffering=1) if path else None  # noqa: SIM115
        self.executions = collections.deque(maxlen=RECORDS_KEPT)
        self.headers = collections.deque(maxlen=HEADERS_KEPT)
        self.counts = collections.Counter()


def append_line(records, event, fields):
    """Append one line to the file."""
    if records.file is not None:
        records.file.write(json.dumps({"event": event, **fields}) + "\n")


def record_start(records, request, arrived):
    """Record that a request got a slot; return its execution."""
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
    append_line(records, "start", execution)
    return execution


def record_end(records, execution, status, finished):
    """Record the end of an execution; status is None if it had no answer."""
    execution.update(end=time.monotonic(), status=status, finished=finished)
    records.counts["finished" if finished else "unfinished"] += 1
    append_line(records, "end", execution)


def record_headers(records, request):
    """Keep all headers of a request, as a list of pairs."""
    pairs = [[name, value] for name, value in request.headers.items()]
    path = request.path_qs
    records.headers.append({"path": path, "headers": pairs})


def read_executions(path):
    """Return the executions in a file, one dict each, in order of their start.

    An execution that never ended, because the process was killed, has
    ``finished`` False and no ``end``.
    """
    executions = {}
    with open(path) as file:
        for line in file:
            # The last line may be cut off if the process was killed.
            if line.endswith("\n"):
                fields = json.loads(line)
                fields.pop("event")
                executions[fields["execution"]] = fields
    return list(executions.values())
