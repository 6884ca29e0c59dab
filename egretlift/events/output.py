"""Non-blocking text stream for log lines, so that logging never stalls the daemon."""

import os

# Most bytes held for a reader that does not keep up; further lines are dropped.
BUFFER_BYTES = 65536


class Output:
    """Text stream on a file descriptor that drops lines instead of blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is set to non-blocking mode.

    Attributes
    ----------
    pending : bytes
        Lines that the reader has not accepted yet, at most ``BUFFER_BYTES``.
    dropped : int
        Number of lines dropped since the last ``lines-dropped`` event. The next line
        that is accepted is preceded by such an event with this count. A buffer that
        is lost because the reader has closed the pipe counts as one line.
    """

    __slots__ = ("descriptor", "dropped", "pending")

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0

    def write(self, text):
        """Add whole lines to the buffer, or drop them if they do not fit."""
        data = text.encode("utf-8", "replace")
        if len(self.pending) + len(data) > BUFFER_BYTES:
            self.dropped += 1
            self.flush()
            return
        if self.dropped:
            data = b"event=lines-dropped count=%d\n" % self.dropped + data
            self.dropped = 0
        self.pending += data

    def flush(self):
        """Write as much of the buffer as the reader accepts without blocking."""
        try:
            while self.pending:
                written = os.write(self.descriptor, self.pending)
                self.pending = self.pending[written:]
        except BlockingIOError:
            pass
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged either.
            self.pending = b""
            self.dropped += 1
