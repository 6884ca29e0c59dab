"""Client of the platform's metadata store."""

import socket
import sys

import anyio

# Saves memory: with these entries httpx does not import its command line, and httpcore
# does not import trio, which is not used here.
sys.modules.setdefault("httpx._main", None)
sys.modules.setdefault("trio", None)

import httpx  # noqa: E402

from egretlift.documents import (  # noqa: E402
    is_integer,
    is_text,
    parse_document,
    parse_integer,
)
from egretlift.errors import (  # noqa: E402
    ConflictError,
    ObjectInvalid,
    PlatformUnavailable,
)
from egretlift.membership.positions import (  # noqa: E402
    is_era,
    make_position,
    split_position,
)
from egretlift.platform import names  # noqa: E402
from egretlift.transport import whole_answers  # noqa: E402
from egretlift.transport.whole_answers import (  # noqa: E402
    AnswerTooLarge,
    request_whole,
)

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.6
# Longest time that the store keeps a watch open without an event. A host that follows
# the store no more ends its watch after it.
WATCH_WAIT_S = 10.0
# The same for a watch that allows stale answers, which costs little. It shows soon that
# the store was restored, where the other watch was kept open meanwhile.
STALE_WATCH_WAIT_S = 1.0
# Longest answer of the store. A page of a list has about 1 MB, and so has the largest
# object; a watch returns all changes since its position.
ANSWER_BYTES_MAXIMUM = 8 * 1024 * 1024
# Statuses of calls that succeeded. All but deletions are answered with a document.
DOCUMENT_STATUSES = (200, 201)
# Statuses that tell by themselves why a call has no result.
ERROR_STATUSES = (404, 409, 410)
SOCKET_OPTIONS = (
    *whole_answers.SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
)
REMEDY = "the daemon repeats the call; check the store if this lasts"


class HistoryGone(Exception):
    """The store cannot give all changes since the position of a watch.

    It has discarded them, or it has come back from an older copy of itself.
    """


class StoredObject:
    """An object of the store; ``spec`` is None if the object was deleted.

    ``era`` is the era of the store in which the object was read.
    """

    __slots__ = ("era", "name", "revision", "spec")

    def __init__(self, name, revision, spec, era=0):
        self.era = era
        self.name = name
        self.revision = revision
        self.spec = spec


def decode_object(item, deleted=False, era=0):
    """Return the object in an answer of the store, None if malformed.

    The spec is not checked; a missing one is returned as an empty dict.
    """
    try:
        name, revision = item["metadata"]["name"], item["metadata"]["revision"]
    except (KeyError, TypeError):
        return None
    if isinstance(revision, str):
        revision = parse_integer(revision)
    if not is_text(name) or not is_integer(revision, 0):
        return None
    spec = item.get("spec")
    spec = {} if spec is None else spec
    return StoredObject(name, revision, None if deleted else spec, era)


def decode_item(item, deleted=False, era=0):
    """Return the object in an item of a list or a watch, without a name if malformed.

    The caller can then log and count it.
    """
    return decode_object(item, deleted, era) or StoredObject("", 0, {}, era)


def decode_event(event, era):
    """Return the object in an event of a watch; see `decode_item`."""
    if not isinstance(event, dict):
        return decode_item(None, era=era)
    return decode_item(event.get("object"), bool(event.get("deleted")), era)


def read_items(document, name):
    """Return the list of a name in a document of the store, [] if there is none."""
    items = document.get(name)
    return items if isinstance(items, list) else []


def read_revision(document, default=None):
    """Return the store's revision in a document.

    Raises
    ------
    PlatformUnavailable
        It is no whole number, so that no watch can start from it.
    """
    revision = document.get("as_of", default)
    if not is_integer(revision, 0):
        raise PlatformUnavailable(f"store: as_of is {revision!r:.100}", REMEDY)
    return revision


class StoreClient:
    """Connections to the store.

    Every call has a timeout, since the store may stop answering without closing its
    connections.

    Parameters
    ----------
    endpoint : tuple of (str, int)
        Address and port.

    Attributes
    ----------
    calls : int
        Calls sent so far, for metrics.
    era : int or None
        Latest era of an answer; None before the first one that states it.
    report_era : callable or None
        Called with the era of each answer that states one.
    """

    __slots__ = ("calls", "era", "http", "report_era")

    def __init__(self, endpoint):
        self.calls = 0
        self.era = None
        self.report_era = None
        transport = httpx.AsyncHTTPTransport(
            verify=False, trust_env=False, socket_options=SOCKET_OPTIONS
        )
        self.http = httpx.AsyncClient(
            base_url=f"http://{endpoint[0]}:{endpoint[1]}",
            timeout=None,
            transport=transport,
        )

    async def close(self):
        """Close all connections."""
        await self.http.aclose()

    async def send(self, method, path, body=None, query=None, wait_s=0.0):
        """Send one call and return (status, document, era).

        The document is None if it is damaged and the status alone tells the result. An
        answer that does not state the era is taken to be of the latest one.
        ``wait_s`` is added to the timeout for the time that a watch is kept open.

        Raises
        ------
        PlatformUnavailable
            There was no answer, or one of an unexpected status or with a damaged
            document. A change may have been applied nevertheless.
        """
        self.calls += 1
        try:
            with anyio.fail_after(CALL_TIMEOUT_S + wait_s):
                answer = await request_whole(
                    self.http,
                    method,
                    path,
                    ANSWER_BYTES_MAXIMUM,
                    params=query,
                    json=body,
                    timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
                )
        except (httpx.HTTPError, TimeoutError, AnswerTooLarge) as error:
            raise PlatformUnavailable(
                f"store: {type(error).__name__} on {method} {path}", REMEDY
            ) from error
        era = self.record_era(answer)
        return answer.status, decode_answer(answer, method, path), era

    def record_era(self, answer):
        """Record and report the era that an answer states, and return it."""
        era = decode_era(answer.headers.get(names.STORE_ERA))
        if era is None:
            return self.era or 0
        self.era = max(era, self.era or 0)
        if self.report_era is not None:
            self.report_era(era)
        return era

    async def list_objects(self, kind, allow_stale=False):
        """Return (position, objects) of a kind, the position to start a watch from.

        Parameters
        ----------
        kind : str
        allow_stale : bool
            Whether an answer may be some seconds old, which costs the store less.

        Raises
        ------
        PlatformUnavailable
        """
        fixed = {"serializable": 1} if allow_stale else {}
        query, objects, as_of, first_era = fixed, [], None, None
        while True:
            status, document, era = await self.send(
                "GET", make_kind_path(kind), query=query
            )
            first_era = era if first_era is None else first_era
            if era != first_era:
                # Parts of different eras do not make up one list.
                raise PlatformUnavailable(f"store: restored at {kind}", REMEDY)
            if status != 200 or not isinstance(document, dict):
                raise PlatformUnavailable(f"store: no list of {kind}", REMEDY)
            page = [decode_item(x, era=era) for x in read_items(document, "items")]
            objects.extend(page)
            # The first page's position: a watch from it also returns the changes made
            # between two pages.
            as_of = read_revision(document) if as_of is None else as_of
            if not document.get("has_more") or not page:
                return make_position(era, as_of), objects
            query = {**fixed, "after": find_last_name(page, query.get("after"), kind)}

    async def watch(self, kind, after, allow_stale=False):
        """Return (position, objects) that changed after a position.

        Waits up to ``WATCH_WAIT_S``, or ``STALE_WATCH_WAIT_S``, for the first change;
        the list is empty if there was none. The ``spec`` of a deleted object is None.
        For ``allow_stale`` see `list_objects`.

        Raises
        ------
        HistoryGone
            The changes are no longer available; list the objects again.
        PlatformUnavailable
        """
        expected_era, revision = split_position(after)
        wait_s = STALE_WATCH_WAIT_S if allow_stale else WATCH_WAIT_S
        query = {"watch": revision, "wait_ms": int(1000 * wait_s)}
        if allow_stale:
            query["serializable"] = 1
        status, document, era = await self.send(
            "GET", make_kind_path(kind), query=query, wait_s=wait_s
        )
        if status == 410 or era != expected_era:
            raise HistoryGone
        if status != 200 or not isinstance(document, dict):
            raise PlatformUnavailable(f"store: no watch of {kind}", REMEDY)
        objects = [decode_event(event, era) for event in read_items(document, "events")]
        return make_position(era, read_revision(document, revision)), objects

    async def get_object(self, kind, name):
        """Return an object, None if it does not exist or is malformed."""
        status, document, era = await self.send("GET", f"{make_kind_path(kind)}/{name}")
        if status == 404:
            return None
        return decode_object(document, era=era)

    async def put_object(self, kind, name, spec, revision):
        """Create an object, or replace the one of a revision, and return it.

        Parameters
        ----------
        kind, name : str
        spec : dict
        revision : int or None
            Expected revision; if None, the object is created.

        Raises
        ------
        ConflictError
            The object has another revision; ``current`` is the object or None.
        PlatformUnavailable
            It is unknown whether the change was applied.
        """
        metadata = {"name": name}
        if revision is None:
            method, path = "POST", make_kind_path(kind)
        else:
            method, path = "PUT", f"{make_kind_path(kind)}/{name}"
            metadata["revision"] = revision
        status, document, era = await self.send(
            method, path, {"metadata": metadata, "spec": spec}
        )
        if status in (404, 409):
            error = ConflictError(
                f"{kind} {name} was changed by another writer", "read it again"
            )
            error.current = None
            if status == 409:
                error.current = decode_object(document, era=era)
            raise error
        return decode_object(document, era=era)

    async def delete_object(self, kind, name, revision):
        """Delete an object if it has this revision, and return whether it did."""
        status, _, _ = await self.send(
            "DELETE", f"{make_kind_path(kind)}/{name}", query={"revision": revision}
        )
        return status == 200


def make_kind_path(kind):
    """Return the path of the objects of a kind."""
    return f"{names.OBJECTS_PATH}{kind}"


def decode_era(text):
    """Return the era in a header, None if it is missing or no whole number.

    Examples
    --------
    >>> decode_era("3"), decode_era("x"), decode_era(None)
    (3, None, None)
    """
    era = None if text is None else parse_integer(text)
    return era if is_era(era) else None


def find_last_name(page, after, kind):
    """Return the last name on a page of a list, from which the next page continues.

    Raises
    ------
    PlatformUnavailable
        No item has a name that differs from ``after``, the name that the page
        continued from; the list would never end.
    """
    names = [found.name for found in page if found.name and found.name != after]
    if not names:
        raise PlatformUnavailable(f"store: a page of {kind} has no names", REMEDY)
    return names[-1]


def decode_answer(answer, method, path):
    """Return the JSON document in an answer, None if damaged where the status suffices.

    Raises
    ------
    PlatformUnavailable
        The status is an unexpected one, or the document of a success is damaged.
    """
    status = answer.status
    if status not in (*DOCUMENT_STATUSES, *ERROR_STATUSES):
        raise PlatformUnavailable(f"store: status {status} on {method} {path}", REMEDY)
    try:
        return parse_document(answer.body, is_shared=True)
    except ObjectInvalid as error:
        if status in DOCUMENT_STATUSES and method != "DELETE":
            raise PlatformUnavailable(
                f"store: damaged document on {method} {path}", REMEDY
            ) from error
    return None
