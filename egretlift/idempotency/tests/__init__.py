"""Tests of identifiers, the ledger and claims."""
