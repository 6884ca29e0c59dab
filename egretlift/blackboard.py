"""Blackboard: the whole state of one daemon, shared by its controllers.

It is used from a single event loop on a single thread, so no field needs a lock.
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
    """State of the upstream on the daemon's host, as last announced.

    Attributes
    ----------
    service : str
        Name of the announced service; empty before the first announcement.
    address : str
        IP address of the upstream.
    port : int
        Port of the upstream; 0 before the first announcement.
    routes : list
        Announced routes.
    status : str
        ``absent`` (not announced, or the announcement expired), ``serving``,
        ``draining`` or ``left``.
    expires_at : float
        Monotonic time in seconds at which the lease of the announcement expires.
    ignore_announcements_until : float
        Monotonic time in seconds until which announcements are ignored after a drain
        or leave, because they were probably sent before it.
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
    """Counters for metrics.

    Attributes
    ----------
    values : dict of (str, str) to int
        Counts by metric name and label value; the label is empty if there is none.
    """

    __slots__ = ("values",)

    def __init__(self):
        self.values = {}


def count(board, name, label="", amount=1):
    """Add an amount to a counter of the blackboard, created at 0 if new."""
    values = board.counters.values
    key = (name, label)
    values[key] = values.get(key, 0) + amount


class Blackboard:
    """State of one daemon. Times are monotonic and in seconds.

    Parameters
    ----------
    settings : Settings
    incarnation : int
        Start time in milliseconds; a restarted daemon has a higher one.

    Attributes
    ----------
    me : Member
        Membership entry of this host, which it gossips to others.
    calls : dict of str to Call
        Calls that this host's upstream is running, by call token.
    slots : dict of str to QueueEntry
        Calls that wait in the admission queue, by call token.
    organisation_shares : dict of str to OrganisationShares
        This host's shares of the rate of each organisation.
    holders : dict of str to (int, str)
        Epoch and host of the holder of each zone's lease.
    holders_sent : dict of str to ((int, str), int)
        For each zone, the lease holder that was last gossiped, and how often.
    leases : dict of str to LeaseState
        State of each zone's lease as observed by this host; its own zone's always
        has an entry.
    lease_specs : dict of str to dict
        Spec of the latest known version of each zone's lease object.
    allocators : dict of str to Allocator
        Rate allocators by organisation while this host holds its zone's lease.
    allocator_epoch : int
        Lease epoch for which ``allocators`` were created; 0 while this host does not
        hold the lease.
    quarantine_until : float
        Time until which a new lease holder grants no rate.
    zone_shares : dict of str to ZoneShares
        Division of each organisation's rate among zones, by organisation, while this
        host holds its zone's lease.
    share_objects : dict of str to (int, dict)
        Version and spec of the latest zone share object of each organisation.
    share_writes : set of str
        Organisations whose zone share is being written to the platform.
    share_wanted : anyio.Event
        Set when a call needs a rate token, so that a share is requested at once.
    zone_seeds : dict of str to list of (str, int)
        Control endpoints at which new daemons can join each zone.
    seeds_written : list or None
        Seed endpoints that this host last wrote to the platform.
    catalog_complete : bool
        Whether the catalog has held the whole configuration since the start.
    unsent_objects : list of ConfigurationObject
        Objects that changed the catalog and have not been gossiped yet.
    gossip_wanted : anyio.Event
        Set when a change must be gossiped before the next period.
    released_claims : dict of (organisation, identifier) to float
        Claims of this host for which a call may still create a ledger record, and
        the time at which that permission expires.
    platform_reached_at, platform_failed_at : float or None
        Time of the last successful platform call, and of the first failure since.
    reported : list of int
        Current second of the monotonic clock and the number of failures logged in
        it, which limits the rate of such events.
    open_requests : int
        HTTP requests being handled.
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
        """Add an amount to a counter; the same as the function `count`."""
        count(self, name, label, amount)
