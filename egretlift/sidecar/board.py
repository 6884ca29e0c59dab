"""State of a sidecar daemon, shared by its controllers and request handlers."""

import math
import random
import secrets

import anyio

from egretlift.admission.pace import CallerTimeouts, RouteAdmission
from egretlift.admission.quarantine import Quarantine
from egretlift.admission.slots import Slots
from egretlift.admission.upstream_limit import (
    compute_rate,
    estimate_wait_s,
    get_stated_rate,
)
from egretlift.clock import read_clock
from egretlift.events import record_event
from egretlift.load import Load
from egretlift.membership.directory import arrange_hosts, count_hosts
from egretlift.membership.followers import FollowerRole
from egretlift.membership.peers import HostEntry, merge_stored_entry
from egretlift.membership.statements import Statement, name_incarnation
from egretlift.membership.upstream import (
    DRAINING,
    GONE,
    UpstreamState,
    may_serve,
)
from egretlift.membership.zone import ZoneView, find_owner, has_quorum, is_current
from egretlift.quotas.home import ZoneQuota
from egretlift.quotas.purse import LocalTokens
from egretlift.retries.arrivals import ArrivalCounts
from egretlift.serving.parents import RunningCalls
from egretlift.transport.exchange import Pool
from egretlift.transport.memory import MemoryAccount

# Log lines a second for each kind of event; further ones are only counted.
LOG_LINES_PER_SECOND = 20
# Upper bound for the reports that a host receives from its zone in a second: with many
# hosts in a zone each of them reports less often.
REPORTS_PER_SECOND = 50
# Upper bound for the reports that a host sends in a second while it follows the store.
FOLLOWER_REPORTS_PER_SECOND = 150


class Board:
    """Shared state of one sidecar daemon.

    Parameters
    ----------
    settings : SidecarSettings
    dialect : module
        Reads and makes the headers of HTTP messages; see
        `egretlift.platform.requests`.
    store : StoreClient
        Client of the platform's store.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force, None before the first one.
    memory : MemoryAccount
        Bytes that all connections of this process hold.
    peers : dict of str to Peer
        Other hosts by name.
    directory : Directory or None
        ``peers`` by zone and service; None when it must be rebuilt, see
        `ensure_directory`.
    view : ZoneView
        This availability zone as of the last report interval.
    rate_owners : dict of str to str
        Cache of `find_owner`, by organisation; cleared when the view changes.
    zone_quotas : dict of str to ZoneQuota
        The zone's shares of rates that this host manages as owner, by organisation.
    local_tokens : dict of str to LocalTokens
        Rate tokens that this host holds, by organisation.
    own_entry : HostEntry or None
        This host's entry in the store when it was last read from there.
    own_revision : int or None
        Store revision of this host's entry, None if no stored entry is known.
    own_era : int
        Era of the store in which the entry had this revision.
    own_position : int
        Latest position of this host's entry, 0 for none.
    follower_role : FollowerRole
        Part of this host in following the store for its zone.
    store_ok : bool or None
        Whether the store serves this host; None if it was not called recently.
    store_era : int or None
        Latest known era of the store, see `egretlift.sidecar.eras`; None before the
        first answer of the store that states one.
    store_lost_at : float
        Clock reading, in seconds, when a call to the store last failed.
    datagrams : DatagramTransport or None
        Sends datagrams to other daemons; None while the socket is closed.
    entry_missing : bool
        Whether this host's entry must be written again: it was removed from the store,
        or the store holds an older one.
    invalid_entries : dict of str to (int, int)
        Era and revision of each invalid entry that was logged, by the name in the
        store; see `egretlift.sidecar.entries`.
    era_changed : Event
        Set when the store has come to a later era.
    settled_era : int or None
        Latest era in which all hosts had time to write their entries.
    listings_due : int
        Increases each time that the followed objects must be listed again.
    watch_scopes : set of CancelScope
        Watches in progress.
    removals : dict of str to int
        Position at which each host's entry was removed, the latest last.
    returned_entries : dict of str to int
        Revision of each entry that was removed and that a restored store has again.
    departures : dict of str to HostEntry
        Latest entry of each other host that tells that its upstream drains or has left;
        see `egretlift.membership.departures`.
    final_entries : dict of str to (int, float)
        Revision of the last entry of each host of this zone that has stopped, and the
        clock reading, in seconds, when it was learned.
    awaited_tokens : dict of str to Event
        For each organisation whose tokens are being requested: set when the request
        ends.
    own_failure_share : float
        Decaying share of calls that failed at this host's upstream.
    own_failure_share_at : float
        Clock reading of the last update of ``own_failure_share``, in seconds.
    statements : dict of str to Statement
        What upstreams stated in answers that this daemon has passed on; see
        `egretlift.membership.statements`.
    quarantine : Quarantine
        Requests that are suspected of ending upstreams of this host's service.
    changed_suspects : set of str
        Fingerprints of which the other daemons of the service are to be told.
    suspects_due : Event
        Set to wake the task that tells them.
    upstream_check : Task or None
        Finds out whether the upstream has ended after connections to it broke.
    start_timer : TimerHandle or None
        Starts the next waiting call when the rate limit of the upstream allows it.
    running_calls : RunningCalls
        Calls that the upstream is executing.
    route_admissions : dict of str to RouteAdmission
        Adaptive admission state of the routes that the upstream serves.
    open_requests : int
        Requests that were read and are not answered yet.
    stopping, leaving, refusing, ending : bool
        Stages of a graceful stop: the daemon was asked to stop; other daemons must
        send it no further calls; it refuses new requests; it answers the open ones.
    end_at : float
        Clock reading, in seconds, by which all requests must be answered; infinite
        before a stop.
    log_counts : dict of str to list
        For each kind of event, [second, number of lines in that second].
    entry_changed, report_due, fetch_due : Event
        Set to wake the tasks that write this host's entry, send reports, and fetch
        the configuration.
    fetch_sources : set of str
        Hosts that reported a newer configuration than this daemon has.
    entry_stored : Event
        Set, and replaced, each time the store has this host's current entry.
    counter, counter_stored : int
        Number of changes of this host's entry, and the one up to which the store has
        them.
    hosts_listed : Event
        Set once all hosts were read from the store, or from another daemon that had
        read them.
    """

    __slots__ = (
        "arrivals",
        "awaited_tokens",
        "boot",
        "changed_suspects",
        "configuration",
        "counter",
        "counter_stored",
        "counters",
        "datagrams",
        "departures",
        "dialect",
        "directory",
        "follower_role",
        "end_at",
        "era_changed",
        "listings_due",
        "own_era",
        "own_position",
        "removals",
        "returned_entries",
        "settled_era",
        "watch_scopes",
        "ending",
        "entry_changed",
        "entry_missing",
        "entry_stored",
        "fetch_due",
        "fetch_sources",
        "final_entries",
        "histograms",
        "rate_owners",
        "zone_quotas",
        "hosts_listed",
        "invalid_entries",
        "leaving",
        "log_counts",
        "memory",
        "open_requests",
        "own_entry",
        "own_failure_share",
        "own_failure_share_at",
        "own_revision",
        "route_admissions",
        "peer_pool",
        "peers",
        "local_tokens",
        "quarantine",
        "random",
        "refusing",
        "report_due",
        "running_calls",
        "settings",
        "settings_content",
        "settings_path",
        "slots",
        "start_timer",
        "statements",
        "stopping",
        "store",
        "store_era",
        "store_lost_at",
        "store_ok",
        "suspects_due",
        "upstream",
        "upstream_check",
        "upstream_pool",
        "view",
        "caller_timeouts",
    )

    def __init__(self, settings, dialect, store):
        self.settings = settings
        self.settings_path = None
        self.settings_content = None
        self.dialect = dialect
        self.store = store
        self.store_ok = None
        self.store_era = None
        self.store_lost_at = 0.0
        self.follower_role = FollowerRole()
        self.datagrams = None
        self.random = random.Random()
        self.boot = secrets.token_hex(4)
        self.counter = 0
        self.configuration = None
        self.upstream = UpstreamState()
        self.slots = Slots()
        self.start_timer = None
        self.statements = {}
        self.quarantine = Quarantine()
        self.changed_suspects = set()
        self.suspects_due = anyio.Event()
        self.upstream_check = None
        self.running_calls = RunningCalls()
        self.route_admissions = {}
        self.caller_timeouts = CallerTimeouts()
        self.arrivals = ArrivalCounts(settings.bounds.repeat_window_s)
        self.peers = {}
        self.directory = None
        self.view = ZoneView()
        self.rate_owners = {}
        self.zone_quotas = {}
        self.local_tokens = {}
        self.awaited_tokens = {}
        self.memory = MemoryAccount(settings.memory_mb)
        self.memory.report = self.report_memory
        self.upstream_pool = Pool(self.memory)
        self.peer_pool = Pool(self.memory)
        self.own_failure_share = 0.0
        self.own_failure_share_at = 0.0
        self.own_entry = None
        self.own_revision = None
        self.own_era = 0
        self.own_position = 0
        self.open_requests = 0
        self.stopping = False
        self.leaving = False
        self.refusing = False
        self.ending = False
        self.end_at = math.inf
        self.counters = {}
        self.histograms = {}
        self.log_counts = {}
        self.entry_changed = anyio.Event()
        self.entry_missing = False
        self.invalid_entries = {}
        self.era_changed = anyio.Event()
        self.settled_era = None
        self.listings_due = 0
        self.watch_scopes = set()
        self.removals = {}
        self.returned_entries = {}
        self.departures = {}
        self.final_entries = {}
        self.entry_stored = anyio.Event()
        self.counter_stored = -1
        self.report_due = anyio.Event()
        self.hosts_listed = anyio.Event()
        self.fetch_due = anyio.Event()
        self.fetch_sources = set()

    def count(self, name, label=""):
        """Add one to a counter."""
        key = (name, label)
        self.counters[key] = self.counters.get(key, 0) + 1

    def count_upstream_requests(self):
        """Return the number of requests sent to the upstream so far, of all kinds."""
        kinds = ("first", "nested", "repeat")
        return sum(self.counters.get(("upstream_requests", kind), 0) for kind in kinds)

    def log(self, event, call, /, **fields):
        """Log an event, at most ``LOG_LINES_PER_SECOND`` lines a second of each kind.

        ``call`` adds its identifying fields to the line; None for events without one.
        The first line of a later second states how many lines were left out.
        """
        second = int(read_clock())
        window = self.log_counts.get(event)
        if window is None or window[0] != second:
            left_out = window[1] - LOG_LINES_PER_SECOND if window else 0
            window = self.log_counts[event] = [second, 0]
            if left_out > 0:
                fields["left_out"] = left_out
        window[1] += 1
        if window[1] > LOG_LINES_PER_SECOND:
            self.count("lines_left_out", event)
            return
        if call is not None:
            remaining_ms = round(1000 * (call.deadline - read_clock()))
            fields = {
                "id": call.request_id,
                "route": call.route,
                "service": call.service,
                "organisation": call.organisation or "-",
                "parent": call.parent_id or "-",
                "remaining_ms": remaining_ms,
                **fields,
            }
        record_event(event, **fields)

    def log_change(self, event, /, **fields):
        """Log a change of the daemon's state, which belongs to no call."""
        self.log(event, None, **fields)

    def report_memory(self, action, held):
        """Count and log a connection that was refused or closed for its memory."""
        self.count("memory_exceeded", action)
        self.log_change("memory-exceeded", action=action, held=held)

    def report_surplus(self, count):
        """Count and log connections that were closed as there were too many."""
        self.counters[("connections_closed", "")] = (
            self.counters.get(("connections_closed", ""), 0) + count
        )
        self.log_change("connections-closed", count=count)

    def mark_entry_changed(self):
        """Mark this host's entry as changed, so that it is stored and reported."""
        self.counter += 1
        self.entry_changed.set()
        self.report_due.set()

    def share_suspects(self, fingerprints):
        """Tell the other daemons of the service about suspects, as soon as possible."""
        self.changed_suspects.update(fingerprints)
        self.suspects_due.set()

    def list_service_peers(self):
        """Return the other known hosts of this host's service."""
        hosts = self.ensure_directory().services.get(self.settings.service)
        return [*hosts.near, *hosts.far, *hosts.rest] if hosts else []

    def state_upstream(self):
        """Return what this host's upstream states, None if it is nothing unusual."""
        current = self.upstream.current
        rate_per_s = get_stated_rate(self.slots.rate_limit)
        has_left = self.upstream.status in (DRAINING, GONE)
        if current is None or (rate_per_s is None and not has_left):
            return None
        upstream = name_incarnation(current.upstream_id, current.born)
        return Statement(upstream, rate_per_s, has_left)

    def make_entry(self):
        """Return the entry that describes this host, its daemon and its upstream."""
        settings, state = self.settings, self.upstream
        current = state.current
        status = "absent" if state.silent else state.status
        return HostEntry(
            host=settings.host,
            zone=settings.zone,
            service=settings.service,
            address=settings.address,
            peer_port=settings.peer[1],
            report_port=settings.report_port,
            upstream_id=current.upstream_id if current else "",
            state=status,
            born=current.born if current else 0,
            sequence=current.sequence if current else 0,
            slots=current.slots if current else 0,
            boot=self.boot,
            counter=self.counter,
            stopping=self.leaving,
        )

    def ensure_route_admission(self, route):
        """Return the admission state of a route on this host, created at first use."""
        route_admission = self.route_admissions.get(route)
        if route_admission is None:
            route_admission = self.route_admissions[route] = RouteAdmission(
                read_clock()
            )
        return route_admission

    def measure_load(self):
        """Return the load of this host's upstream."""
        slots = self.slots
        rate_limit, queued, now = slots.rate_limit, len(slots.waiting), read_clock()
        return Load(
            slots.running,
            slots.limit,
            queued,
            slots.duration_s,
            compute_rate(rate_limit, now),
            estimate_wait_s(rate_limit, queued, now),
        )

    def may_execute(self, service):
        """Return whether this host's upstream can run calls of a service."""
        return service == self.settings.service and may_serve(self.upstream)

    def read_version(self):
        """Return the version of the configuration in force, 0 for none."""
        return self.configuration.version if self.configuration else 0

    def read_reported_era(self):
        """Return the era of the store if this process has seen it change, else None."""
        has_changed = ("store_restores", "") in self.counters
        return self.store_era if has_changed else None

    def count_hosts(self):
        """Return the number of known hosts of this service, including this one."""
        return 1 + count_hosts(self.ensure_directory(), self.settings.service)

    def ensure_directory(self):
        """Return the known hosts by zone and service, rebuilt after a change."""
        if self.directory is None:
            settings = self.settings
            self.directory = arrange_hosts(self.peers, settings.host, settings.zone)
        return self.directory

    def register_host(self, entry, position):
        """Register a host's entry and return whether the host was unknown.

        ``position`` is that of the entry in the store, or 0 if the entry came from
        another daemon that knows none.
        """
        known = self.peers.get(entry.host)
        previous = known and known.entry
        # Only a known host can have sent reports. Computing the interval would rebuild
        # the directory for each of the hosts that are registered at the start.
        interval_s = self.report_interval_s() if known else 0.0
        is_new = merge_stored_entry(
            self.peers, entry, position, read_clock(), interval_s
        )
        self.invalidate_directory(previous, entry)
        return is_new

    def invalidate_directory(self, previous, entry):
        """Discard the directory if an entry changes its host's zone or service.

        ``previous`` is the host's entry before, None if the host was unknown.
        """
        if previous is None or (previous.zone, previous.service) != (
            entry.zone,
            entry.service,
        ):
            self.directory = None

    def ensure_local_tokens(self, name):
        """Return this host's tokens of an organisation, created at first use."""
        local = self.local_tokens.get(name)
        if local is None:
            local = self.local_tokens[name] = LocalTokens(read_clock())
        return local

    def find_owner(self, name):
        """Return the host that manages this zone's share of an organisation's rate.

        None if the zone has no quorum or no ready host, or if this daemon's view of
        the zone is out of date, as after a pause of the process.
        """
        if not is_current(self.view, read_clock(), self.report_interval_s()):
            return None
        if name not in self.rate_owners:
            self.rate_owners[name] = find_owner(self.view, name)
        return self.rate_owners[name]

    def set_view(self, view):
        """Replace the view of this zone; forget cached owners if they may change."""
        before, self.view = self.view, view
        if before.ready != view.ready or has_quorum(before) != has_quorum(view):
            self.rate_owners.clear()

    def ensure_zone_quota(self, name):
        """Return the zone's share of a rate this host owns, created at first use."""
        quota = self.zone_quotas.get(name)
        if quota is None:
            quota = self.zone_quotas[name] = ZoneQuota(read_clock())
        return quota

    def count_zone_hosts(self):
        """Return the number of hosts of each other zone."""
        zones = self.ensure_directory().zones
        return {zone: len(peers) for zone, peers in zones.items()}

    def report_interval_s(self):
        """Return the time between two reports of a host to its zone, in seconds."""
        hosts = len(self.ensure_directory().near)
        return max(self.settings.report_interval_s, hosts / REPORTS_PER_SECOND)

    def follower_interval_s(self):
        """Return the time between two reports of a host that follows the store.

        The other hosts notice by the absence of these reports that they would not hear
        of changes.
        """
        hosts = len(self.ensure_directory().near)
        return max(self.settings.report_interval_s, hosts / FOLLOWER_REPORTS_PER_SECOND)
