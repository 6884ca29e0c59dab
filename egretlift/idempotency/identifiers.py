"""Identifiers of at-most-once calls, issued by a daemon or made by a caller."""

import base64
import enum
import hmac
import json

ISSUED_PREFIX = "egretlift."
LABEL = b"identifier\0"
# 128 bits cannot be guessed, and the text stays below 200 characters.
SIGNATURE_BYTES = 16
MAXIMUM_LENGTH = 200


class IdentifierKind(enum.Enum):
    """Who made an identifier."""

    ISSUED = "issued"
    CALLER_MADE = "caller-made"
    INVALID = "invalid"


class IssuedIdentifier:
    """Content of an issued identifier.

    Parameters
    ----------
    host : str
        Home daemon.
    incarnation : int
        Incarnation of the home at the time of issue.
    sequence : int
        Number that makes the identifier unique within the incarnation.
    expires_at : float
        End of its life in monotonic seconds of the home. Only the home may
        compare it with a clock.
    """

    __slots__ = ("expires_at", "host", "incarnation", "sequence")

    def __init__(self, host, incarnation, sequence, expires_at):
        self.host = host
        self.incarnation = incarnation
        self.sequence = sequence
        self.expires_at = expires_at


def encode_text(data):
    """Return bytes as URL-safe base64 without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def compute_signature(secret, payload):
    """Return the shortened HMAC-SHA256 of an encoded payload as text."""
    code = hmac.digest(secret.encode(), LABEL + payload.encode(), "sha256")
    return encode_text(code[:SIGNATURE_BYTES])


def issue_identifier(secret, host, incarnation, sequence, expires_at):
    """Return a new identifier that names its home and cannot be forged.

    Parameters
    ----------
    secret : str
        Mesh secret.
    host : str
        This host, the home of the identifier.
    incarnation : int
        Incarnation of this host.
    sequence : int
        Number not used before in this incarnation.
    expires_at : float
        End of its life in monotonic seconds of this host.

    Returns
    -------
    str

    See Also
    --------
    parse_identifier : The inverse.

    Examples
    --------
    >>> text = issue_identifier("s" * 16, "a", 5, 1, 86400.0)
    >>> parse_identifier("s" * 16, text).host
    'a'
    """
    fields = [host, incarnation, sequence, expires_at]
    payload = encode_text(json.dumps(fields, separators=(",", ":")).encode())
    return f"{ISSUED_PREFIX}{payload}.{compute_signature(secret, payload)}"


def parse_identifier(secret, text):
    """Return the content of an issued identifier; None for any other text."""
    if not isinstance(text, str) or not text.startswith(ISSUED_PREFIX):
        return None
    payload, _, signature = text[len(ISSUED_PREFIX) :].partition(".")
    if not text.isascii() or not hmac.compare_digest(
        signature, compute_signature(secret, payload)
    ):
        return None
    try:
        padding = "=" * (-len(payload) % 4)
        fields = json.loads(base64.urlsafe_b64decode(payload + padding))
        return IssuedIdentifier(*fields)
    except (ValueError, TypeError):
        return None


def classify_identifier(secret, text):
    """Return who made an identifier, and its content if it was issued.

    A caller-made identifier is 1 to 200 printable characters. A text with the
    prefix of issued identifiers and a wrong signature is invalid, not
    caller-made: an identifier issued under a former mesh secret would otherwise
    be claimed as a new one, and its call could run a second time.

    Returns
    -------
    kind : IdentifierKind
    issued : IssuedIdentifier or None

    Examples
    --------
    >>> classify_identifier("s" * 16, "booking-7")
    (<IdentifierKind.CALLER_MADE: 'caller-made'>, None)
    """
    issued = parse_identifier(secret, text)
    if issued is not None:
        return IdentifierKind.ISSUED, issued
    if not isinstance(text, str) or text.startswith(ISSUED_PREFIX):
        return IdentifierKind.INVALID, None
    if not 1 <= len(text) <= MAXIMUM_LENGTH or not text.isprintable():
        return IdentifierKind.INVALID, None
    return IdentifierKind.CALLER_MADE, None
