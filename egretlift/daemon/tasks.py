"""Background tasks whose errors do not end the daemon."""

import traceback

import anyio

from egretlift.events import record_event

RESTART_PAUSE_S = 1.0


def start_task(board, function, *arguments):
    """Run a coroutine function beside the caller; an error is recorded.

    Without this, one malformed message of a peer would cancel all controllers.
    """
    board.tasks.start_soon(run_guarded, board, function, arguments)


async def run_guarded(board, function, arguments):
    """Run a coroutine function and return whether it ended without an error."""
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
    """Run a controller and start it again after an error."""
    while not await run_guarded(board, controller, ()):
        await anyio.sleep(RESTART_PAUSE_S)
