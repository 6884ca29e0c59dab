"""Calls to the platform's object API.

Every write is conditional on a revision and carries a random identifier in its spec
under ``"_write"``. When the answer to a write is lost, the client reads the object
back: the identifier distinguishes this write from an equal write by another client.
Repeating the same conditional write is safe, because at most one of the repetitions
can match the expected revision.

A write is settled when it is known whether it was applied.
"""

import secrets
import sys
from urllib.parse import quote

import anyio

# The command line of httpx imports rich and pygments, 4.6 MB that no daemon uses. With
# this entry httpx does not import its command line.
sys.modules.setdefault("httpx._main", None)

import httpx  # noqa: E402

from egretlift.documents import (  # noqa: E402
    is_integer,
    is_text,
    parse_document,
)
from egretlift.errors import (  # noqa: E402
    ConflictError,
    EgretliftError,
    NotFound,
    ObjectInvalid,
    PlatformUnavailable,
    WriteUnsettled,
)
from egretlift.transport.whole_answers import (  # noqa: E402
    SOCKET_OPTIONS,
    AnswerTooLarge,
    request_whole,
)

WRITE_KEY = "_write"

# Time for settling a write whose answer was lost, in multiples of the
# platform timeout.
SETTLE_TIMEOUTS = 4
# First pause between attempts to settle a write; it doubles after each attempt.
SETTLE_PAUSE_S = 0.05
# Attempts at a write without an expected revision, when others write in between.
UNCONDITIONAL_TRIES = 5

# Longest answer of the platform. It lists all objects of a kind at once.
ANSWER_BYTES_MAXIMUM = 32 * 1024 * 1024

# Errors after which the platform cannot have received the request.
NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
# Statuses with which the platform refuses a request before it applies a change.
NOT_APPLIED = (429, 503)


class AnswerLost(Exception):
    """The platform may have received the request, but no valid answer arrived."""


def strip_write_id(item):
    """Return an object without the write identifier in its spec.

    Examples
    --------
    >>> strip_write_id({"revision": 3, "spec": {"rate": 5, "_write": "1f"}})
    {'revision': 3, 'spec': {'rate': 5}}
    """
    if item is None or not isinstance(item["spec"], dict):
        return item
    spec = {key: value for key, value in item["spec"].items() if key != WRITE_KEY}
    return {**item, "spec": spec}


def get_write_id(item):
    """Return the write identifier of an object, None if it or the object is missing."""
    is_readable = item and isinstance(item["spec"], dict)
    return item["spec"].get(WRITE_KEY) if is_readable else None


def make_conflict_error(kind, name, current, may_have_applied=False):
    """Return a ``ConflictError`` that carries the current object.

    The attribute ``current`` is the current object, None if there is none.
    ``may_have_applied`` is True if the answer to an earlier attempt was lost: this
    write may have been in force until another write replaced it.
    """
    version = current["revision"] if current else 0
    message = f"{kind} {name} has version {version} now"
    if may_have_applied:
        message += ", and this change may have been applied before it"
    error = ConflictError(message, "read it and repeat the change on that version")
    error.current = strip_write_id(current)
    error.may_have_applied = may_have_applied
    return error


def make_unavailable_error(cause):
    """Return a ``PlatformUnavailable`` whose message contains the cause."""
    return PlatformUnavailable(
        f"the platform did not serve the request: {cause}",
        "check the platform URL, or repeat when the platform is back",
    )


def make_unsettled_error(kind, name, write_id):
    """Return a ``WriteUnsettled`` with the identifier as attribute ``write_id``."""
    error = WriteUnsettled(
        f"the platform did not say whether the change of {kind} {name} was applied",
        "show the object when the platform is back, and repeat the change if absent",
    )
    error.write_id = write_id
    return error


def make_object_path(kind, name):
    """Return the URL path of an object."""
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def decode_body(answer):
    """Return the JSON object in an answer; raise ``AnswerLost`` if there is none."""
    try:
        body = parse_document(answer.body, is_shared=True)
    except ObjectInvalid:
        body = None
    if not isinstance(body, dict):
        raise AnswerLost(f"an answer of status {answer.status} is not JSON")
    return body


def check_status(answer, method, path):
    """Raise ``EgretliftError`` if the status of an answer is not 200."""
    if answer.status != 200:
        raise EgretliftError(
            f"the platform answered {answer.status} to {method} {path}",
            "check that the platform URL leads to the platform's object API",
        )


def is_object(item):
    """Return whether a value is an object of the platform; its spec may be anything."""
    return (
        isinstance(item, dict)
        and is_text(item.get("kind"))
        and is_text(item.get("name"))
        and is_integer(item.get("revision"), 1)
        and "spec" in item
    )


def decode_list(body):
    """Return (revision, objects) of a list or watch; malformed objects are left out.

    Raises
    ------
    PlatformUnavailable
        The answer has no revision or no list.
    """
    revision, items = body.get("revision"), body.get("objects")
    if not is_integer(revision, 0) or not isinstance(items, list):
        raise make_unavailable_error("its answer holds no list of objects")
    return revision, [strip_write_id(item) for item in items if is_object(item)]


class PlatformClient:
    """Client of the object API, with a pool of connections and call timeouts.

    Works with any event loop that anyio supports. Objects are dicts with ``kind``,
    ``name``, ``revision`` and ``spec``; the write identifier is removed from ``spec``.

    Parameters
    ----------
    settings : Settings
        ``platform_url``, ``platform_timeout_s`` and ``watch_timeout_s`` are used.

    Examples
    --------
    >>> async def raise_rate(settings):
    ...     async with PlatformClient(settings) as client:
    ...         current = await client.get_object("organisation", "harbour")
    ...         spec = {**current["spec"], "rate": 200}
    ...         return await client.put_object(
    ...             "organisation", "harbour", spec, current["revision"]
    ...         )
    """

    __slots__ = ("http", "settings")

    def __init__(self, settings):
        self.settings = settings
        # Loading the certificate authorities takes memory that only https needs.
        secure = settings.platform_url.startswith("https://")
        transport = httpx.AsyncHTTPTransport(
            verify=secure, trust_env=False, socket_options=SOCKET_OPTIONS
        )
        self.http = httpx.AsyncClient(
            base_url=settings.platform_url,
            timeout=None,
            trust_env=False,
            transport=transport,
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        await self.close()

    async def close(self):
        """Close all connections to the platform."""
        await self.http.aclose()

    async def list_objects(self, kind):
        """Return (revision, objects) of a kind; a watch can start from the revision."""
        return decode_list(await self.read(f"/objects/{quote(kind, safe='')}") or {})

    async def get_object(self, kind, name):
        """Return an object.

        Raises
        ------
        NotFound
            The object does not exist.
        PlatformUnavailable
            The platform refused, could not be reached or did not answer in time.
        """
        current = await self.read_object(kind, name)
        if current is None:
            raise NotFound(
                f"there is no {kind} {name}", f"list the objects of kind {kind}"
            )
        return strip_write_id(current)

    async def watch(self, kinds, after, timeout_s=None):
        """Return (revision, objects) of kinds that changed after a revision.

        Waits up to ``timeout_s`` (``watch_timeout_s`` of the settings if None) for
        the first change; the list is empty if there was none.
        """
        limit_s = self.settings.watch_timeout_s if timeout_s is None else timeout_s
        query = {"kinds": ",".join(kinds), "after": after, "timeout_s": limit_s}
        return decode_list(await self.read("/watch", query, limit_s))

    async def put_object(self, kind, name, spec, version=None, write_id=None):
        """Write an object and return it as stored by the platform.

        Parameters
        ----------
        kind, name : str
        spec : dict
            New content.
        version : int, optional
            Revision that the object must have, 0 if it must not exist. If None,
            the current revision is read first, so that a delayed copy of the
            request can never replace a later write.
        write_id : str, optional
            The ``write_id`` of an earlier ``WriteUnsettled``, to settle that write.

        Raises
        ------
        ConflictError
            The object has another revision; see `make_conflict_error`.
        WriteUnsettled
            The answer was lost, and the write could not be settled in time.
        PlatformUnavailable
            The change was not applied.
        """
        answer_lost = write_id is not None
        write_id = write_id or secrets.token_hex(8)
        body = {**spec, WRITE_KEY: write_id}
        if version is not None:
            return await self.settle_put(kind, name, body, version, answer_lost)
        tries = 0
        while True:
            current = await self.read_object(kind, name)
            if get_write_id(current) == write_id:
                return strip_write_id(current)
            revision = current["revision"] if current else 0
            try:
                return await self.settle_put(kind, name, body, revision, answer_lost)
            except ConflictError as error:
                tries += 1
                if error.may_have_applied or tries == UNCONDITIONAL_TRIES:
                    raise

    async def delete_object(self, kind, name, version=None):
        """Delete an object; raise ``NotFound`` if it does not exist.

        ``version`` is the expected revision, the current one if None. A deletion whose
        answer was lost has succeeded if the object is then absent.
        """
        if version is None:
            version = (await self.get_object(kind, name))["revision"]
        try:
            found = await self.try_delete(kind, name, version, False)
        except AnswerLost:
            found = await self.settle_delete(kind, name, version)
        if not found:
            raise NotFound(f"there is no {kind} {name}", f"list kind {kind}")

    async def settle_put(self, kind, name, body, version, answer_lost=False):
        """Send a conditional write, and settle it if its answer is lost.

        If ``answer_lost``, an earlier attempt is settled: the object is read back
        before anything is sent.
        """
        write_id = body[WRITE_KEY]
        if not answer_lost:
            try:
                return await self.try_put(kind, name, body, version, False)
            except AnswerLost:
                pass
        pause_s = SETTLE_PAUSE_S
        with anyio.move_on_after(SETTLE_TIMEOUTS * self.settings.platform_timeout_s):
            while True:
                try:
                    return await self.read_back(kind, name, body, version)
                except (AnswerLost, PlatformUnavailable):
                    await anyio.sleep(pause_s)
                    pause_s *= 2
        raise make_unsettled_error(kind, name, write_id)

    async def read_back(self, kind, name, body, version):
        """Return the object if it contains the write; otherwise repeat the write."""
        current = await self.read_object(kind, name)
        if get_write_id(current) == body[WRITE_KEY]:
            return strip_write_id(current)
        if version != (current["revision"] if current else 0):
            raise make_conflict_error(kind, name, current, True)
        # The first request may still arrive. Whichever of the two is applied, the
        # other is refused with a conflict that carries the same identifier.
        return await self.try_put(kind, name, body, version, True)

    async def try_put(self, kind, name, body, version, answer_lost):
        """Send one conditional write; a conflict with an earlier attempt is success."""
        status, answer = await self.send_write("PUT", kind, name, version, body)
        if status == 200:
            return strip_write_id(answer)
        current = answer.get("current")
        if get_write_id(current) == body[WRITE_KEY]:
            return strip_write_id(current)
        raise make_conflict_error(kind, name, current, answer_lost)

    async def try_delete(self, kind, name, version, answer_lost):
        """Send one conditional deletion and return whether the object existed."""
        status, answer = await self.send_write("DELETE", kind, name, version)
        if status == 409:
            raise make_conflict_error(kind, name, answer.get("current"), answer_lost)
        return status == 200

    async def settle_delete(self, kind, name, version):
        """Repeat a deletion until the object is absent or the time limit is reached."""
        pause_s = SETTLE_PAUSE_S
        with anyio.move_on_after(SETTLE_TIMEOUTS * self.settings.platform_timeout_s):
            while True:
                try:
                    await self.try_delete(kind, name, version, True)
                    return True
                except (AnswerLost, PlatformUnavailable):
                    await anyio.sleep(pause_s)
                    pause_s *= 2
        raise make_unsettled_error(kind, name, None)

    async def send_write(self, method, kind, name, version, body=None):
        """Send one conditional write; return the status and the JSON answer.

        The answer is None if the object to delete does not exist.
        """
        answer = await self.send(
            method,
            make_object_path(kind, name),
            headers={"if-match": str(version)},
            json=body,
        )
        status = answer.status
        if status >= 500:
            raise AnswerLost(f"status {status}")
        if status == 413:
            raise EgretliftError(
                f"{kind} {name} is larger than the platform accepts",
                "keep the spec below 1 MB",
            )
        if status == 404 and method == "DELETE":
            return status, None
        if status != 409:
            check_status(answer, method, make_object_path(kind, name))
        return status, decode_body(answer)

    async def read_object(self, kind, name):
        """Return an object with its write identifier, None if it does not exist."""
        return await self.read(make_object_path(kind, name))

    async def read(self, path, query=None, wait_s=0):
        """Return the JSON answer to a GET request, None if an object does not exist.

        ``wait_s`` is added to the timeout for the time that a watch is kept open.
        """
        try:
            answer = await self.send("GET", path, wait_s, params=query)
            if answer.status >= 500:
                raise AnswerLost(f"status {answer.status}")
            if answer.status == 404 and path.startswith("/objects/"):
                return None
            check_status(answer, "GET", path)
            return decode_body(answer)
        except AnswerLost as error:
            raise make_unavailable_error(error) from error

    async def send(self, method, path, wait_s=0, **details):
        """Send one request and return the whole answer.

        The timeout is ``platform_timeout_s`` plus ``wait_s``.

        Raises
        ------
        PlatformUnavailable
            The request was not applied.
        AnswerLost
            It is unknown whether the request was applied.
        """
        connect_s = self.settings.platform_timeout_s / 2
        limit_s = self.settings.platform_timeout_s + wait_s
        # Connecting has half of the limit, so that for an unreachable platform the
        # connect timeout, after which nothing was sent, comes before the whole limit.
        timeout = httpx.Timeout(None, connect=connect_s, pool=connect_s)
        try:
            with anyio.fail_after(limit_s):
                answer = await request_whole(
                    self.http,
                    method,
                    path,
                    ANSWER_BYTES_MAXIMUM,
                    timeout=timeout,
                    **details,
                )
        except NOT_SENT as error:
            raise make_unavailable_error(
                str(error) or "no connection in time"
            ) from error
        except (httpx.TransportError, AnswerTooLarge) as error:
            raise AnswerLost(type(error).__name__) from error
        except TimeoutError as error:
            raise AnswerLost(f"no answer within {limit_s:g} s") from error
        if answer.status in NOT_APPLIED:
            raise make_unavailable_error(f"status {answer.status}")
        return answer
