"""Claims in the platform that give a caller-made identifier its home.

A claim is created once and never reassigned. Whoever did not create it forwards
to the home named in it.
"""

import enum
import hashlib
import json


class CreateStatus(enum.Enum):
    """How the conditional create of a claim ended."""

    CREATED = "created"
    # The platform answered with a conflict that names the existing claim.
    EXISTS = "exists"
    # The answer was lost; the claim, or its absence, was read back.
    READ_BACK = "read-back"
    # The answer was lost and reading back failed as well.
    UNSETTLED = "unsettled"
    # The platform did not take the request.
    UNAVAILABLE = "unavailable"


class CreateResult:
    """Result of the conditional create of a claim.

    Parameters
    ----------
    status : CreateStatus
    spec : dict or None
        Spec of the claim that the platform holds, if it was seen.
    """

    __slots__ = ("spec", "status")

    def __init__(self, status, spec=None):
        self.status = status
        self.spec = spec


class ClaimState(enum.Enum):
    """Where the home of an identifier is."""

    OWNED = "owned"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


class ClaimDecision:
    """What to do with a call that has a caller-made identifier.

    Parameters
    ----------
    state : ClaimState
        ``OWNED``: open a record in this host's ledger. ``ELSEWHERE``: forward to
        the home, if that incarnation still lives. ``UNKNOWN``: answer so.
    host : str or None
        Home, if it is elsewhere.
    incarnation : int or None
        Incarnation of that home.
    reason : str or None
        Machine-readable reason of ``UNKNOWN``.
    """

    __slots__ = ("host", "incarnation", "reason", "state")

    def __init__(self, state, host=None, incarnation=None, reason=None):
        self.state = state
        self.host = host
        self.incarnation = incarnation
        self.reason = reason


def name_claim(organisation, identifier):
    """Return the name of a claim: the SHA-256 of organisation and identifier.

    Both are encoded as JSON, so no two pairs give the same text.

    Examples
    --------
    >>> name_claim("a", "bc") == name_claim("ab", "c")
    False
    """
    return hashlib.sha256(json.dumps([organisation, identifier]).encode()).hexdigest()


def make_claim_spec(me):
    """Return the spec of a claim by this host, given its ``Member``."""
    return {"host": me.host, "incarnation": me.incarnation}


def decide_claim(create_result, me):
    """Return where the home of an identifier is.

    Parameters
    ----------
    create_result : CreateResult
    me : Member
        This host; only ``host`` and ``incarnation`` are read.

    Returns
    -------
    ClaimDecision
        A claim by this incarnation is owned, whichever call created it: the
        ledger decides what has run. A claim by another incarnation of this host
        is unknown, since its ledger is lost. A claim that is absent after a lost
        answer is unknown too, since the create may still take effect.
    """
    status, spec = create_result.status, create_result.spec
    if status is CreateStatus.CREATED:
        return ClaimDecision(ClaimState.OWNED)
    if status is CreateStatus.UNAVAILABLE:
        return ClaimDecision(ClaimState.UNKNOWN, reason="platform-unavailable")
    if status is CreateStatus.UNSETTLED or spec is None:
        return ClaimDecision(ClaimState.UNKNOWN, reason="claim-unsettled")
    return read_claim(spec, me)


def read_claim(spec, me):
    """Return the decision that follows from an existing claim."""
    host = spec.get("host") if isinstance(spec, dict) else None
    incarnation = spec.get("incarnation") if isinstance(spec, dict) else None
    if not isinstance(host, str) or type(incarnation) is not int:
        return ClaimDecision(ClaimState.UNKNOWN, reason="claim-malformed")
    if host != me.host:
        return ClaimDecision(ClaimState.ELSEWHERE, host, incarnation)
    if incarnation != me.incarnation:
        return ClaimDecision(ClaimState.UNKNOWN, reason="home-restarted")
    return ClaimDecision(ClaimState.OWNED)
