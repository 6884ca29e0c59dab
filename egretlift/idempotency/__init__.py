"""Identifiers, the ledger and claims that make a call run at most once.

Examples
--------
>>> from egretlift.idempotency import Ledger, open_record
>>> from egretlift.settings import Settings
>>> ledger, settings = Ledger(), Settings()
>>> open_record(ledger, settings, 0.0, "northlight", "booking-7", "f").name
'FIRST'
>>> open_record(ledger, settings, 1.0, "northlight", "booking-7", "f").name
'RUNNING'
"""

from egretlift.idempotency.claims import (
    ClaimDecision,
    ClaimState,
    CreateResult,
    CreateStatus,
    decide_claim,
    make_claim_spec,
    name_claim,
)
from egretlift.idempotency.identifiers import (
    IdentifierKind,
    IssuedIdentifier,
    classify_identifier,
    issue_identifier,
    parse_identifier,
)
from egretlift.idempotency.ledger import (
    Ledger,
    Record,
    RecordState,
    add_waiter,
    drop_record,
    expire_records,
    find_record,
    finish_record,
    forget_record,
    open_record,
    remove_waiter,
)

__all__ = [
    "ClaimDecision",
    "ClaimState",
    "CreateResult",
    "CreateStatus",
    "IdentifierKind",
    "IssuedIdentifier",
    "Ledger",
    "Record",
    "RecordState",
    "add_waiter",
    "classify_identifier",
    "decide_claim",
    "drop_record",
    "expire_records",
    "find_record",
    "finish_record",
    "forget_record",
    "issue_identifier",
    "make_claim_spec",
    "name_claim",
    "open_record",
    "parse_identifier",
    "remove_waiter",
]
