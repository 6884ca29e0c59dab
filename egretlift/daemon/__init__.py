"""The daemon: request handlers and background tasks that share one blackboard.

See Also
--------
egretlift.blackboard : State that the handlers and tasks share.
egretlift.transport : HTTP and control connections that they use.
"""
