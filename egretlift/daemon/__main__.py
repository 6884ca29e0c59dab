"""Runs the daemon with ``python -m egretlift.daemon``."""

from egretlift.daemon.main import main

if __name__ == "__main__":
    main()
