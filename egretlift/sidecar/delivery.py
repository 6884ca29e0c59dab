"""Sending answers to callers and to other daemons."""

from aiohttp import web

from egretlift.transport.messages import ends_connection, fill_headers


async def deliver(board, request, answer, request_id, retry_after_s, extra=()):
    """Send an answer and return the response."""
    headers = list(answer.headers)
    if not answer.reached or retry_after_s is not None or answer.response is None:
        headers = [item for item in headers if item[0].lower() != "retry-after"]
    if not any(name.lower() == "x-request-id" for name, _ in headers):
        headers += board.dialect.make_refusal_headers(request_id, retry_after_s)
    response = web.Response(status=answer.status, body=answer.body)
    if board.stopping or ends_connection(request):
        response.force_close()
    fill_headers(response, [*headers, *extra], skip="content-length")
    await response.prepare(request)
    await response.write_eof()
    return response
