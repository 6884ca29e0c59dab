"""Context of a call, signed between daemons with the mesh secret.

The text is ``payload.signature``, both in URL-safe base64. The signature covers
the encoded payload and is compared in its encoded form, so every changed
character is found; comparing decoded bytes would accept other spellings of the
last character. Labels keep a signature made for one use from passing for another.
"""

import base64
import binascii
import hmac
import json

from egretlift.errors import ContextForged
from egretlift.outcome import Priority

CONTEXT_LABEL = b"context\0"
MESSAGE_LABEL = b"message\0"
PRIORITIES = tuple(Priority)
HOPS = ("outgoing", "home", "execute")
# Reused, because json.dumps with separators builds an encoder for every call.
ENCODE = json.JSONEncoder(separators=(",", ":")).encode
DECODE = json.JSONDecoder().decode
REMEDY = "check that all daemons have the same mesh secret and version"


class CallContext:
    """What one daemon tells the next about a call.

    Parameters
    ----------
    call_id : str
        Identifier of the call in logs.
    organisation : str or None
        Organisation whose key came with the call; None on open routes.
    priority : Priority
        Priority of the entry call.
    remaining_s : float
        Seconds until the deadline at the time of signing.
    retries : int
        Retry allowance lent with the call.
    depth : int
        Number of services above this call; 0 for the caller's own call.
    identifier : str or None
        Identifier of an at-most-once call.
    origin_host : str
        Host whose daemon signed the context.
    hop : str
        What the receiver is to do: ``outgoing`` (find the home of the identifier,
        if there is one), ``home`` (act as that home) or ``execute``.
    """

    __slots__ = (
        "call_id",
        "organisation",
        "priority",
        "remaining_s",
        "retries",
        "depth",
        "identifier",
        "origin_host",
        "hop",
    )

    def __init__(
        self,
        call_id,
        organisation,
        priority,
        remaining_s,
        retries,
        depth,
        identifier,
        origin_host,
        hop,
    ):
        self.call_id = call_id
        self.organisation = organisation
        self.priority = priority
        self.remaining_s = remaining_s
        self.retries = retries
        self.depth = depth
        self.identifier = identifier
        self.origin_host = origin_host
        self.hop = hop

    def __repr__(self):
        return f"CallContext({list_fields(self)!r})"


def list_fields(context):
    """Return the fields of a context in the order of the payload."""
    return [getattr(context, name) for name in context.__slots__]


def compute_signature(secret, label, data):
    """Return the HMAC-SHA256 of labelled data as URL-safe base64 bytes."""
    code = hmac.digest(secret.encode(), label + data, "sha256")
    return base64.urlsafe_b64encode(code)


def sign_context(secret, context):
    """Return a context as signed text fit for a header.

    Parameters
    ----------
    secret : str
        Mesh secret.
    context : CallContext

    Returns
    -------
    str

    See Also
    --------
    verify_context : The inverse.

    Examples
    --------
    >>> context = CallContext(
    ...     "c1", None, Priority.CRITICAL, 1.5, 2, 0, None, "a", "home"
    ... )
    >>> verify_context("s" * 16, sign_context("s" * 16, context)).remaining_s
    1.5
    """
    payload = base64.urlsafe_b64encode(ENCODE(list_fields(context)).encode())
    return (payload + b"." + compute_signature(secret, CONTEXT_LABEL, payload)).decode()


def verify_context(secret, text):
    """Return the context in a signed text.

    Parameters
    ----------
    secret : str
        Mesh secret.
    text : str
        Value of the context header.

    Returns
    -------
    CallContext

    Raises
    ------
    ContextForged
        If the text was not made by ``sign_context`` with this secret. No other
        error is raised, whatever the text is.
    """
    try:
        payload, _, signature = text.encode("ascii").partition(b".")
    except (UnicodeEncodeError, AttributeError, TypeError):
        raise ContextForged("call context is not ASCII text", REMEDY) from None
    if not hmac.compare_digest(
        signature, compute_signature(secret, CONTEXT_LABEL, payload)
    ):
        raise ContextForged("call context has a wrong signature", REMEDY)
    try:
        fields = DECODE(base64.urlsafe_b64decode(payload).decode())
    except (binascii.Error, ValueError, RecursionError):
        raise ContextForged("call context is not JSON", REMEDY) from None
    return read_fields(fields)


def read_fields(fields):
    """Return a context from the list in a payload."""
    count = len(CallContext.__slots__)
    if type(fields) is not list or len(fields) != count:
        raise ContextForged("call context has unexpected fields", REMEDY)
    context = CallContext(*fields)
    if not check_fields(context):
        raise ContextForged("call context has unexpected fields", REMEDY)
    context.priority = PRIORITIES[context.priority]
    return context


def check_fields(context):
    """Return whether all values, the priority as a number, are those of a context."""
    numbers = (context.priority, context.retries, context.depth)
    texts = (context.call_id, context.origin_host, context.hop)
    optional = (context.organisation, context.identifier)
    return (
        all(type(text) is str for text in texts)
        and context.hop in HOPS
        and all(text is None or type(text) is str for text in optional)
        and all(type(number) is int and number >= 0 for number in numbers)
        and context.priority < len(PRIORITIES)
        and type(context.remaining_s) in (int, float)
        # A NaN or an infinite time would disable every later deadline check.
        and -1e9 < context.remaining_s < 1e9
    )


def sign_message(secret, data):
    """Return the signature of a message between daemons, for gRPC metadata.

    Parameters
    ----------
    secret : str
        Mesh secret.
    data : bytes
        The serialised message.

    Returns
    -------
    str
        URL-safe text.

    Examples
    --------
    >>> token = sign_message("s" * 16, b"gossip")
    >>> verify_message("s" * 16, b"gossip", token)
    True
    """
    return compute_signature(secret, MESSAGE_LABEL, data).decode()


def verify_message(secret, data, text):
    """Return whether a text is the signature of the data; no text raises an error."""
    if not isinstance(text, str) or not text.isascii():
        return False
    expected = compute_signature(secret, MESSAGE_LABEL, data)
    return hmac.compare_digest(text.encode(), expected)
