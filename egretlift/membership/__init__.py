"""Membership of the mesh: gossip tables, peers, zone views and announced routes.

Examples
--------
>>> from egretlift.membership import match_route
>>> match_route([("*", "/", "browse"), ("POST", "/book", "book")], "POST", "/book/7")
('POST', '/book', 'book')
"""

from egretlift.membership.routes import (
    Announcement,
    match_route,
    parse_announcement,
)
from egretlift.membership.table import (
    Member,
    MemberTable,
    advance_member,
    decode_member,
    digest_table,
    encode_member,
    expire_suspects,
    find_service_members,
    forget_members,
    merge_members,
    refute,
    select_dead_member,
    select_peers,
    select_probe_helpers,
    select_updates,
    suspect_member,
)

__all__ = [
    "Announcement",
    "Member",
    "MemberTable",
    "advance_member",
    "decode_member",
    "digest_table",
    "encode_member",
    "expire_suspects",
    "find_service_members",
    "forget_members",
    "match_route",
    "merge_members",
    "parse_announcement",
    "refute",
    "select_dead_member",
    "select_peers",
    "select_probe_helpers",
    "select_updates",
    "suspect_member",
]
