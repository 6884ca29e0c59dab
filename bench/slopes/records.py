"""State of a daemon, filled with records of the sizes expected in two years."""

import hashlib

from egretlift.blackboard import Blackboard
from egretlift.configuration import Catalog, decode_object, merge_objects
from egretlift.idempotency import Ledger, open_record
from egretlift.membership import Member, MemberTable, merge_members
from egretlift.quotas import AllocationRequest, Share, allocate, start_allocator
from egretlift.settings import Settings
from integration.meshes import ROUTES

PORTS = ("caller_port", "peer_port", "control_port", "operators_port")


def make_member(number, routes=len(ROUTES)):
    """Return a member record of the size that is expected in two years.

    The number selects the service (of 1,800), zone (of 18) and address.
    """
    service = f"service-{number % 1800:04d}"
    return Member(
        host=f"{service}-{number:05d}",
        incarnation=1_796_360_000_000 + number,
        version=3,
        zone=f"region-{number % 6}-{number % 18}",
        service=service,
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        status="alive",
        routes=[tuple(route.values()) for route in ROUTES[:routes]],
        **{name: 7400 + place for place, name in enumerate(PORTS)},
    )


def make_objects(count, kind="key"):
    """Return configuration objects of a kind, with the names and specs of keys."""
    return [
        decode_object(
            {
                "kind": kind,
                "name": hashlib.sha256(str(number).encode()).hexdigest(),
                "revision": number + 1,
                "spec": {"organisation": f"organisation-{number % 100}"},
            }
        )
        for number in range(count)
    ]


def make_board(members=100, objects=100, zones=18):
    """Return the state of a daemon that runs alone, filled with records."""
    secret = "mesh secret for tests only"
    settings = {"host": "me", "zone": "region-0-0", "mesh_secret": secret}
    board = Blackboard(Settings(settings), 1)
    merge_members(board.members, 0.0, map(make_member, range(members)))
    merge_objects(board.catalog, make_objects(objects))
    board.members.send_counts.clear()
    board.catalog_complete = True
    for zone in range(zones):
        holder = f"service-{zone:04d}-{zone:05d}"
        board.holders[f"region-{zone % 6}-{zone}"] = (100, holder)
    return board


def make_request(host, organisation="organisation-1", number=1):
    """Return the allocation request of a host, given by its number.

    ``number`` is the sequence number of the request.
    """
    name, started = f"host-{host}", 1_796_360_000_000
    return AllocationRequest(name, started, organisation, demand=10.0, number=number)


def build_member_table(count):
    """Return a member table of a number of members."""
    table = MemberTable("me")
    merge_members(table, 0.0, map(make_member, range(count)))
    table.send_counts.clear()
    return table


def build_catalog(count):
    """Return a catalog of a number of keys."""
    catalog = Catalog()
    merge_objects(catalog, make_objects(count))
    return catalog


def build_ledger(count):
    """Return a ledger of a number of identifiers, of eight organisations."""
    ledger, settings = Ledger(), Settings({"ledger_records": 10**6})
    for number in range(count):
        text = hashlib.sha256(str(number).encode()).hexdigest()
        open_record(ledger, settings, 0.0, f"o{number % 8}", text, text[::-1])
    return ledger


def build_allocator(count):
    """Return an allocator that has granted shares to a number of hosts."""
    allocator = start_allocator("organisation-1", 1, 0.0, 1e6, 1e6, 0.0)
    for number in range(count):
        allocate(allocator, Settings(), 1.0, make_request(number))
    return allocator


def build_shares(count):
    """Return the shares of a host in a number of organisations."""
    return [Share(f"organisation-{n}", "me", 1, 0.0) for n in range(count)]


STATE_KINDS = {
    "members": (build_member_table, (1000, 4000, 16000)),
    "catalog objects": (build_catalog, (1000, 4000, 16000)),
    "ledger records": (build_ledger, (5000, 10000, 20000)),
    "allocator grants": (build_allocator, (1000, 4000, 16000)),
    "shares": (build_shares, (1000, 4000, 16000)),
}
