"""Identifiers, ledger and claims, which ensure that a call runs at most once.

Each identifier has one owner: the daemon whose ledger records its calls. An issued
identifier names its owner; a claim in the platform names the owner of one made by a
caller. Machine-readable reasons such as ``home-restarted`` call the owner "home".

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
    delete_expired_record,
    delete_expired_records,
    delete_unexecuted_record,
    find_record,
    finish_record,
    open_record,
    remove_waiter,
)
from egretlift.idempotency.removal import (
    RemovalState,
    collect_claims,
    find_due_batch,
    is_index_due,
    make_batch,
    make_index_spec,
    record_batch,
    record_index,
    restore_state,
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
    "RemovalState",
    "add_waiter",
    "classify_identifier",
    "collect_claims",
    "decide_claim",
    "delete_expired_record",
    "delete_expired_records",
    "delete_unexecuted_record",
    "find_due_batch",
    "find_record",
    "finish_record",
    "is_index_due",
    "issue_identifier",
    "make_batch",
    "make_claim_spec",
    "make_index_spec",
    "name_claim",
    "open_record",
    "parse_identifier",
    "record_batch",
    "record_index",
    "remove_waiter",
    "restore_state",
]
