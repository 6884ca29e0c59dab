"""The daemon: controllers that read and write the blackboard.

See Also
--------
egretlift.blackboard : The state that the controllers share.
egretlift.transport : The edges that the controllers use.
"""
