"""What the upstream of this host states in its answers, and what others know of it."""

from egretlift.admission import slots as admission
from egretlift.admission.upstream_limit import get_stated_rate
from egretlift.clock import read_clock
from egretlift.membership.statements import name_incarnation
from egretlift.membership.upstream import record_leaving
from egretlift.serving.starts import reschedule_start


def read_statements(board, fields, announcement, sent_at):
    """Act on what the header fields of an answer state about the upstream.

    Parameters
    ----------
    board : Board
    fields : dict of str to str
    announcement : Announcement
        The heartbeat that was current when the request was sent. The upstream may have
        been replaced since.
    sent_at : float
        Monotonic time, in seconds, at which the request was sent.
    """
    upstream = name_incarnation(announcement.upstream_id, announcement.born)
    if board.slots.rate_limit.upstream == upstream:
        record_upstream_limit(board, fields, sent_at)
    if board.dialect.states_leaving(fields):
        handle_leaving_upstream(board, announcement)


def handle_leaving_upstream(board, announcement):
    """Send no further calls to the upstream of a heartbeat, which says it leaves."""
    upstream_id = announcement.upstream_id
    if record_leaving(board.upstream, upstream_id, announcement.born):
        board.log_change("upstream-leaving", upstream=upstream_id)
        admission.refuse_waiting(board.slots, board.upstream.status)
        board.mark_entry_changed()


def record_upstream_limit(board, fields, sent_at):
    """Record the rate limit that an answer states, and log a change.

    ``sent_at`` is the monotonic time, in seconds, at which the request was sent.
    """
    slots = board.slots
    before = get_stated_rate(slots.rate_limit)
    stated = board.dialect.read_rate_limit(fields)
    if admission.record_rate_limit(slots, stated, sent_at, read_clock()):
        handle_changed_limit(board, before, "upstream")


def adopt_known_limit(board, statement):
    """Adopt the rate limit that another daemon knows of this host's upstream.

    ``statement`` is a `Statement`, or None if the daemon knows none.
    """
    slots = board.slots
    if statement is None or statement.upstream != slots.rate_limit.upstream:
        return
    known = statement.rate_per_s
    if known is not None and admission.adopt_rate_limit(slots, known, read_clock()):
        handle_changed_limit(board, None, "daemon")


def handle_changed_limit(board, before, source):
    """Log a change of the rate limit, and set the timer of the next start anew.

    ``before`` is the earlier limit; ``source`` tells who stated the new one.
    """
    slots = board.slots
    board.log_change(
        "upstream-limit",
        rate_per_s=get_stated_rate(slots.rate_limit),
        before=before,
        source=source,
        requests=board.count_upstream_requests(),
        running=slots.running,
        queued=len(slots.waiting),
    )
    reschedule_start(board)
