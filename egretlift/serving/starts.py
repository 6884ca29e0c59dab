"""The timer that starts waiting calls when the upstream's rate limit allows it."""

import asyncio

from egretlift.admission import slots as admission
from egretlift.clock import read_clock


def schedule_start(board):
    """Set the timer for the next start if it needs no slot to be released.

    Does nothing while the timer is set.
    """
    if board.start_timer is not None:
        return
    delay_s = admission.compute_start_delay_s(board.slots, read_clock())
    if delay_s is not None:
        loop = asyncio.get_running_loop()
        board.start_timer = loop.call_later(delay_s, start_waiting_calls, board)


def start_waiting_calls(board):
    """Start the calls that the rate limit of the upstream lets start now."""
    board.start_timer = None
    admission.start_waiting(board.slots, read_clock())
    schedule_start(board)


def reschedule_start(board):
    """Set the timer anew after a change of the rate limit."""
    if board.start_timer is not None:
        board.start_timer.cancel()
        board.start_timer = None
    schedule_start(board)
