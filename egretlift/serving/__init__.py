"""The path of a call: checks, choice of a host, execution and answer.

Examples
--------
The path of a caller's request::

    receive (sidecar) -> checks -> quota -> offers -> execution -> deliver (sidecar)

Another daemon's request enters at the execution.
"""
