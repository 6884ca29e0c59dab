"""Signals that ask a daemon to stop, or to read its settings again."""

import signal

import anyio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_signals(*numbers):
    """Ignore signals, which would otherwise end the process."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


async def handle_signals(stop, reload=None, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Handle the signals of a daemon until it is cancelled.

    The handlers stay during a graceful stop: signals may come in series, and a second
    one would otherwise end the process with its requests unanswered.

    Parameters
    ----------
    stop : anyio.Event
        Set at SIGTERM or SIGINT.
    reload : callable, optional
        Called without arguments at SIGHUP, which is otherwise ignored.
    """
    numbers = (*STOP_SIGNALS, signal.SIGHUP)
    try:
        with anyio.open_signal_receiver(*numbers) as signals:
            task_status.started()
            async for number in signals:
                if number in STOP_SIGNALS:
                    stop.set()
                elif reload is not None:
                    reload()
    finally:
        ignore_signals(*numbers)
