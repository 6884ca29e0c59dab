"""Simulated metadata store of the platform, in memory and with injected faults.

Every change of an object gets a new revision, and a watch returns the changes after
a given revision as soon as there are any. Tests set ``fault`` on the running store.
"""

import asyncio
import json

from aiohttp import web

from standins.serving import drop_connection

PAGE_SIZE = 50
PREFIX = "/-/objects/"


class Metastore:
    """Objects, change history and current fault of a store.

    Attributes
    ----------
    objects : dict of (str, str) to dict
        Objects by kind and name.
    history : list of (int, str, dict, bool)
        Revision, kind, object and whether it was deleted, for each change.
    oldest : int
        First revision that the history covers; a watch from before it gets 410.
    fault : str
        ``""`` for none; ``down``: every call gets 503; ``unwritable``: every write gets
        503; ``silent``: calls wait for 60 s
        before they are answered; ``lost``: writes take effect, but their connection is
        closed without an answer.
    calls : int
        Number of calls received.
    era : int or None
        Value of the header ``Store-Era`` in all answers, None for no header.
    keeps_watches : bool
        Whether watches stay open when the store is restored; they are cut off if not.
    """

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.oldest = 1
        self.fault = ""
        self.calls = 0
        self.era = None
        self.keeps_watches = False
        self.changed = asyncio.Event()

    def forget_history(self):
        """Drop the history, so that clients of watches have to list again."""
        self.oldest = self.revision + 1
        self.history.clear()
        self.changed.set()

    def copy(self):
        """Return a copy of the store's contents, for `restore`."""
        return dict(self.objects), list(self.history), self.revision

    def restore(self, copy):
        """Go back to a copy, as a store that has lost its latest writes.

        Revisions go back too and are given out again.
        """
        objects, history, self.revision = copy
        self.objects, self.history = dict(objects), list(history)
        self.era = (self.era or 0) + 1
        self.changed.set()

    def put(self, kind, name, spec):
        """Write an object unconditionally, as operators do."""
        self.change(kind, name, spec, deleted=False)

    def put_text(self, kind, name, text):
        """Write an object that answers contain as the given bytes, valid or not.

        Another writer may leave such an object. ``REVISION`` in the bytes stands for
        the object's revision.
        """
        item = self.change(kind, name, {}, deleted=False)
        revision = str(item["metadata"]["revision"]).encode()
        item["text"] = text.replace(b"REVISION", revision)

    def change(self, kind, name, spec, deleted):
        """Apply a change, add it to the history and wake the watches."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": []}
        item = {"metadata": metadata, "spec": spec, "status": None}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        return item

    async def handle(self, request):
        """Answer one HTTP call and state the era."""
        answer = await self.answer(request)
        if self.era is not None:
            answer.headers.setdefault("Store-Era", str(self.era))
        return answer

    async def answer(self, request):
        """Answer one HTTP call."""
        self.calls += 1
        if self.fault == "down":
            return web.json_response({"error": "down"}, status=503)
        if self.fault == "silent":
            await asyncio.sleep(60)
        kind, _, name = request.path[len(PREFIX) :].partition("/")
        if request.method == "GET":
            if name:
                return self.get(kind, name)
            if "watch" in request.query:
                return await self.watch(kind, request)
            return self.list(kind, request.query.get("after", ""))
        if self.fault == "unwritable":
            return web.json_response({"error": "unwritable"}, status=503)
        answer = self.write(request.method, kind, name, await request.read(), request)
        if self.fault == "lost":
            request.transport.abort()
        return answer

    def get(self, kind, name):
        """Answer with one object, or with 404 if it does not exist."""
        item = self.objects.get((kind, name))
        return make_answer(encode_item(item), status=200 if item else 404)

    def list(self, kind, after):
        """Answer with one page of a kind's objects, sorted by name, from ``after`` on.

        The object named ``after`` itself is left out.
        """
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [encode_item(self.objects[kind, name]) for name in names[:PAGE_SIZE]]
        has_more = json.dumps(len(names) > PAGE_SIZE).encode()
        return make_answer(
            b'{"items": [%s], "has_more": %s, "as_of": %d}'
            % (b", ".join(items), has_more, self.revision)
        )

    async def watch(self, kind, request):
        """Answer with the changes after a revision; with none after ``wait_ms``."""
        after, era = int(request.query["watch"]), self.era
        deadline = asyncio.get_running_loop().time() + (
            int(request.query.get("wait_ms", 0)) / 1000
        )
        while True:
            if era != self.era and not self.keeps_watches:
                return drop_connection(request)
            if after + 1 < self.oldest or (era == self.era and after > self.revision):
                return web.json_response({"error": "gone"}, status=410)
            events = [
                b'{"object": %s, "deleted": %s}'
                % (encode_item(item), json.dumps(deleted).encode())
                for revision, k, item, deleted in self.history
                if k == kind and revision > after
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0 or self.fault:
                return make_answer(
                    b'{"events": [%s], "as_of": %d}'
                    % (b", ".join(events), self.revision)
                )
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def write(self, method, kind, name, body, request):
        """Answer a creation, replacement or deletion.

        A creation of an existing object, and a write whose expected revision is not
        the current one, get 409 and change nothing. A write of an unchanged spec
        creates no revision.
        """
        document = json.loads(body) if body else {}
        metadata = document.get("metadata") or {}
        name = name or metadata.get("name", "")
        current = self.objects.get((kind, name))
        wanted = metadata.get("revision") or request.query.get("revision")
        if method == "POST" and current:
            return make_answer(encode_item(current), status=409)
        if method != "POST" and not current:
            return web.json_response({"error": "absent"}, status=404)
        is_stale = wanted and current and int(wanted) != current["metadata"]["revision"]
        if method != "POST" and is_stale:
            return make_answer(encode_item(current), status=409)
        deleted = method == "DELETE"
        if current and not deleted and current["spec"] == document.get("spec"):
            return web.json_response(current)
        item = self.change(kind, name, document.get("spec"), deleted)
        return web.json_response(item)


def encode_item(item):
    """Return an object as the bytes in which answers contain it."""
    return (item and item.get("text")) or json.dumps(item).encode()


def make_answer(body, status=200):
    """Return an answer with bytes that are meant to be JSON."""
    return web.Response(body=body, status=status, content_type="application/json")


async def serve_metastore(store, port):
    """Serve a store on a port of 127.0.0.1 and return its runner."""
    runner = web.ServerRunner(web.Server(store.handle), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner
