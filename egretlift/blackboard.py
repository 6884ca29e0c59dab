"""The blackboard: all state of one daemon, read and written by its controllers.

One event loop on one thread uses the blackboard, so no field needs a lock.
"""

import random
import time

import anyio

from egretlift.admission import AdmissionState, ThrottleState
from egretlift.configuration import Catalog
from egretlift.idempotency import Ledger
from egretlift.membership import Member, MemberTable
from egretlift.quotas import LeaseState
from egretlift.retries import RetryBudgets
from egretlift.routing import HostRecords


class Upstream:
    """What the daemon knows of the upstream on its host.

    Attributes
    ----------
    status : str
        ``absent``, ``serving``, ``draining`` or ``left``.
    expires_at : float
        End of the announcement's lease, monotonic seconds.
    ignore_announcements_until : float
        Until when announcements are ignored after a drain or leave.
    """

    __slots__ = (
        "address",
        "ignore_announcements_until",
        "expires_at",
        "port",
        "routes",
        "service",
        "status",
    )

    def __init__(self):
        self.service = ""
        self.address = "127.0.0.1"
        self.port = 0
        self.routes = []
        self.status = "absent"
        self.expires_at = 0.0
        self.ignore_announcements_until = 0.0


class Counters:
    """Counts for metrics, by name and label values."""

    __slots__ = ("values",)

    def __init__(self):
        self.values = {}


def count(board, name, label="", amount=1):
    """Add to a counter of the blackboard."""
    values = board.counters.values
    key = (name, label)
    values[key] = values.get(key, 0) + amount


class Blackboard:
    """State of one daemon.

    Parameters
    ----------
    settings : Settings
    incarnation : int
        Start time in milliseconds; a restarted daemon has a higher one.

    Attributes
    ----------
    calls : dict of str to Call
        Calls that this host's upstream is running, by call token.
    organisation_shares : dict of str to OrganisationShares
        What this host holds of each organisation's rate.
    holders : dict of str to (int, str)
        Epoch and host of the holder of each zone's lease.
    holders_sent : dict of str to ((int, str), int)
        The holder of each zone that was gossiped last, and how often.
    allocators : dict of str to Allocator
        Allocators by organisation while this host holds its zone's lease.
    released_claims : dict of (organisation, identifier) to float
        Claims of this host that a call may open a record for, until when.
    reported : list of int
        Second of the monotonic clock and the failures reported in it.
    stopping : bool
        Whether a graceful stop has begun.
    """

    __slots__ = (
        "admission",
        "allocator_epoch",
        "allocators",
        "budgets",
        "calls",
        "catalog",
        "catalog_complete",
        "channels",
        "checking_platform",
        "counters",
        "unsent_objects",
        "holders",
        "holders_sent",
        "host_records",
        "identifier_sequence",
        "incarnation",
        "gossip_wanted",
        "ledger",
        "lease_specs",
        "leases",
        "me",
        "members",
        "open_requests",
        "platform",
        "platform_failed_at",
        "platform_reached_at",
        "quarantine_until",
        "organisation_shares",
        "random",
        "sessions",
        "released_claims",
        "reported",
        "seeds_written",
        "settings",
        "share_objects",
        "share_wanted",
        "share_writes",
        "slots",
        "stop",
        "stopping",
        "tasks",
        "throttle",
        "upstream",
        "zone_seeds",
        "zone_shares",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.random = random.Random(f"{settings.host}/{incarnation}")
        self.me = Member(
            host=settings.host,
            incarnation=incarnation,
            version=1,
            zone=settings.zone,
            service="",
            address=settings.address,
            caller_port=settings.caller_port,
            peer_port=settings.peer_port,
            control_port=settings.control_port,
            operators_port=settings.operators_port,
            status="alive",
            routes=(),
        )
        self.members = MemberTable(settings.host)
        self.catalog = Catalog()
        self.admission = AdmissionState(settings)
        self.throttle = ThrottleState(settings)
        self.budgets = RetryBudgets()
        self.host_records = HostRecords()
        self.ledger = Ledger()
        self.counters = Counters()
        self.upstream = Upstream()
        self.released_claims = {}
        self.calls = {}
        self.slots = {}
        self.organisation_shares = {}
        self.holders = {}
        self.holders_sent = {}
        self.share_wanted = anyio.Event()
        self.allocators = {}
        self.zone_shares = {}
        self.leases = {}
        self.lease_specs = {}
        self.leases[settings.zone] = LeaseState(
            settings.zone, settings.host, incarnation, time.monotonic()
        )
        self.zone_seeds = {}
        self.seeds_written = None
        self.share_objects = {}
        self.share_writes = set()
        self.allocator_epoch = 0
        self.quarantine_until = 0.0
        self.catalog_complete = False
        self.unsent_objects = []
        self.identifier_sequence = 0
        self.channels = {}
        self.sessions = {}
        self.platform = None
        self.platform_reached_at = None
        self.platform_failed_at = None
        self.checking_platform = False
        self.open_requests = 0
        self.reported = [0, 0]
        self.stopping = False
        self.stop = anyio.Event()
        self.gossip_wanted = anyio.Event()
        self.tasks = None

    def count(self, name, label="", amount=1):
        """Add to a counter; see `count`."""
        count(self, name, label, amount)
