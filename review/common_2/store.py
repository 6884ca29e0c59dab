"""The platform's store: objects, lists, watches and conditional writes.

It follows the section "The platform's metadata store" of the protocol page.
"""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from review.common_2.wire import encode_message, serve

PREFIX = "/-/objects/"
PAGE_SIZE = 500


class Store:
    """Objects and their history.

    Attributes
    ----------
    objects : dict of (str, str) to dict
    history : list of (int, str, dict, bool)
        Revision, kind, object and whether it was deleted.
    revision : int
    """

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.server = None

    async def listen(self, address, port):
        """Open the store's port."""
        self.server = await serve(self.handle, address, port)

    def put(self, kind, name, spec):
        """Write an object as the operator does."""
        self.change(kind, name, spec, False)

    def change(self, kind, name, spec, deleted):
        """Apply a change and wake the watches."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    async def handle(self, message, writer):
        """Return the answer to one call."""
        method, target = message.first[0], urlsplit(message.first[1])
        kind, _, name = target.path[len(PREFIX) :].partition("/")
        query = {key: values[0] for key, values in parse_qs(target.query).items()}
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return answer(200, found) if found else answer(404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query)
        if method == "GET":
            return self.list(kind, query.get("after", ""))
        document = json.loads(message.body) if message.body else {}
        return self.write(method, kind, name, document, query)

    def list(self, kind, after):
        """Return one page of the objects of a kind."""
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        has_more = len(names) > PAGE_SIZE
        document = {"items": items, "has_more": has_more, "as_of": self.revision}
        return answer(200, document)

    async def watch(self, kind, query):
        """Return the changes after a revision as soon as there are any."""
        after, loop = int(query["watch"]), asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.history
                if k == kind and revision > after
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return answer(200, {"events": events, "as_of": self.revision})
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def write(self, method, kind, name, document, query):
        """Create, replace or delete an object if the condition holds."""
        metadata = document.get("metadata") or {}
        name = name or metadata.get("name", "")
        current = self.objects.get((kind, name))
        wanted = metadata.get("revision") or query.get("revision")
        if method == "POST" and current:
            return answer(409, current)
        if method != "POST" and not current:
            return answer(404, {})
        revision = current and current["metadata"]["revision"]
        is_expected = not wanted or int(wanted) == revision
        if method != "POST" and not is_expected:
            return answer(409, current)
        if method == "PUT" and current["spec"] == document.get("spec"):
            return answer(200, current)
        item = self.change(kind, name, document.get("spec"), method == "DELETE")
        return answer(200, item)


def answer(status, document):
    """Return the bytes of an answer of the store."""
    headers = [("Content-Type", "application/json")]
    body = json.dumps(document).encode()
    return encode_message(f"HTTP/1.1 {status} Answer", headers, body)
