"""Identifiers of at-most-once calls, issued by a daemon or made by a caller."""

import base64
import enum
import hmac
import json

ISSUED_PREFIX = "egretlift."
SIGNATURE_DOMAIN = b"identifier\0"
# 128 bits cannot be guessed and keep identifiers below MAX_IDENTIFIER_LENGTH.
SIGNATURE_BYTES = 16
MAX_IDENTIFIER_LENGTH = 200


class IdentifierKind(enum.Enum):
    """Origin of an identifier."""

    ISSUED = "issued"
    CALLER_MADE = "caller-made"
    INVALID = "invalid"


class IssuedIdentifier:
    """Content of an issued identifier.

    Parameters
    ----------
    host : str
        Host of the owner, the daemon that issued the identifier.
    incarnation : int
        Incarnation of the owner at the time of issue.
    sequence : int
        Number that makes the identifier unique within the incarnation.
    expires_at : float
        Expiry on the monotonic clock of the owner, in seconds. Only the owner may
        compare it with its clock.
    """

    __slots__ = ("expires_at", "host", "incarnation", "sequence")

    def __init__(self, host, incarnation, sequence, expires_at):
        self.host = host
        self.incarnation = incarnation
        self.sequence = sequence
        self.expires_at = expires_at


def encode_base64url(data):
    """Return bytes as URL-safe base64 without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def compute_signature(secret, payload):
    """Return the HMAC-SHA256 of an encoded payload, truncated, as base64url."""
    mac = hmac.digest(secret.encode(), SIGNATURE_DOMAIN + payload.encode(), "sha256")
    return encode_base64url(mac[:SIGNATURE_BYTES])


def issue_identifier(secret, host, incarnation, sequence, expires_at):
    """Return a new identifier that names its owner and is signed.

    Parameters
    ----------
    secret : str
        Mesh secret, the key of the signature.
    host : str
        This host, the owner of the identifier.
    incarnation : int
        Incarnation of this host.
    sequence : int
        Number not used before in this incarnation.
    expires_at : float
        Expiry on the monotonic clock of this host, in seconds.

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
    payload = encode_base64url(json.dumps(fields, separators=(",", ":")).encode())
    return f"{ISSUED_PREFIX}{payload}.{compute_signature(secret, payload)}"


def parse_identifier(secret, text):
    """Return the content of an issued identifier.

    Returns
    -------
    IssuedIdentifier or None
        None if the text is not an issued identifier or its signature is wrong.
    """
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
    """Return the origin of an identifier, and its content if it was issued.

    A caller-made identifier has 1 to 200 printable characters. A text with the prefix
    of issued identifiers and a wrong signature is invalid, not caller-made. Otherwise
    an identifier issued under a former mesh secret would be claimed as a new one, and
    its call could run a second time.

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
    if not 1 <= len(text) <= MAX_IDENTIFIER_LENGTH or not text.isprintable():
        return IdentifierKind.INVALID, None
    return IdentifierKind.CALLER_MADE, None
