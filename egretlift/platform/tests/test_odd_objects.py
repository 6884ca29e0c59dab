"""Objects of the store that another writer has left, among valid ones."""

import unittest

from egretlift.errors import PlatformUnavailable
from egretlift.platform.tests.odd import VALUES
from egretlift.platform.tests.test_store import run_with_store

# Where the odd value is in the item of a list or the object of an event.
PLACES = (
    ("item", b"%s"),
    ("metadata", b'{"metadata": %s, "spec": {}}'),
    ("name", b'{"metadata": {"name": %s, "revision": REVISION}, "spec": {}}'),
    ("revision", b'{"metadata": {"name": "odd", "revision": %s}, "spec": {}}'),
    ("spec", b'{"metadata": {"name": "odd", "revision": REVISION}, "spec": %s}'),
    (
        "entry",
        b'{"metadata": {"name": "odd", "revision": REVISION}, "spec": {"entry": %s}}',
    ),
)


def list_names(objects):
    """Return the names of the objects that have one of the valid ones."""
    return [found.name for found in objects if found.name in ("a", "z")]


class TestOddObjects(unittest.TestCase):
    """Lists and watches that contain an odd object."""

    def test_the_others_are_read(self):
        """Guards against a list or watch that one odd object makes unreadable."""

        async def use_store(client, store):
            for place, text in PLACES:
                for name, value in VALUES:
                    with self.subTest(place=place, name=name):
                        start = store.revision
                        store.put("k", "a", {"start": start})
                        store.put_text("k", "odd", text % value)
                        store.put("k", "z", {"start": start})
                        as_of, objects = await client.list_objects("k")
                        self.assertEqual(list_names(objects), ["a", "z"])
                        self.assertEqual((as_of, len(objects)), (store.revision, 3))
                        as_of, objects = await client.watch("k", start)
                        self.assertEqual(list_names(objects), ["a", "z"])
                        self.assertEqual((as_of, len(objects)), (store.revision, 3))

        run_with_store(use_store)

    def test_pages(self):
        """Guards against an odd object at the end of a page that ends the list."""

        async def use_store(client, store):
            for number in range(120):
                store.put("k", f"n{number:03}", {})
            store.put_text("k", "n049", b'{"metadata": {"name": ["n049"]}}')
            store.put_text("k", "n097", b"5")
            _, objects = await client.list_objects("k")
            names = {found.name for found in objects if found.name}
            expected = {f"n{number:03}" for number in range(120)}
            self.assertEqual(names, expected - {"n049", "n097"})

        run_with_store(use_store)

    def test_list_without_an_end(self):
        """Guards against reading a page without names again and again."""

        async def use_store(client, store):
            for number in range(60):
                store.put_text("k", f"n{number:03}", b"{}")
            with self.assertRaises(PlatformUnavailable):
                await client.list_objects("k")

        run_with_store(use_store)

    def test_one_object(self):
        """Guards against an error other than the documented one for an odd object."""

        async def use_store(client, store):
            for place, text in PLACES:
                for name, value in VALUES:
                    with self.subTest(place=place, name=name):
                        store.put_text("k", "odd", text % value)
                        found = await client.get_object("k", "odd")
                        readable = place in ("spec", "entry")
                        if readable:
                            self.assertEqual(found.name, "odd")

        run_with_store(use_store)


if __name__ == "__main__":
    unittest.main()
