"""Typed errors whose messages name the remedy."""


class EgretliftError(Exception):
    """Base class of all errors raised by the library.

    The text of an error is its message followed by the remedy.

    Parameters
    ----------
    message : str
        What is wrong.
    remedy : str
        What the reader can do about it.

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
    """A conditional update named a version that is no longer the current one."""


class PlatformUnavailable(EgretliftError):
    """The platform did not answer, or answered that it cannot serve."""


class WriteUnsettled(EgretliftError):
    """The answer to a write was lost and reading back failed as well."""


class NotFound(EgretliftError):
    """The named object does not exist."""


class ContextForged(EgretliftError):
    """A call context has no valid signature."""


class ProfileInvalid(EgretliftError):
    """A field of a profile has an invalid value."""


class OrganisationInvalid(EgretliftError):
    """A field of an organisation has an invalid value."""


class AnnouncementInvalid(EgretliftError):
    """An upstream's announcement has an invalid value."""


class ObjectInvalid(EgretliftError):
    """An object received from the platform or a peer is malformed."""
