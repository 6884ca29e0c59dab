"""Limits on the size of request bodies."""

from egretlift.serving.checks import raise_refusal


def check_body(request, configuration):
    """Raise `CheckFailed` if a body is larger than the configuration allows."""
    limit = configuration.body_bytes if configuration else None
    if limit is not None and len(request.body) > limit:
        raise_refusal("body-too-large", 413, "send a smaller body")
