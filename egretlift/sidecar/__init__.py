"""The daemon beside an upstream on the users' platform."""
