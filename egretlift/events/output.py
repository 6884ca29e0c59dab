"""A text stream for log lines that never blocks the daemon."""

import os

# Lines that the reader of a full pipe has not taken yet; further ones are dropped.
BUFFER_BYTES = 65536


class Output:
    """Lines on a file descriptor; what the reader does not take is dropped.

    Attributes
    ----------
    dropped : int
        Lines that were dropped, stated in the next line that is written.
    """

    __slots__ = ("descriptor", "dropped", "pending")

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0

    def write(self, text):
        """Write whole lines, or drop them while the reader is behind."""
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
        """Write what the reader takes now."""
        try:
            while self.pending:
                written = os.write(self.descriptor, self.pending)
                self.pending = self.pending[written:]
        except BlockingIOError:
            pass
        except OSError:
            # Without a reader there is nobody to tell.
            self.pending = b""
            self.dropped += 1
