"""Request bodies, buffered whole so that a call can be sent to several hosts."""

from egretlift.serving.checks import raise_refusal
from egretlift.transport.messages import (
    BodyCutShort,
    BodyTooLarge,
    BodyTooSlow,
    RequestBody,
    buffer_body,
)

BODY_BYTES_MAXIMUM = 16 * 1024 * 1024
BODY_GAP_S = 5.0


async def read_body(request, limit=None):
    """Return the whole body of a request, empty if it has none.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
    limit : int or None
        Largest accepted size in bytes, at most ``BODY_BYTES_MAXIMUM``, which also
        holds without a limit.

    Raises
    ------
    CheckFailed
        The body is too large, its sender pauses for longer than ``BODY_GAP_S``, or the
        connection ends before the body does.
    """
    if not request.body_exists:
        return b""
    body = RequestBody(request, BODY_GAP_S)
    try:
        await buffer_body(body, min(limit or BODY_BYTES_MAXIMUM, BODY_BYTES_MAXIMUM))
    except BodyTooLarge:
        raise_refusal("body-too-large", 413, "send a smaller body")
    except BodyTooSlow:
        raise_refusal("body-too-slow", 408, "send the body without long pauses")
    except BodyCutShort:
        raise_refusal("body-cut-short", 400, "send the whole announced body")
    return body.data
