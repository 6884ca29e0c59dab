"""Stand-ins for outside systems, for tests and measurements.

``python -m standins.platform``, ``.upstream``, ``.proxy`` and ``.load`` run one
process each. Tests use `standins.mesh` (see its ``__all__``), `standins.load.run_load`
and `standins.records.read_executions`. Nothing is imported here, because a module
that is already imported cannot be run by ``python -m`` without a warning.
"""
