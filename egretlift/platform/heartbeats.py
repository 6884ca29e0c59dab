"""Heartbeats of upstreams, decoded from the platform's fields."""

import json

from egretlift.errors import AnnouncementInvalid
from egretlift.membership.upstream import Announcement

STATES = ("ready", "draining")
REMEDY = "send the fields of a heartbeat with their types"


def is_number(value):
    """Return whether a JSON value is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def decode_heartbeat(upstream_id, body):
    """Return the announcement in the body of a heartbeat.

    Parameters
    ----------
    upstream_id : str
        From the path.
    body : bytes

    Raises
    ------
    AnnouncementInvalid
        A field is missing or has another type; the heartbeat names no upstream.
    """
    try:
        document = json.loads(body)
        texts = [document[name] for name in ("service", "address", "state")]
        slots, sequence = document["slots"], document["seq"]
        # "born" is the start of the upstream's process, Unix milliseconds.
        born = document.get("born", 0)
    except (ValueError, KeyError, TypeError) as error:
        raise AnnouncementInvalid(f"heartbeat: {error!r}", REMEDY) from error
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
