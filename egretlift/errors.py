"""Exceptions, whose messages state both the problem and its remedy."""


class EgretliftError(Exception):
    """Base class of the exceptions raised by the library.

    ``str`` of an error is its message followed by its remedy.

    Parameters
    ----------
    message : str
        Description of the problem.
    remedy : str
        How the user can solve it.

    Examples
    --------
    >>> str(SettingError("caller-port is 'x'", "give a port from 1 to 65535"))
    "caller-port is 'x'; give a port from 1 to 65535"
    """

    def __init__(self, message, remedy):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingError(EgretliftError):
    """A setting has an invalid value."""


class ConflictError(EgretliftError):
    """A conditional update was based on a version that is no longer current."""


class PlatformUnavailable(EgretliftError):
    """The platform is unreachable, or answered that it cannot serve requests."""


class WriteUnsettled(EgretliftError):
    """The outcome of a write is unknown: its answer was lost and read-back failed."""


class NotFound(EgretliftError):
    """The named object does not exist."""


class ContextForged(EgretliftError):
    """A call context has no valid signature or is malformed."""


class ProfileInvalid(EgretliftError):
    """A field of a profile has an invalid value."""


class OrganisationInvalid(EgretliftError):
    """A field of an organisation has an invalid value."""


class AnnouncementInvalid(EgretliftError):
    """An announcement of an upstream has an invalid value."""


class ObjectInvalid(EgretliftError):
    """An object received from the platform or a peer is malformed."""
