"""Decoding of the heartbeats that upstreams send."""

from egretlift.documents import is_header_text, is_number, is_text, parse_document
from egretlift.errors import AnnouncementInvalid, ObjectInvalid
from egretlift.membership.peers import SLOTS_MAXIMUM
from egretlift.membership.upstream import Announcement

STATES = ("ready", "draining")
REMEDY = "send the fields of a heartbeat with their types and in their range"


def decode_heartbeat(upstream_id, body):
    """Return the announcement in the body of a heartbeat.

    Parameters
    ----------
    upstream_id : str
        Identifier of the upstream, from the path of the request.
    body : bytes
        JSON object.

    Raises
    ------
    AnnouncementInvalid
        A field is missing, has another type or an invalid value; the heartbeat must
        be ignored.
    """
    try:
        document = parse_document(body)
        texts = [document[name] for name in ("service", "address", "state")]
        slots, sequence = document["slots"], document["seq"]
        # "born" is the start time of the upstream's process in Unix milliseconds.
        born = document.get("born", 0)
    except (ObjectInvalid, AttributeError, KeyError, TypeError) as error:
        raise AnnouncementInvalid(
            f"heartbeat is malformed: {error!r}", REMEDY
        ) from error
    service, address, state = texts
    is_valid = (
        is_header_text(upstream_id)
        and all(is_text(text) for text in texts)
        and all(is_number(value, 0) for value in (sequence, born))
        and is_number(slots, 1, SLOTS_MAXIMUM)
        and state in STATES
    )
    if not is_valid:
        raise AnnouncementInvalid(f"heartbeat of {upstream_id}: {body[:200]!r}", REMEDY)
    return Announcement(
        upstream_id, service, address, int(slots), state, born, sequence
    )
