"""Catalog of configuration objects, merged from the platform and from peers.

For each (kind, name) the catalog keeps the object of the highest revision and,
if that one does not parse, also the valid object of the highest revision. Both
are maxima, so the order and repetition of messages do not matter, and a daemon
that starts after an invalid write receives the valid version from its peers. A
withdrawn object counts as valid: it is never replaced by an earlier version.
"""

import hashlib
import json
import math

from egretlift.configuration.organisation import parse_organisation
from egretlift.configuration.profile import parse_profile
from egretlift.errors import EgretliftError, ObjectInvalid

OBJECT_REMEDY = "give kind, name, revision and spec as the platform does"


class ConfigurationObject:
    """One version of a configuration object. The spec must not be changed.

    Parameters
    ----------
    kind : str
        ``profile``, ``organisation`` or ``key``.
    name : str
        Name; of a key its digest.
    revision : int
        Revision given by the platform.
    withdrawn : bool
        Whether the object is a tombstone.
    spec : dict
        Content as written by the operator.
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
    """Configuration known to one daemon.

    Attributes
    ----------
    objects : dict of (kind, name) to ConfigurationObject
        The highest revision of each object.
    valid : dict of (kind, name) to ConfigurationObject
        The highest revision that is withdrawn or parses.
    parsed : dict of (kind, name) to object
        What the valid object says; None if it is withdrawn. Of a key it is the
        name of the organisation.
    errors : dict of (kind, name) to str
        Why the highest revision does not parse, for the state page.
    revision : int
        Highest revision merged.
    digest : int
        XOR of the hashes of all objects kept.
    confirmed_at : float
        Monotonic time at which the platform last confirmed the content, in
        seconds; minus infinity before the first confirmation.
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
    """Return the organisation that a key belongs to."""
    known = isinstance(spec, dict) and spec.get("organisation")
    if not known or not isinstance(known, str):
        raise ObjectInvalid(
            f"key {name[:8]} names no organisation", "give the name of an organisation"
        )
    return known


PARSERS = {
    "profile": parse_profile,
    "organisation": parse_organisation,
    "key": parse_key,
}


def decode_object(item):
    """Return the object in a dict of the platform's form.

    Any true value of ``withdrawn`` withdraws the object, so that a key stays
    withdrawn when an operator writes "yes" in place of true.

    Raises
    ------
    ObjectInvalid
        If the dict has another form or the kind is not one of configuration.

    See Also
    --------
    encode_object : The inverse.
    """
    if not isinstance(item, dict) or item.get("kind") not in tuple(PARSERS):
        raise ObjectInvalid("this is no configuration object", OBJECT_REMEDY)
    name, revision, spec = item.get("name"), item.get("revision"), item.get("spec")
    if not isinstance(name, str) or type(revision) is not int or revision < 1:
        raise ObjectInvalid(f"{item['kind']} has no name or revision", OBJECT_REMEDY)
    withdrawn = isinstance(spec, dict) and bool(spec.get("withdrawn"))
    return ConfigurationObject(item["kind"], name, revision, withdrawn, spec)


def encode_object(item):
    """Return an object as a dict of the platform's form.

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


def write_content(item):
    """Return the content of an object as text that is equal for equal content."""
    return json.dumps(encode_object(item), sort_keys=True)


def hash_object(item):
    """Return the SHA-256 of an object as a number."""
    return int.from_bytes(hashlib.sha256(write_content(item).encode()).digest())


def supersedes(item, other):
    """Return whether an object replaces another of the same kind and name.

    The platform never gives a revision twice. If it did, every daemon would
    still choose the same object: the withdrawn one, then the greater text.
    """
    if other is None or item.revision != other.revision:
        return other is None or item.revision > other.revision
    if item.withdrawn != other.withdrawn:
        return item.withdrawn
    return item.spec != other.spec and write_content(item) > write_content(other)


def describe_error(error):
    """Return the text of an error, or of all errors of a group."""
    return " / ".join(map(str, getattr(error, "exceptions", (error,))))


def try_parse(item):
    """Return the parsed object and None, or None and the text of its errors."""
    if item.withdrawn:
        return None, None
    try:
        return PARSERS[item.kind](item.name, item.spec), None
    except (EgretliftError, ExceptionGroup) as error:
        return None, describe_error(error)


def hash_entry(catalog, entry):
    """Return the XOR of the hashes of the one or two objects of an entry."""
    current, valid = catalog.objects.get(entry), catalog.valid.get(entry)
    total = hash_object(current) if current else 0
    return total ^ hash_object(valid) if valid and valid is not current else total


def merge_object(catalog, item):
    """Merge one object; return whether the catalog changed."""
    entry = (item.kind, item.name)
    current = supersedes(item, catalog.objects.get(entry))
    if not current and not supersedes(item, catalog.valid.get(entry)):
        return False
    parsed, error = try_parse(item)
    valid = error is None and supersedes(item, catalog.valid.get(entry))
    if not current and not valid:
        return False
    catalog.digest ^= hash_entry(catalog, entry)
    if current:
        catalog.objects[entry] = item
        catalog.errors.pop(entry, None)
        if error is not None:
            catalog.errors[entry] = error
    if valid:
        catalog.valid[entry] = item
        catalog.parsed[entry] = parsed
    catalog.digest ^= hash_entry(catalog, entry)
    catalog.revision = max(catalog.revision, item.revision)
    return True


def merge_objects(catalog, objects):
    """Merge objects into a catalog; the higher revision of each one wins.

    Parameters
    ----------
    catalog : Catalog
    objects : iterable of ConfigurationObject
        From the platform or a peer, in any order. Objects of other kinds are
        ignored.

    Returns
    -------
    list of ConfigurationObject
        Those that changed the catalog, which are worth telling to others.
    """
    known = (item for item in objects if item.kind in PARSERS)
    return [item for item in known if merge_object(catalog, item)]


def find_organisation(catalog, digest):
    """Return the organisation of a key, or None.

    Both the key and its organisation must be known and not withdrawn.
    """
    name = catalog.parsed.get(("key", digest))
    return None if find_quota(catalog, name) is None else name


def find_quota(catalog, name):
    """Return the ``Organisation`` of this name, or None."""
    return catalog.parsed.get(("organisation", name))


def list_quotas(catalog):
    """Return every ``Organisation`` that is not withdrawn."""
    items = catalog.parsed.items()
    return [it for (kind, _), it in items if kind == "organisation" and it is not None]


def find_profile(catalog, name):
    """Return the last valid profile of this name, or None."""
    return catalog.parsed.get(("profile", name))


def objects_after(catalog, revision):
    """Return the objects with a higher revision, ordered by revision.

    A peer with the same highest revision may still lack earlier objects; give 0
    when the digests differ and nothing newer is found.
    """
    found = [it for it in catalog.objects.values() if it.revision > revision]
    for entry, valid in catalog.valid.items():
        if valid.revision > revision and valid is not catalog.objects[entry]:
            found.append(valid)
    return sorted(found, key=lambda it: it.revision)


def confirm_freshness(catalog, now, age_s):
    """Record that the platform confirmed the content a number of seconds ago."""
    catalog.confirmed_at = max(catalog.confirmed_at, now - max(age_s, 0.0))


def staleness(catalog, now):
    """Return the seconds since the platform last confirmed the content.

    Examples
    --------
    >>> staleness(Catalog(), 5.0)
    inf
    """
    return max(now - catalog.confirmed_at, 0.0)


def digest_catalog(catalog):
    """Return the digest of all objects as text; it costs no pass over them."""
    return f"{catalog.digest:064x}"
