"""The client of the metadata store against a simulated store."""

import unittest

import anyio

from egretlift.errors import ConflictError, PlatformUnavailable
from egretlift.platform.store import HistoryGone, StoreClient
from standins.metastore import Metastore, serve_metastore
from standins.ports import PortBlocks, allocate_port, release_ports


def run_with_store(use_store):
    """Run ``use_store(client, store)`` against a simulated store."""

    async def run():
        blocks = PortBlocks()
        port = allocate_port(blocks)
        store = Metastore()
        runner = await serve_metastore(store, port)
        client = StoreClient(("127.0.0.1", port))
        try:
            return await use_store(client, store)
        finally:
            await client.close()
            await runner.cleanup()
            release_ports(blocks)

    return anyio.run(run)


class TestStore(unittest.TestCase):
    """Lists, watches, conditional writes and faults of the store."""

    def test_list_of_several_pages(self):
        """Guards against reading only the first page of a list."""

        async def use_store(client, store):
            for number in range(120):
                store.put("k", f"n{number:03}", {"number": number})
            revision, objects = await client.list_objects("k")
            self.assertEqual(revision, store.revision)
            self.assertEqual([found.spec["number"] for found in objects], [*range(120)])

        run_with_store(use_store)

    def test_watch(self):
        """Guards against changes and deletions missing from a watch."""

        async def use_store(client, store):
            store.put("k", "a", {})
            revision, _ = await client.list_objects("k")
            store.put("k", "a", {"x": 1})
            store.change("k", "b", None, deleted=True)
            revision, objects = await client.watch("k", revision)
            found = [(item.name, item.spec) for item in objects]
            self.assertEqual(found, [("a", {"x": 1}), ("b", None)])
            store.forget_history()
            with self.assertRaises(HistoryGone):
                await client.watch("k", 1)

        run_with_store(use_store)

    def test_conditional_writes(self):
        """Guards against overwriting the change of another writer."""

        async def use_store(client, store):
            created = await client.put_object("k", "a", {"x": 1}, None)
            with self.assertRaises(ConflictError) as caught:
                await client.put_object("k", "a", {"x": 2}, None)
            self.assertEqual(caught.exception.current.revision, created.revision)
            replaced = await client.put_object("k", "a", {"x": 2}, created.revision)
            with self.assertRaises(ConflictError):
                await client.put_object("k", "a", {"x": 3}, created.revision)
            with self.assertRaises(ConflictError) as caught:
                await client.put_object("k", "absent", {}, 5)
            self.assertIsNone(caught.exception.current)
            self.assertFalse(await client.delete_object("k", "a", created.revision))
            self.assertIsNotNone(await client.get_object("k", "a"))
            self.assertTrue(await client.delete_object("k", "a", replaced.revision))
            self.assertFalse(await client.delete_object("k", "absent", 5))
            self.assertIsNone(await client.get_object("k", "a"))

        run_with_store(use_store)

    def test_faults(self):
        """Guards against treating a fault of the store as an answer."""

        async def use_store(client, store):
            for fault in ("down", "silent", "lost"):
                store.fault = fault
                with self.assertRaises(PlatformUnavailable):
                    await client.put_object("k", fault, {}, None)
            store.fault = ""
            _, objects = await client.list_objects("k")
            self.assertEqual([found.name for found in objects], ["lost"])

        run_with_store(use_store)


if __name__ == "__main__":
    unittest.main()
