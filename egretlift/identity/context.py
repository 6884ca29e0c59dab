"""Call contexts and messages that daemons sign with the mesh secret.

A signed context is the text ``payload.signature``, both parts in URL-safe base64. The
signature is an HMAC of the encoded payload and is compared in its encoded form, so
every changed character is detected. A comparison of decoded bytes would accept other
spellings of the last character. The HMAC also covers a label (domain separation), so
that a signature made for one use is not valid for another.
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
# Created once: json.dumps with separators builds a new encoder on every call.
ENCODE_JSON = json.JSONEncoder(separators=(",", ":")).encode
DECODE_JSON = json.JSONDecoder().decode
REMEDY = "check that all daemons have the same mesh secret and version"


class CallContext:
    """Metadata of a call that one daemon forwards to the next.

    Parameters
    ----------
    call_id : str
        Identifier of the call in logs.
    organisation : str or None
        Organisation whose key the caller presented; None on open routes.
    priority : Priority
        Priority of the call that entered the mesh.
    remaining_s : float
        Seconds until the deadline at the time of signing.
    retries : int
        Number of retries that the receiver may use for this call.
    depth : int
        Number of services that the call has passed through; 0 for a call of an
        outside caller.
    identifier : str or None
        Idempotency key of an at-most-once call.
    origin_host : str
        Host whose daemon signed the context.
    hop : str
        What the receiver must do: ``outgoing`` (route the call to the owner of the
        identifier, if there is one), ``home`` (act as that owner) or ``execute``
        (run the call on its upstream).
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
    """Return the fields of a context as a list, in the order of the payload."""
    return [getattr(context, name) for name in context.__slots__]


def compute_signature(secret, label, data):
    """Return the HMAC-SHA256 of a label and data as URL-safe base64 bytes."""
    mac = hmac.digest(secret.encode(), label + data, "sha256")
    return base64.urlsafe_b64encode(mac)


def sign_context(secret, context):
    """Return a context as signed ASCII text that is valid as a header value.

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
    payload = base64.urlsafe_b64encode(ENCODE_JSON(list_fields(context)).encode())
    return (payload + b"." + compute_signature(secret, CONTEXT_LABEL, payload)).decode()


def verify_context(secret, text):
    """Return the context in a signed text after checking the signature.

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
        If the text was not made by `sign_context` with this secret. No other
        exception is raised, whatever the text is.

    See Also
    --------
    sign_context : The inverse.
    """
    try:
        payload, _, signature = text.encode("ascii").partition(b".")
    except (UnicodeEncodeError, AttributeError, TypeError):
        raise ContextForged("the call context is not ASCII text", REMEDY) from None
    if not hmac.compare_digest(
        signature, compute_signature(secret, CONTEXT_LABEL, payload)
    ):
        raise ContextForged("the call context has an invalid signature", REMEDY)
    try:
        fields = DECODE_JSON(base64.urlsafe_b64decode(payload).decode())
    except (binascii.Error, ValueError, RecursionError):
        raise ContextForged("the call context is not JSON", REMEDY) from None
    return read_fields(fields)


def read_fields(fields):
    """Return the context in the list of a decoded payload, after validating it."""
    count = len(CallContext.__slots__)
    if type(fields) is not list or len(fields) != count:
        raise ContextForged("the call context has unexpected fields", REMEDY)
    context = CallContext(*fields)
    if not has_valid_fields(context):
        raise ContextForged("the call context has invalid values", REMEDY)
    context.priority = PRIORITIES[context.priority]
    return context


def has_valid_fields(context):
    """Return whether all fields have valid values; the priority is still a number."""
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
        # NaN and infinity would disable every later deadline check.
        and -1e9 < context.remaining_s < 1e9
    )


def sign_message(secret, data):
    """Return the signature of a message between daemons, sent as gRPC metadata.

    Parameters
    ----------
    secret : str
        Mesh secret.
    data : bytes
        The serialised message.

    Returns
    -------
    str
        HMAC-SHA256 in URL-safe base64.

    See Also
    --------
    verify_message : The check of such a signature.

    Examples
    --------
    >>> token = sign_message("s" * 16, b"gossip")
    >>> verify_message("s" * 16, b"gossip", token)
    True
    """
    return compute_signature(secret, MESSAGE_LABEL, data).decode()


def verify_message(secret, data, text):
    """Return whether a text is the signature of the data; never raises for any text."""
    if not isinstance(text, str) or not text.isascii():
        return False
    expected = compute_signature(secret, MESSAGE_LABEL, data)
    return hmac.compare_digest(text.encode(), expected)
