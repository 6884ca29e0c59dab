"""Tests of the log stream with a reader that stalls or is gone."""

import os
import time
import unittest

from egretlift.events.output import BUFFER_BYTES, Output


class TestOutput(unittest.TestCase):
    """Tests of lines written to a pipe."""

    def test_stalled_reader(self):
        """Guards against a log that blocks the daemon or drops lines uncounted."""
        reading, writing = os.pipe()
        output = Output(writing)
        line = "event=x " + "a" * 1000 + "\n"
        started = time.monotonic()
        for _ in range(2000):
            output.write(line)
            output.flush()
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertLessEqual(len(output.pending), BUFFER_BYTES)
        self.assertGreater(output.dropped, 0)
        received = b""
        os.set_blocking(reading, False)
        for _ in range(50):
            try:
                received += os.read(reading, 1 << 20)
            except BlockingIOError:
                pass
            output.flush()
        output.write("event=last\n")
        output.flush()
        received += os.read(reading, 1 << 20)
        os.close(reading)
        os.close(writing)
        lines = received.decode().splitlines()
        self.assertEqual(lines[-1], "event=last")
        self.assertTrue(lines[-2].startswith("event=lines-dropped count="))
        self.assertTrue(all(text.startswith("event=") for text in lines))

    def test_reader_that_is_gone(self):
        """Guards against an exception when the reader has closed the pipe."""
        reading, writing = os.pipe()
        output = Output(writing)
        os.close(reading)
        output.write("event=x\n")
        output.flush()
        os.close(writing)
        self.assertEqual(output.dropped, 1)


if __name__ == "__main__":
    unittest.main()
