"""Limits on the size of request bodies."""

import math

from egretlift.serving.checks import raise_refusal


def get_body_bytes(board):
    """Return the largest size of a body, infinite if the configuration states none."""
    limit = board.configuration.body_bytes if board.configuration else None
    return math.inf if limit is None else limit


def check_body(board, request):
    """Raise `CheckFailed` if a body is larger than the configuration allows."""
    if len(request.body) > get_body_bytes(board):
        raise_refusal("body-too-large", 413, "send a smaller body")
