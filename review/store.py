"""Stand-in of the platform's metadata store: objects, revisions and watches."""

import asyncio
import json
from urllib.parse import parse_qs

from review.wire import encode_json, read_message

PREFIX = "/-/objects/"
PAGE_ITEMS = 500
ANSWER_S = 0.004


class Store:
    """Objects in memory, served on one address for each machine.

    Attributes
    ----------
    objects : dict of (str, str) to dict
        Objects by kind and name.
    events : list of (int, str, dict, bool)
        Revision, kind, object and whether it was deleted, of each change.
    watching : dict of (str, str) to int
        Pending watches by machine and kind.
    turned_away : set of str
        Machines whose calls get status 503; all others are served.
    """

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 1
        self.watching = {}
        self.turned_away = set()
        self.changed = asyncio.Event()
        self.servers = []

    async def listen(self, host, port, machine):
        """Serve a machine on an address of its own."""

        async def serve(reader, writer):
            try:
                await self.serve(reader, writer, machine)
            except ConnectionError:
                pass
            finally:
                writer.close()

        self.servers.append(await asyncio.start_server(serve, host, port))

    async def serve(self, reader, writer, machine):
        """Answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            await asyncio.sleep(ANSWER_S)
            method, target, _ = message.first
            if machine in self.turned_away:
                writer.write(encode_json(503, {"error": "busy"}))
            else:
                writer.write(await self.answer(method, target, message, machine))
            await writer.drain()

    async def answer(self, method, target, message, machine):
        """Return the answer to one call as bytes."""
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return encode_json(200 if found else 404, found)
        if method == "GET" and "watch" in query:
            watcher = (machine, kind)
            self.watching[watcher] = self.watching.get(watcher, 0) + 1
            try:
                return await self.watch(kind, query, machine)
            finally:
                self.watching[watcher] -= 1
        if method == "GET":
            return encode_json(200, self.list(kind, query.get("after", "")))
        document = json.loads(message.body) if message.body else {}
        return self.write(method, kind, name, document, query)

    def find_watching(self, kind):
        """Return the machines that wait for changes of a kind."""
        return {
            name for (name, k), count in self.watching.items() if k == kind and count
        }

    def list(self, kind, after):
        """Return one page of the objects of a kind."""
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        return {
            "items": [self.objects[kind, name] for name in names[:PAGE_ITEMS]],
            "has_more": len(names) > PAGE_ITEMS,
            "as_of": self.revision,
        }

    async def watch(self, kind, query, machine):
        """Return the answer to a watch, as soon as there is a change."""
        after = int(query["watch"])
        ends_at = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > after
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if machine in self.turned_away:
                return encode_json(503, {"error": "busy"})
            if found or left_s <= 0:
                return encode_json(200, {"events": found, "as_of": self.revision})
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def turn_away(self, machines):
        """Serve these machines no more; their watches end."""
        self.turned_away = set(machines)
        self.wake()

    def wake(self):
        """Wake all watches."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def write(self, method, kind, name, document, query):
        """Return the answer to a change."""
        metadata = document.get("metadata") or {}
        name = name or metadata["name"]
        found = self.objects.get((kind, name))
        if method == "POST" and found:
            return encode_json(409, found)
        if method != "POST" and not found:
            return encode_json(404, None)
        expected = metadata.get("revision", query.get("revision"))
        is_checked = found and expected is not None
        if is_checked and int(expected) != found["metadata"]["revision"]:
            return encode_json(409, found)
        if method == "DELETE":
            return encode_json(200, self.change(kind, name, found["spec"], True))
        if found and found["spec"] == document.get("spec"):
            return encode_json(200, found)
        return encode_json(200, self.change(kind, name, document.get("spec")))

    def change(self, kind, name, spec, deleted=False):
        """Apply one change and return the object."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        if deleted:
            self.objects.pop((kind, name))
        else:
            self.objects[kind, name] = item
        self.events.append((self.revision, kind, item, deleted))
        self.wake()
        return item
