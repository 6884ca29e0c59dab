"""Decoding of the heartbeats that upstreams send."""

import json

from egretlift.errors import AnnouncementInvalid
from egretlift.membership.upstream import Announcement

STATES = ("ready", "draining")
REMEDY = "send the fields of a heartbeat with their types"


def is_number(value):
    """Return whether a JSON value is a number; booleans are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


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
        document = json.loads(body)
        texts = [document[name] for name in ("service", "address", "state")]
        slots, sequence = document["slots"], document["seq"]
        # "born" is the start time of the upstream's process in Unix milliseconds.
        born = document.get("born", 0)
    except (ValueError, KeyError, TypeError) as error:
        raise AnnouncementInvalid(
            f"heartbeat is malformed: {error!r}", REMEDY
        ) from error
    service, address, state = texts
    well_typed = (
        all(isinstance(text, str) and text for text in texts)
        and all(is_number(value) for value in (slots, sequence, born))
        and state in STATES
        and slots >= 1
        and upstream_id
    )
    if not well_typed:
        raise AnnouncementInvalid(f"heartbeat of {upstream_id}: {body[:200]!r}", REMEDY)
    return Announcement(
        upstream_id, service, address, int(slots), state, born, sequence
    )
