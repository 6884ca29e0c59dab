"""Catalog of configuration objects, merged from the platform and from peers.

For each (kind, name) the catalog keeps the object with the highest revision. If
that object does not parse, the catalog also keeps the valid object with the highest
revision. Both are maxima, so merging is commutative, associative and idempotent:
the order and the repetition of messages do not matter. A daemon that starts after
an invalid write receives the last valid version from its peers. A withdrawn object
counts as valid, so an earlier version never replaces it.
"""

import hashlib
import json
import math

from egretlift.configuration.organisation import parse_organisation
from egretlift.configuration.profile import parse_profile
from egretlift.errors import EgretliftError, ObjectInvalid

OBJECT_REMEDY = "provide kind, name, revision and spec in the platform's format"


class ConfigurationObject:
    """One version of a configuration object.

    The spec is shared with the catalog and must not be modified.

    Parameters
    ----------
    kind : str
        ``profile``, ``organisation`` or ``key``.
    name : str
        Name of the object. A key is named by its digest.
    revision : int
        Revision assigned by the platform.
    withdrawn : bool
        Whether the object is a tombstone.
    spec : object
        Content as written by the operator. It may be any JSON value, since objects
        are stored even if they do not parse.
    """

    __slots__ = ("kind", "name", "revision", "spec", "withdrawn")

    def __init__(self, kind, name, revision, withdrawn, spec):
        self.kind = kind
        self.name = name
        self.revision = revision
        self.withdrawn = withdrawn
        self.spec = spec

    def __repr__(self):
        return f"ConfigurationObject({self.kind}/{self.name}@{self.revision})"


class Catalog:
    """Replica of the configuration that one daemon holds.

    Attributes
    ----------
    objects : dict of (kind, name) to ConfigurationObject
        The version of each object with the highest revision, valid or not.
    valid : dict of (kind, name) to ConfigurationObject
        The version with the highest revision among those that parse or are
        withdrawn.
    parsed : dict of (kind, name) to object
        Result of parsing the valid version: a ``Profile``, an ``Organisation`` or,
        for a key, the name of its organisation. None if the object is withdrawn.
    errors : dict of (kind, name) to str
        Why the version in ``objects`` does not parse; shown on the state page.
    revision : int
        Highest revision merged so far.
    digest : int
        XOR of the hashes of all stored versions.
    confirmed_at : float
        Monotonic time in seconds at which the platform last confirmed the content;
        minus infinity before the first confirmation.
    """

    __slots__ = (
        "confirmed_at",
        "digest",
        "errors",
        "objects",
        "parsed",
        "revision",
        "valid",
    )

    def __init__(self):
        self.objects = {}
        self.valid = {}
        self.parsed = {}
        self.errors = {}
        self.revision = 0
        self.digest = 0
        self.confirmed_at = -math.inf


def parse_key(name, spec):
    """Return the name of the organisation that a key belongs to."""
    organisation = isinstance(spec, dict) and spec.get("organisation")
    if not organisation or not isinstance(organisation, str):
        raise ObjectInvalid(
            f"key {name[:8]} does not name an organisation",
            "set organisation to the name of an organisation",
        )
    return organisation


PARSERS = {
    "profile": parse_profile,
    "organisation": parse_organisation,
    "key": parse_key,
}


def decode_object(item):
    """Return the configuration object in a dict of the platform's format.

    Any truthy value of ``withdrawn`` withdraws the object, so a key stays withdrawn
    if an operator writes "yes" instead of true. The spec itself is not checked
    here; `merge_objects` parses it.

    Raises
    ------
    ObjectInvalid
        If the dict has another format or its kind is not a kind of configuration.

    See Also
    --------
    encode_object : The inverse.
    """
    if not isinstance(item, dict) or item.get("kind") not in tuple(PARSERS):
        raise ObjectInvalid("the item is not a configuration object", OBJECT_REMEDY)
    name, revision, spec = item.get("name"), item.get("revision"), item.get("spec")
    if not isinstance(name, str) or type(revision) is not int or revision < 1:
        raise ObjectInvalid(
            f"{item['kind']} has no valid name or revision", OBJECT_REMEDY
        )
    withdrawn = isinstance(spec, dict) and bool(spec.get("withdrawn"))
    return ConfigurationObject(item["kind"], name, revision, withdrawn, spec)


def encode_object(item):
    """Return an object as a dict of the platform's format.

    The spec of a withdrawn object always has a truthy ``withdrawn`` field.

    See Also
    --------
    decode_object : The inverse.

    Examples
    --------
    >>> encode_object(ConfigurationObject("key", "ab", 3, True, {}))["spec"]
    {'withdrawn': True}
    """
    spec = item.spec
    if item.withdrawn and not (isinstance(spec, dict) and spec.get("withdrawn")):
        spec = {**(spec if isinstance(spec, dict) else {}), "withdrawn": True}
    return {
        "kind": item.kind,
        "name": item.name,
        "revision": item.revision,
        "spec": spec,
    }


def dump_object(item):
    """Return an object as canonical JSON: equal objects have equal texts."""
    return json.dumps(encode_object(item), sort_keys=True)


def hash_object(item):
    """Return the SHA-256 of an object's canonical JSON as an integer."""
    return int.from_bytes(hashlib.sha256(dump_object(item).encode()).digest())


def supersedes(item, other):
    """Return whether an object replaces another of the same kind and name.

    The platform never assigns a revision twice. If it did, every daemon would still
    choose the same object: the withdrawn one, or else the one whose canonical JSON
    sorts last. ``other`` is None if there is no object to replace.
    """
    if other is None or item.revision != other.revision:
        return other is None or item.revision > other.revision
    if item.withdrawn != other.withdrawn:
        return item.withdrawn
    return item.spec != other.spec and dump_object(item) > dump_object(other)


def describe_error(error):
    """Return the message of an error, or those of an exception group joined."""
    return " / ".join(map(str, getattr(error, "exceptions", (error,))))


def try_parse(item):
    """Return (parsed object, None), or (None, error message) if parsing fails.

    A withdrawn object is not parsed and yields (None, None).
    """
    if item.withdrawn:
        return None, None
    try:
        return PARSERS[item.kind](item.name, item.spec), None
    except (EgretliftError, ExceptionGroup) as error:
        return None, describe_error(error)


def hash_versions(catalog, entry):
    """Return the XOR of the hashes of the one or two stored versions of an entry."""
    current, valid = catalog.objects.get(entry), catalog.valid.get(entry)
    total = hash_object(current) if current else 0
    return total ^ hash_object(valid) if valid and valid is not current else total


def merge_object(catalog, item):
    """Merge one object and return whether the catalog changed."""
    entry = (item.kind, item.name)
    current = supersedes(item, catalog.objects.get(entry))
    if not current and not supersedes(item, catalog.valid.get(entry)):
        return False
    parsed, error = try_parse(item)
    valid = error is None and supersedes(item, catalog.valid.get(entry))
    if not current and not valid:
        return False
    catalog.digest ^= hash_versions(catalog, entry)
    if current:
        catalog.objects[entry] = item
        catalog.errors.pop(entry, None)
        if error is not None:
            catalog.errors[entry] = error
    if valid:
        catalog.valid[entry] = item
        catalog.parsed[entry] = parsed
    catalog.digest ^= hash_versions(catalog, entry)
    catalog.revision = max(catalog.revision, item.revision)
    return True


def merge_objects(catalog, objects):
    """Merge objects into a catalog; the highest revision of each object wins.

    Parameters
    ----------
    catalog : Catalog
        Modified in place.
    objects : iterable of ConfigurationObject
        Objects from the platform or a peer, in any order. Objects of unknown kinds
        are ignored.

    Returns
    -------
    list of ConfigurationObject
        The objects that changed the catalog and should be sent to other daemons.
    """
    supported = (item for item in objects if item.kind in PARSERS)
    return [item for item in supported if merge_object(catalog, item)]


def find_key_owner(catalog, digest):
    """Return the name of the organisation that owns a key, or None.

    None is returned unless both the key and its organisation are in the catalog and
    not withdrawn.
    """
    name = catalog.parsed.get(("key", digest))
    return None if find_organisation(catalog, name) is None else name


def find_organisation(catalog, name):
    """Return the ``Organisation`` of this name, None if unknown or withdrawn."""
    return catalog.parsed.get(("organisation", name))


def list_organisations(catalog):
    """Return every ``Organisation`` that is not withdrawn."""
    items = catalog.parsed.items()
    return [
        value
        for (kind, _), value in items
        if kind == "organisation" and value is not None
    ]


def find_profile(catalog, name):
    """Return the last valid ``Profile`` of this name, None if unknown or withdrawn."""
    return catalog.parsed.get(("profile", name))


def list_objects_after(catalog, revision):
    """Return all stored versions with a higher revision, ordered by revision.

    A peer with the same highest revision may still lack earlier objects. Pass
    revision 0 if the digests differ although no newer version is found.
    """
    found = [value for value in catalog.objects.values() if value.revision > revision]
    for entry, valid in catalog.valid.items():
        if valid.revision > revision and valid is not catalog.objects[entry]:
            found.append(valid)
    return sorted(found, key=lambda value: value.revision)


def record_confirmation(catalog, now, age_s):
    """Record that the platform confirmed the content ``age_s`` seconds ago.

    An older confirmation than the recorded one has no effect, and a negative age
    counts as 0.
    """
    catalog.confirmed_at = max(catalog.confirmed_at, now - max(age_s, 0.0))


def compute_staleness(catalog, now):
    """Return the seconds since the platform last confirmed the content.

    The result is infinite before the first confirmation.

    Examples
    --------
    >>> compute_staleness(Catalog(), 5.0)
    inf
    """
    return max(now - catalog.confirmed_at, 0.0)


def digest_catalog(catalog):
    """Return the digest of all stored versions as 64 hexadecimal digits.

    The digest is maintained by `merge_object`, so this takes constant time.
    """
    return f"{catalog.digest:064x}"
