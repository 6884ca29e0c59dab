"""The sidecar daemon, which runs beside an upstream on the users' platform."""
