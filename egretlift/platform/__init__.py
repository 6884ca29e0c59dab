"""The users' platform: names, formats and calls; nothing here decides.

``client`` is the client of the product's own object API, ``store`` the one of the
platform's metadata store. Import the module that is needed; each loads only its own
libraries.
"""
