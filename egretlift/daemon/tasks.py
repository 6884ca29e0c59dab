"""Background tasks whose errors do not end the daemon."""

import traceback

import anyio

from egretlift.events import record_event

RESTART_PAUSE_S = 1.0


def start_task(board, function, *arguments):
    """Run a coroutine function in the background; an error is logged and counted.

    Unguarded, an error caused by one malformed message of a peer would cancel all
    tasks of the daemon.
    """
    board.tasks.start_soon(run_guarded, board, function, arguments)


async def run_guarded(board, function, arguments):
    """Run a coroutine function; log and count an error and return False for it."""
    try:
        await function(board, *arguments)
    except Exception as error:
        board.count("task_errors", function.__name__)
        record_event(
            "task-error",
            task=function.__name__,
            error=repr(error),
            place=traceback.format_tb(error.__traceback__)[-1].strip(),
        )
        return False
    return True


async def keep_running(board, controller):
    """Run a background loop and restart it ``RESTART_PAUSE_S`` after an error."""
    while not await run_guarded(board, controller, ()):
        await anyio.sleep(RESTART_PAUSE_S)
