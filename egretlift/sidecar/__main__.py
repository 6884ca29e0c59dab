"""Run the sidecar daemon: ``python -m egretlift.sidecar``."""

import os
import signal

# The settings are read at the start in any case; the signal would end the process
# before its handler is installed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The server library loads the certificate authorities when it is imported, which takes
# a fifth of the daemon's start time. No connection of the daemon uses TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

from egretlift.sidecar.main import main  # noqa: E402

main()
