"""The port for other daemons: calls for this host's upstream, documents and tokens."""

from egretlift.clock import read_clock
from egretlift.load import encode_load
from egretlift.membership.peers import encode_entry
from egretlift.membership.statements import decode_statement, encode_statement
from egretlift.outcome import (
    AGE_HEADER,
    CONTEXT_HEADER,
    EXCHANGE_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    STATEMENT_HEADER,
)
from egretlift.serving.call import Call, decode_age, decode_context
from egretlift.serving.checks import CheckFailed
from egretlift.serving.execution import execute_locally
from egretlift.serving.offers import REACHED_HEADER
from egretlift.serving.peer_requests import is_meant_for
from egretlift.serving.refusals import answer_refusal, refuse
from egretlift.serving.statements import adopt_known_limit
from egretlift.sidecar.bodies import check_body
from egretlift.sidecar.callers import answer_before_end
from egretlift.sidecar.delivery import make_response
from egretlift.sidecar.fetching import CONFIGURATION_PATH, HOSTS_PATH
from egretlift.sidecar.tokens import LOANS_PATH, TOKENS_PATH, answer_loan, answer_tokens
from egretlift.transport.http_messages import make_json_response


async def handle_peer(board, request):
    """Answer one request of another daemon: a document, rate tokens or a call."""
    target = request.target
    if not is_meant_for(request.fields.get(EXCHANGE_HEADER), board.settings.host):
        return refuse_misdirected(board, request)
    if target == CONFIGURATION_PATH:
        return answer_configuration(board)
    if target == HOSTS_PATH:
        return answer_hosts(board)
    if target.startswith(TOKENS_PATH):
        return make_json_response({"tokens": await answer_tokens(board, target)})
    if target.startswith(LOANS_PATH):
        return make_json_response({"tokens": answer_loan(board, target)})
    board.open_requests += 1
    try:
        try:
            answer = await execute_for_peer(board, request)
        except CheckFailed as error:
            answer = answer_refusal(error.refusal)
        extra = [
            (OUTCOME_HEADER, answer.outcome.value),
            (REASON_HEADER, answer.reason),
            (REACHED_HEADER, str(int(answer.reached))),
            (LOAD_HEADER, encode_load(board.measure_load())),
        ]
        statement = board.state_upstream()
        if statement is not None:
            extra.append((STATEMENT_HEADER, encode_statement(statement)))
        request_id = board.dialect.read_request_id(request.fields)
        return make_response(board, answer, request_id, None, extra)
    finally:
        board.open_requests -= 1


def refuse_misdirected(board, request):
    """Refuse a request that was meant for another host, which had this address."""
    board.log_change("request-misdirected")
    answer = refuse("absent")
    extra = [
        (OUTCOME_HEADER, answer.outcome.value),
        (REASON_HEADER, answer.reason),
        (REACHED_HEADER, "0"),
    ]
    request_id = board.dialect.read_request_id(request.fields)
    return make_response(board, answer, request_id, None, extra)


async def execute_for_peer(board, request):
    """Run the call in a request of another daemon and return its answer."""
    if board.leaving:
        return refuse("stopping")
    now = read_clock()
    context = decode_context(request.fields.get(CONTEXT_HEADER, ""), now)
    if context is None or context["service"] != board.settings.service:
        return refuse("absent")
    check_body(board, request)
    adopt_known_limit(board, decode_statement(request.fields.get(STATEMENT_HEADER)))
    call = Call(
        request_id=board.dialect.read_request_id(request.fields),
        method=request.method,
        target=request.target,
        headers=board.dialect.select_forwarded_headers(request),
        body=request.body,
        received_at=now,
        origin_at=decode_age(request.fields.get(AGE_HEADER), now),
        **context,
    )
    call.deadline = min(call.deadline, board.end_at)
    return await answer_before_end(board, call, execute_locally(board, call))


def answer_configuration(board):
    """Respond with the configuration in force, null if there is none."""
    configuration = board.configuration
    document = configuration.document if configuration else None
    return make_json_response({"configuration": document})


def answer_hosts(board):
    """Respond with position, name and entry of each known host, this one included.

    Also states whether this daemon has read all hosts itself, so that a started one may
    rely on the list.
    """
    own = [board.own_position, board.settings.host, board.make_entry()]
    known = [[p.position, p.entry.host, p.entry] for p in board.peers.values()]
    hosts = [[pos, name, encode_entry(entry)] for pos, name, entry in [own, *known]]
    is_complete = board.hosts_listed.is_set()
    return make_json_response({"hosts": hosts, "complete": is_complete})
