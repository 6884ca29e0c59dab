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
    compute_staleness,
    decode_object,
    digest_catalog,
    encode_object,
    find_key_owner,
    find_organisation,
    find_profile,
    list_objects_after,
    list_organisations,
    merge_objects,
    record_confirmation,
)
from egretlift.configuration.organisation import Organisation, parse_organisation
from egretlift.configuration.profile import Profile, parse_profile

__all__ = [
    "Catalog",
    "ConfigurationObject",
    "Organisation",
    "Profile",
    "compute_staleness",
    "decode_object",
    "digest_catalog",
    "encode_object",
    "find_key_owner",
    "find_organisation",
    "find_profile",
    "list_objects_after",
    "list_organisations",
    "merge_objects",
    "parse_organisation",
    "parse_profile",
    "record_confirmation",
]
