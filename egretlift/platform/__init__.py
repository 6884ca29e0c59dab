"""The platform that egretlift runs on: its names, formats and calls.

``client`` is the client of the object API, ``store`` the client of the platform's
metadata store. The modules only encode, decode and send; decisions are made by their
callers. Import only the module that is needed: each imports only its own libraries.
"""
