"""Commands that query daemons: ``hosts``, ``limits``, ``shares``, ``in-force``."""

import anyio
import httpx
import typer

from egretlift.cli.output import OUTPUT_OPTION, Output, print_note, print_rows
from egretlift.cli.session import call_platform, list_endpoints
from egretlift.documents import parse_document
from egretlift.errors import EgretliftError, ObjectInvalid
from egretlift.transport.whole_answers import (
    SOCKET_OPTIONS,
    AnswerTooLarge,
    request_whole,
)

# Longest pause within an answer, and longest time for the whole of it.
REQUEST_TIMEOUT_S = 3
ANSWER_TIMEOUT_S = 60
# Longest answer of a daemon. The state of one that knows 16,000 hosts has 6 MB.
ANSWER_BYTES_MAXIMUM = 16 * 1024 * 1024
# Daemons queried at the same time.
PARALLEL_REQUESTS = 64
FETCH_ERRORS = (
    httpx.HTTPError,
    AnswerTooLarge,
    ObjectInvalid,
    TimeoutError,
    ValueError,
)
DEPARTED_STATUSES = ("dead", "left")
CONFIGURATION_KINDS = ("profile", "organisation", "key")

HOST_OPTION = typer.Option(None, "--host", help="Only this host.")


def make_http_client():
    """Return an HTTP client for the operators' ports that ignores proxy variables."""
    transport = httpx.AsyncHTTPTransport(
        trust_env=False,
        limits=httpx.Limits(max_connections=PARALLEL_REQUESTS),
        socket_options=SOCKET_OPTIONS,
    )
    return httpx.AsyncClient(
        timeout=REQUEST_TIMEOUT_S, trust_env=False, transport=transport
    )


def format_endpoint(endpoint):
    """Return ``address:port``, with brackets around an IPv6 address."""
    address, port = endpoint
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"


async def fetch_document(http, url):
    """Return the JSON object at a URL; for the errors see ``FETCH_ERRORS``."""
    answer = await request_whole(http, "GET", url, ANSWER_BYTES_MAXIMUM)
    if answer.status != 200:
        raise ValueError(f"the answer has status {answer.status}")
    body = parse_document(answer.body, is_shared=True)
    if not isinstance(body, dict):
        raise ValueError("the answer is not a JSON object")
    return body


async def fetch_all(http, endpoints, path="/state"):
    """Return, in the order of the endpoints, the JSON object or the exception of each.

    Parameters
    ----------
    endpoints : list of (str, int) or (str, int, str)
        Address and port, and a path that overrides ``path``.
    path : str
        Path of the endpoints that name none.
    """
    results = [None] * len(endpoints)
    limiter = anyio.CapacityLimiter(PARALLEL_REQUESTS)

    async def fetch(index, address, port, path=path):
        url = f"http://{format_endpoint((address, port))}{path}"
        async with limiter:
            try:
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    results[index] = await fetch_document(http, url)
            except FETCH_ERRORS as error:
                results[index] = error

    async with anyio.create_task_group() as group:
        for index, endpoint in enumerate(endpoints):
            group.start_soon(fetch, index, *endpoint)
    return results


def describe_error(error):
    """Return one line that describes a failed request."""
    return " ".join(str(error).split()) or type(error).__name__


def merge_member_lists(answers):
    """Merge the member lists of several daemons into one entry for each host.

    Daemons in zones that are partitioned from each other know different members.
    For each host the entry with the highest (incarnation, version) is returned.
    """
    members = {}
    for state in answers:
        for member in state.get("members", ()):
            known = members.get(member["host"])
            if known is None or rank_member(member) > rank_member(known):
                members[member["host"]] = member
    return sorted(members.values(), key=lambda m: (m.get("zone") or "", m["host"]))


def rank_member(member):
    """Return a sort key that is higher for more recent information on a member."""
    return member.get("incarnation") or 0, member.get("version") or 0


async def find_members(http, session):
    """Return the members known to the daemons given by ``--operators``.

    A daemon whose member list lacks itself is added to the list.

    Raises
    ------
    EgretliftError
        None of the daemons answered.
    """
    endpoints = list_endpoints(session)
    answers = await fetch_all(http, endpoints)
    states = []
    for endpoint, answer in zip(endpoints, answers, strict=True):
        if isinstance(answer, Exception):
            problem = describe_error(answer)
            print_note(f"{format_endpoint(endpoint)} did not answer: {problem}")
            continue
        states.append(answer)
        if answer["host"] not in [m["host"] for m in answer.get("members", ())]:
            address, port = endpoint
            own_entry = {"address": address, "operators_port": port}
            for name in ("host", "zone", "service", "status", "incarnation"):
                own_entry[name] = answer.get(name)
            states.append({"members": [own_entry]})
    if not states:
        raise EgretliftError(
            "no daemon answered", "set --operators to the address of a running daemon"
        )
    return merge_member_lists(states)


def list_active_members(members, host=None):
    """Return the members that are neither dead nor left, or only those of a host."""
    return [
        member
        for member in members
        if member.get("status") not in DEPARTED_STATUSES
        and host in (None, member["host"])
    ]


async def read_states(session, host=None):
    """Return a list of (member, state) of all known hosts, or of one host.

    The state is an exception if the host did not answer, and None if it was not
    queried because it is dead or left.
    """
    async with make_http_client() as http:
        members = await find_members(http, session)
        queried = list_active_members(members, host)
        answers = await fetch_all(
            http, [(member["address"], member["operators_port"]) for member in queried]
        )
    found = {m["host"]: a for m, a in zip(queried, answers, strict=True)}
    return [
        (member, found.get(member["host"]))
        for member in members
        if host in (None, member["host"])
    ]


def collect_states(session, host=None):
    """Return (member, state) of the hosts that answered.

    Prints a note for each host that was queried and did not answer.
    """
    pairs = anyio.run(read_states, session, host)
    for member, state in pairs:
        if isinstance(state, Exception):
            print_note(f"host {member['host']} did not answer: {describe_error(state)}")
    return [pair for pair in pairs if isinstance(pair[1], dict)]


def describe_host(member, state):
    """Return the row of a host; hosts without an answer have fewer columns."""
    row = {
        "host": member["host"],
        "zone": member.get("zone"),
        "service": member.get("service"),
        "status": member.get("status"),
        "operators": format_endpoint((member["address"], member["operators_port"])),
    }
    if state is None:
        return row
    if isinstance(state, Exception):
        return {**row, "problem": describe_error(state)}
    configuration = state.get("configuration", {})
    return {
        **row,
        "status": state.get("status", row["status"]),
        "incarnation": state.get("incarnation"),
        "revision": configuration.get("revision"),
        "staleness_s": configuration.get("staleness_s"),
        "digest": (configuration.get("digest") or "")[:12],
    }


def hosts_command(
    ctx: typer.Context, host: str = HOST_OPTION, output: Output = OUTPUT_OPTION
):
    """List every known host with its status and the age of its configuration."""
    pairs = anyio.run(read_states, ctx.obj, host)
    print_rows([describe_host(*pair) for pair in pairs], output or ctx.obj.output)


def limits_command(
    ctx: typer.Context, host: str = HOST_OPTION, output: Output = OUTPUT_OPTION
):
    """List the concurrency limit, queue and shed level of every host."""
    rows = [
        {"host": member["host"], "zone": member.get("zone"), **state.get("limit", {})}
        for member, state in collect_states(ctx.obj, host)
    ]
    print_rows(rows, output or ctx.obj.output)


def shares_command(
    ctx: typer.Context,
    host: str = HOST_OPTION,
    organisation: str = typer.Option(None, help="Only this organisation."),
    output: Output = OUTPUT_OPTION,
):
    """List the part of each organisation's rate that every host holds."""
    rows = [
        {"host": member["host"], "zone": member.get("zone"), **share}
        for member, state in collect_states(ctx.obj, host)
        for share in state.get("shares", ())
        if organisation in (None, share.get("organisation"))
    ]
    rows.sort(key=lambda row: (str(row.get("organisation")), row["host"]))
    print_rows(rows, output or ctx.obj.output)


async def list_current_revisions(client):
    """Return the platform's revision of every configuration object by KIND/NAME."""
    revisions = {}
    for kind in CONFIGURATION_KINDS:
        _, items = await client.list_objects(kind)
        for item in items:
            revisions[f"{kind}/{item['name']}"] = item["revision"]
    return revisions


def fetch_revisions(session):
    """Return the platform's revisions, or {} with a note if it is unavailable."""
    if not session.platform_url:
        return {}
    try:
        return call_platform(session, list_current_revisions)
    except EgretliftError as error:
        print_note(f"{error}; the newest revision on any host is shown instead")
        return {}


def compare_revisions(pairs, current):
    """Return one row for each object and host.

    ``in_force`` is ``newest`` if the host has the newest known revision, ``behind``
    if it has an older one and ``missing`` if it has none. The newest known revision
    is the highest among the platform and all hosts that answered.
    """
    held = [(m, s.get("configuration", {}).get("objects", {})) for m, s in pairs]
    newest = dict(current)
    for _, objects in held:
        for name, revision in objects.items():
            newest[name] = max(revision, newest.get(name, 0))
    rows = []
    for name in sorted(newest):
        for member, objects in held:
            revision = objects.get(name)
            state = "newest" if revision == newest[name] else "behind"
            rows.append(
                {
                    "object": name,
                    "host": member["host"],
                    "zone": member.get("zone"),
                    "revision": revision,
                    "newest": newest[name],
                    "in_force": "missing" if revision is None else state,
                }
            )
    return rows


def in_force_command(
    ctx: typer.Context,
    name: str = typer.Option(None, "--object", help="Only this KIND/NAME."),
    host: str = HOST_OPTION,
    behind: bool = typer.Option(
        False, "--behind", help="Only hosts without the newest revision."
    ),
    output: Output = OUTPUT_OPTION,
):
    """List which revision of which object is in force on which host."""
    rows = [
        row
        for row in compare_revisions(
            collect_states(ctx.obj, host), fetch_revisions(ctx.obj)
        )
        if name in (None, row["object"])
        and not (behind and row["in_force"] == "newest")
    ]
    print_rows(rows, output or ctx.obj.output)
