"""The blackboard of a sidecar daemon, which its controllers read and write."""

import random
import secrets

import anyio

from egretlift.admission.pace import Pace, Waits
from egretlift.admission.slots import Slots
from egretlift.clock import read_clock
from egretlift.events import record_event
from egretlift.load import Load
from egretlift.membership.directory import arrange_hosts, count_hosts
from egretlift.membership.followers import Duty
from egretlift.membership.peers import HostEntry, learn_stored
from egretlift.membership.upstream import UpstreamState, may_serve
from egretlift.membership.zone import ZoneView, find_home, has_quorum, is_current
from egretlift.quotas.home import Home
from egretlift.quotas.purse import Purse
from egretlift.retries.arrivals import Arrivals
from egretlift.transport.exchange import Pool

# Lines a second for each kind of decision; further ones are counted.
LOG_LINES_PER_SECOND = 20
# With many hosts in a zone reports are sent less often, so that their number stays
# bounded.
REPORTS_PER_SECOND = 50


class Board:
    """State of one sidecar daemon.

    Parameters
    ----------
    settings : SidecarSettings
    dialect : module
        Names of headers on the wire; see `egretlift.platform.requests`.
    store : StoreClient

    Attributes
    ----------
    configuration : Configuration or None
        The version in force.
    peers : dict of str to Peer
        Other hosts by name.
    directory : Directory or None
        The same by zone and service; None after a change, see `find_directory`.
    view : ZoneView
        This zone as of the last report.
    home_hosts : dict of str to str
        Homes in this zone by organisation, as far as they were looked up in this view.
    homes : dict of str to Home
        The zone's parts of rates that this host holds, by organisation.
    purses : dict of str to Purse
        Tokens by organisation.
    own_entry : HostEntry or None
        This host's entry in the store as it was last seen.
    duty : Duty
        Whether this host follows the store for its zone.
    store_ok : bool or None
        Whether the store serves this host; None if it was not asked of late.
    store_lost_at : float
        When the store last did not serve this host.
    datagrams : DatagramTransport or None
        Sends to other daemons.
    entry_missing : bool
        Whether somebody has taken this host's entry out of the store.
    asking : dict of str to Event
        Set when the question for an organisation's tokens that is under way ends.
    own_failed : float
        Decaying part of calls that failed at this host's upstream.
    runs : set of Run
        Calls that the upstream runs now.
    paces : dict of str to Pace
        Pace of the routes whose requests the upstream runs.
    open_requests : int
        Requests that were read and not answered yet.
    stopping, leaving, refusing : bool
        Whether the daemon was asked to stop, whether other daemons are to send it no
        further calls, and whether it takes no more requests.
    """

    __slots__ = (
        "arrivals",
        "awaited_tokens",
        "boot",
        "configuration",
        "counter",
        "counter_stored",
        "counters",
        "datagrams",
        "dialect",
        "directory",
        "duty",
        "entry_changed",
        "entry_missing",
        "entry_stored",
        "fetch_due",
        "fetch_sources",
        "histograms",
        "home_hosts",
        "homes",
        "hosts_listed",
        "leaving",
        "log_counts",
        "open_requests",
        "own_entry",
        "own_failed",
        "own_failed_at",
        "own_revision",
        "paces",
        "peer_pool",
        "peers",
        "purses",
        "random",
        "refusing",
        "report_due",
        "runs",
        "settings",
        "settings_content",
        "settings_path",
        "slots",
        "stopping",
        "store",
        "store_lost_at",
        "store_ok",
        "upstream",
        "upstream_pool",
        "view",
        "waits",
    )

    def __init__(self, settings, dialect, store):
        self.settings = settings
        self.settings_path = None
        self.settings_content = None
        self.dialect = dialect
        self.store = store
        self.store_ok = None
        self.store_lost_at = 0.0
        self.duty = Duty()
        self.datagrams = None
        self.random = random.Random()
        self.boot = secrets.token_hex(4)
        self.counter = 0
        self.configuration = None
        self.upstream = UpstreamState()
        self.slots = Slots()
        self.runs = set()
        self.paces = {}
        self.waits = Waits()
        self.arrivals = Arrivals(settings.bounds.repeat_window_s)
        self.peers = {}
        self.directory = None
        self.view = ZoneView()
        self.home_hosts = {}
        self.homes = {}
        self.purses = {}
        self.awaited_tokens = {}
        self.upstream_pool = Pool()
        self.peer_pool = Pool()
        self.own_failed = 0.0
        self.own_failed_at = 0.0
        self.own_entry = None
        self.own_revision = None
        self.open_requests = 0
        self.stopping = False
        self.leaving = False
        self.refusing = False
        self.counters = {}
        self.histograms = {}
        self.log_counts = {}
        self.entry_changed = anyio.Event()
        self.entry_missing = False
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

    def log(self, event, call, /, **fields):
        """Write a line for a decision on a call, up to a number a second."""
        second = int(read_clock())
        line = self.log_counts.get(event)
        if line is None or line[0] != second:
            left_out = line[1] - LOG_LINES_PER_SECOND if line else 0
            line = self.log_counts[event] = [second, 0]
            if left_out > 0:
                fields["left_out"] = left_out
        line[1] += 1
        if line[1] > LOG_LINES_PER_SECOND:
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
        """Write a line for a change of what the daemon believes."""
        self.log(event, None, **fields)

    def change_entry(self):
        """Publish that the upstream or the daemon's own state has changed."""
        self.counter += 1
        self.entry_changed.set()
        self.report_due.set()

    def make_entry(self):
        """Return what this daemon says of its host and upstream."""
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

    def find_pace(self, route):
        """Return the pace of a route on this host's upstream."""
        pace = self.paces.get(route)
        if pace is None:
            pace = self.paces[route] = Pace(read_clock())
        return pace

    def measure_load(self):
        """Return the load of this host's upstream."""
        slots = self.slots
        return Load(slots.running, slots.limit, len(slots.waiting), slots.duration_s)

    def may_execute(self, service):
        """Return whether this host's upstream can run calls of a service."""
        return service == self.settings.service and may_serve(self.upstream)

    def read_version(self):
        """Return the version of the configuration in force, 0 for none."""
        return self.configuration.version if self.configuration else 0

    def count_hosts(self):
        """Return the number of known hosts of this service, this one included."""
        return 1 + count_hosts(self.find_directory(), self.settings.service)

    def find_directory(self):
        """Return the known hosts by zone and service."""
        if self.directory is None:
            settings = self.settings
            self.directory = arrange_hosts(self.peers, settings.host, settings.zone)
        return self.directory

    def register_host(self, entry, revision):
        """Take in a host's entry; return whether the host was unknown.

        ``revision`` is that of the store, or 0 if another daemon knows the host.
        """
        known = self.peers.get(entry.host)
        previous = known and known.entry
        # Only a known host may be heard already. The interval needs the directory,
        # which would be arranged anew for each of the hosts that a start brings.
        interval_s = self.report_interval_s() if known else 0.0
        is_new = learn_stored(self.peers, entry, revision, read_clock(), interval_s)
        self.refresh_directory(previous, entry)
        return is_new

    def refresh_directory(self, previous, entry):
        """Arrange the hosts anew if an entry puts its host elsewhere than it was seen.

        ``seen`` is the host's entry before, None if the host was unknown.
        """
        if previous is None or (previous.zone, previous.service) != (
            entry.zone,
            entry.service,
        ):
            self.directory = None

    def ensure_purse(self, name):
        """Return the tokens of an organisation on this host."""
        purse = self.purses.get(name)
        if purse is None:
            purse = self.purses[name] = Purse(read_clock())
        return purse

    def find_home(self, name):
        """Return the host that holds this zone's part of a rate, None without one.

        A host that has not looked at its zone for some time, as after a pause, knows
        of none.
        """
        if not is_current(self.view, read_clock(), self.report_interval_s()):
            return None
        if name not in self.home_hosts:
            self.home_hosts[name] = find_home(self.view, name)
        return self.home_hosts[name]

    def set_view(self, view):
        """Use a new view of this zone."""
        before, self.view = self.view, view
        if before.ready != view.ready or has_quorum(before) != has_quorum(view):
            self.home_hosts.clear()

    def ensure_home(self, name):
        """Return what this host holds of a rate as the home of its zone."""
        home = self.homes.get(name)
        if home is None:
            home = self.homes[name] = Home(read_clock())
        return home

    def count_zone_hosts(self):
        """Return the number of hosts of each other zone."""
        zones = self.find_directory().zones
        return {zone: len(peers) for zone, peers in zones.items()}

    def report_interval_s(self):
        """Return the seconds between two reports of a host to its zone."""
        hosts = len(self.find_directory().near)
        return max(self.settings.report_interval_s, hosts / REPORTS_PER_SECOND)
