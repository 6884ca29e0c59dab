"""Simulated external systems and local meshes, for tests and measurements.

A stand-in takes the place of a system that egretlift talks to: the platform, an
upstream or a caller. ``python -m standins.platform``, ``.upstream``, ``.proxy`` and
``.load`` run one process each. Tests use `standins.mesh` (see its ``__all__``),
`standins.load.run_load` and `standins.records.read_executions`. This package imports
nothing, because ``python -m`` warns when the module to run is already imported.
"""
