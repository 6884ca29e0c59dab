"""Handling of a call: checks, choice of a host, execution and answer.

A caller's request passes these steps::

    receive (sidecar) -> checks -> quota -> offers -> execution -> deliver (sidecar)

A request of another daemon starts with the execution.
"""
