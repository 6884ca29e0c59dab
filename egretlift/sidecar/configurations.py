"""The configuration in force, read from the store and from other daemons.

Its version spreads with the reports.
"""

from egretlift.clock import read_clock
from egretlift.errors import ObjectInvalid
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.names import CONFIGURATION_KIND, CONFIGURATION_NAME
from egretlift.sidecar.following import follow

# Time for which a starting daemon waits for a configuration from its zone.
ZONE_WAIT_S = 1.5


def apply_configuration(board, document, source):
    """Put a configuration in force if it is newer than the current one.

    Returns whether it was put in force; invalid documents are logged and ignored.
    ``source`` is logged: "store" or the name of the host that sent the document.
    """
    try:
        configuration = decode_configuration(document)
    except ObjectInvalid as error:
        board.count("invalid_configurations")
        board.log_change("configuration-invalid", source=source, cause=str(error))
        return False
    current = board.configuration
    if current is not None and configuration.version <= current.version:
        is_same = configuration.version == current.version
        if is_same and document != current.document:
            version = current.version
            board.log_change("configuration-differs", version=version, source=source)
        return False
    board.configuration = configuration
    board.log_change(
        "configuration-in-force",
        version=configuration.version,
        before=current.version if current else 0,
        source=source,
    )
    board.report_due.set()
    return True


def apply_configuration_object(board, found):
    """Apply an object of the configuration's kind if it is the configuration."""
    if found.name == CONFIGURATION_NAME and found.spec is not None:
        apply_configuration(board, found.spec, "store")


def apply_configuration_objects(board, objects, list_position):
    """Apply objects of the configuration's kind, listed or changed."""
    for found in objects:
        apply_configuration_object(board, found)


async def follow_configuration(board):
    """Keep the configuration in force up to date from the store.

    A starting daemon reads it itself if it gets none from its zone in time.
    """
    await board.hosts_listed.wait()
    listed = read_clock()

    def may_read():
        has_waited = read_clock() - listed > ZONE_WAIT_S
        return has_waited and board.configuration is None

    await follow(board, CONFIGURATION_KIND, apply_configuration_objects, may_read)
