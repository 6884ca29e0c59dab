"""Claims in the platform, which name the owner of a caller-made identifier.

A claim is created once and never reassigned. A daemon that did not create it forwards
the call to the owner that the claim names.
"""

import enum
import hashlib
import json


class CreateStatus(enum.Enum):
    """How the conditional create of a claim ended."""

    CREATED = "created"
    # The platform answered with a conflict that names the existing claim.
    EXISTS = "exists"
    # The answer was lost, but a later read showed the claim or its absence.
    READ_BACK = "read-back"
    # The answer was lost, and the later read failed too.
    UNSETTLED = "unsettled"
    # The platform did not accept the request.
    UNAVAILABLE = "unavailable"


class CreateResult:
    """Result of the conditional create of a claim.

    Parameters
    ----------
    status : CreateStatus
    spec : dict or None
        Spec of the claim in the platform; None if it was not seen.
    """

    __slots__ = ("spec", "status")

    def __init__(self, status, spec=None):
        self.status = status
        self.spec = spec


class ClaimState(enum.Enum):
    """Whether this daemon, another or an unknown one owns an identifier."""

    OWNED = "owned"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


class ClaimDecision:
    """Decision about a call with a caller-made identifier.

    Parameters
    ----------
    state : ClaimState
        ``OWNED``: open a record in this host's ledger. ``ELSEWHERE``: forward the call
        to the owner, if that incarnation is still running. ``UNKNOWN``: answer that
        the outcome is unknown.
    host : str or None
        Host of the owner if the state is ``ELSEWHERE``, else None.
    incarnation : int or None
        Incarnation of the owner if the state is ``ELSEWHERE``, else None.
    reason : str or None
        Machine-readable reason if the state is ``UNKNOWN``, else None.
    """

    __slots__ = ("host", "incarnation", "reason", "state")

    def __init__(self, state, host=None, incarnation=None, reason=None):
        self.state = state
        self.host = host
        self.incarnation = incarnation
        self.reason = reason


def name_claim(organisation, identifier):
    """Return the name of a claim: the SHA-256 digest of organisation and identifier.

    The pair is encoded as JSON, so different pairs never give the same input.

    Examples
    --------
    >>> name_claim("a", "bc") == name_claim("ab", "c")
    False
    """
    return hashlib.sha256(json.dumps([organisation, identifier]).encode()).hexdigest()


def make_claim_spec(local_member):
    """Return the spec of a claim by this host.

    Parameters
    ----------
    local_member : Member
        This host; only ``host`` and ``incarnation`` are read.
    """
    return {"host": local_member.host, "incarnation": local_member.incarnation}


def decide_claim(create_result, local_member):
    """Decide how to handle a call, given the result of creating its claim.

    Parameters
    ----------
    create_result : CreateResult
    local_member : Member
        This host; only ``host`` and ``incarnation`` are read.

    Returns
    -------
    ClaimDecision
        A claim by this incarnation gives ``OWNED``, whichever call created it, as the
        ledger records what has run. A claim by another incarnation of this host gives
        ``UNKNOWN``, since the ledger of that incarnation is lost. So does a claim that
        is absent after a lost answer, since the create may still take effect.
    """
    status, spec = create_result.status, create_result.spec
    if status is CreateStatus.CREATED:
        return ClaimDecision(ClaimState.OWNED)
    if status is CreateStatus.UNAVAILABLE:
        return ClaimDecision(ClaimState.UNKNOWN, reason="platform-unavailable")
    if status is CreateStatus.UNSETTLED or spec is None:
        return ClaimDecision(ClaimState.UNKNOWN, reason="claim-unsettled")
    return decide_existing_claim(spec, local_member)


def decide_existing_claim(spec, local_member):
    """Decide how to handle a call whose claim exists, given the spec of the claim."""
    host = spec.get("host") if isinstance(spec, dict) else None
    incarnation = spec.get("incarnation") if isinstance(spec, dict) else None
    if not isinstance(host, str) or type(incarnation) is not int:
        return ClaimDecision(ClaimState.UNKNOWN, reason="claim-malformed")
    if host != local_member.host:
        return ClaimDecision(ClaimState.ELSEWHERE, host, incarnation)
    if incarnation != local_member.incarnation:
        return ClaimDecision(ClaimState.UNKNOWN, reason="home-restarted")
    return ClaimDecision(ClaimState.OWNED)
