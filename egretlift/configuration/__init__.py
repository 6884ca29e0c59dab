"""Configuration objects: their replicated catalog, and the parsers of their specs.

Examples
--------
>>> from egretlift.configuration import Catalog, decode_object, merge_objects
>>> catalog = Catalog()
>>> item = {"kind": "key", "name": "ab", "revision": 4, "spec": {"organisation": "n"}}
>>> len(merge_objects(catalog, [decode_object(item)])), catalog.revision
(1, 4)
"""

from egretlift.configuration.catalog import (
    Catalog,
    ConfigurationObject,
    confirm_freshness,
    decode_object,
    digest_catalog,
    encode_object,
    find_organisation,
    find_profile,
    find_quota,
    list_organisations,
    merge_objects,
    objects_after,
    staleness,
)
from egretlift.configuration.organisation import Organisation, parse_organisation
from egretlift.configuration.profile import Profile, parse_profile

__all__ = [
    "Catalog",
    "ConfigurationObject",
    "Organisation",
    "Profile",
    "confirm_freshness",
    "decode_object",
    "digest_catalog",
    "encode_object",
    "find_organisation",
    "find_profile",
    "find_quota",
    "list_organisations",
    "merge_objects",
    "objects_after",
    "parse_organisation",
    "parse_profile",
    "staleness",
]
