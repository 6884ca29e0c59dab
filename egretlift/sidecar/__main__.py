"""Run the sidecar daemon."""

from egretlift.sidecar.main import main

main()
