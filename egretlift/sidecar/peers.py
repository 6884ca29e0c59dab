"""The port of other daemons: calls for this host's upstream, and what is in force."""

import time

from aiohttp import web

from egretlift.membership.peers import encode_entry, encode_load
from egretlift.outcome import (
    CONTEXT_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from egretlift.serving.call import Call, decode_context
from egretlift.serving.checks import CheckFailed
from egretlift.serving.execution import execute_here
from egretlift.serving.offers import REACHED_HEADER
from egretlift.serving.refusals import refuse
from egretlift.sidecar.bodies import read_body
from egretlift.sidecar.delivery import deliver
from egretlift.sidecar.tokens import TOKENS_PATH, lend_tokens

STATE_PATH = "/egretlift/in-force"


async def handle_peer(board, request):
    """Answer one request of another daemon."""
    target = request.message.path
    if target == STATE_PATH:
        return answer_in_force(board)
    if target.startswith(TOKENS_PATH):
        return web.json_response({"tokens": lend_tokens(board, target)})
    board.open_requests += 1
    try:
        try:
            answer = await execute_for_peer(board, request)
        except CheckFailed as error:
            answer = refuse(error.refusal.reason, error.refusal.status)
        extra = (
            (OUTCOME_HEADER, answer.outcome.value),
            (REASON_HEADER, answer.reason),
            (REACHED_HEADER, str(int(answer.reached))),
            (LOAD_HEADER, encode_load(board.measure_load())),
        )
        request_id = board.dialect.read_request_id(request.headers)
        return await deliver(board, request, answer, request_id, None, extra)
    finally:
        board.open_requests -= 1


async def execute_for_peer(board, request):
    """Run the call in a request of another daemon."""
    if board.refusing:
        return refuse("stopping")
    now = time.monotonic()
    context = decode_context(request.headers.get(CONTEXT_HEADER, ""), now)
    if context is None or context["service"] != board.settings.service:
        return refuse("absent")
    call = Call(
        request_id=board.dialect.read_request_id(request.headers),
        method=request.method,
        target=request.message.path,
        headers=board.dialect.select_headers(request.headers),
        body=await read_body(request),
        received_at=now,
        **context,
    )
    return await execute_here(board, call)


def answer_in_force(board):
    """Return the configuration and the hosts that this daemon knows."""
    configuration = board.configuration
    hosts = [board.make_entry(), *(peer.entry for peer in board.peers.values())]
    document = {
        "configuration": configuration.document if configuration else None,
        "hosts": [encode_entry(entry) for entry in hosts],
    }
    return web.json_response(document)
