"""Division of an organisation's rate and burst between zones, in thousandths.

A platform object holds an entry for every zone: its ``share``; the demand in calls/s
that it ``wants`` to cover, 0 if its share suffices; and the ``epoch`` of the zone lease
under which the entry was last written. Only the holder of a zone's lease lowers the
share of the zone, unless the zone is lost; see ``plan_reclaim``.

A new holder first writes its epoch into the entry, and uses the share only after it
has seen that entry. A delayed transfer by the previous holder then fails on its
expected version, and cannot give away what the new holder uses.

A planned write is pending until a higher version of the object is seen. Until then the
smaller of both shares counts, and ``plan_write`` returns the same write again.
"""

import math

TOTAL = 1000  # sum of all shares of an organisation, in thousandths
WRITE_GAP_S = 1.5  # shortest time between two different writes of a zone
HEADROOM = 1.25  # ratio of share to demand that a giver keeps and a taker gets
MIN_HEADROOM = 1.1  # a zone wants more if its ratio is below this
GROWTH_WRITE_GAP_S = 0.5  # the same for wants that have more than doubled
DEMAND_STEP = 1.25  # ratio of successive values of ``wants``
# Share given per shortfall while there is spare rate: a demand that moves to another
# zone goes on growing there.
SURPLUS_FACTOR = 1.5
DEMAND_AVERAGE_S = 20.0  # time constant of the demand while it varies by chance only
DEMAND_SHIFT_S = 5.0  # time after a large change in which demand is not averaged
# The demand is averaged over at least this many calls; fewer vary by over 7%.
DEMAND_AVERAGE_CALLS = 100
MIN_FAIR_TRANSFER = 50  # smallest transfer between two zones that lack rate
MIN_SPARE_TRANSFER = 20  # smallest transfer of spare rate
SMALL_BURST_PER_ZONE = 5.0  # calls per zone below which a burst is not divided
IDLE_SHARE = 20  # share that a zone without demand keeps for its first calls


class ZoneShares:
    """An organisation's zone shares as the holder of one zone's lease sees them.

    Parameters
    ----------
    organisation : str
    zone : str
        The holder's own zone.
    epoch : int
        Epoch of the zone lease for which this state was made; a new epoch needs a
        new state.

    Attributes
    ----------
    zones : dict of str to dict
        Entry of each zone in the latest version seen.
    demand : float or None
        Demand of this zone in calls/s without its random variation, see
        ``record_demand``; None until it is known.
    pending_transfer : tuple of (str, int) or None
        Receiving zone and thousandths of a transfer that is planned but not yet
        seen; the allocator already gives up its rate and burst.
    pending_write : tuple of (dict, int) or None
        Spec and expected version of a write of which it is not known whether it took
        effect.
    """

    __slots__ = (
        "demand",
        "demand_at",
        "epoch",
        "pending_transfer",
        "shifted_at",
        "organisation",
        "pending_write",
        "version",
        "written_at",
        "zone",
        "zones",
    )

    def __init__(self, organisation, zone, epoch):
        self.organisation = organisation
        self.zone = zone
        self.epoch = epoch
        self.version = 0
        self.zones = {}
        self.demand = None
        self.demand_at = -math.inf
        self.shifted_at = -math.inf
        self.pending_transfer = None
        self.pending_write = None
        self.written_at = -math.inf


def observe_shares(state, version, spec):
    """Record a version that was read, watched, written or returned by a conflict.

    Older versions are ignored. A transfer whose write failed because another zone wrote
    first remains pending and is tried again as long as its taker wants rate.
    """
    if version <= state.version:
        return
    before = get_share(state)
    if state.pending_write and version > state.pending_write[1]:
        if spec == state.pending_write[0]:
            state.pending_transfer = None
        state.pending_write = None
    state.version = version
    state.zones = {zone: dict(entry) for zone, entry in spec["zones"].items()}
    if state.pending_transfer:
        taker, amount = state.pending_transfer
        wanted = state.zones.get(taker, {}).get("wants", 0) > 0
        if not wanted or get_share(state) < max(before, amount):
            state.pending_transfer = None


def get_share(state, zone=None):
    """Return the share of a zone, by default this one, in the latest version seen."""
    return state.zones.get(zone or state.zone, {}).get("share", 0)


def find_usable_share(state):
    """Return the thousandths that this zone may use now.

    It is 0 until the entry of this zone has the epoch of this holder.

    Examples
    --------
    >>> state = ZoneShares("studio", "a", 3)
    >>> entry = {"share": 400, "wants": 0, "epoch": 3}
    >>> observe_shares(state, 8, {"zones": {"a": entry}})
    >>> find_usable_share(state)
    400
    """
    entry = state.zones.get(state.zone)
    if entry is None or entry["epoch"] != state.epoch:
        return 0
    share = entry["share"]
    if state.pending_write:
        share = min(share, state.pending_write[0]["zones"][state.zone]["share"])
    if state.pending_transfer:
        share = min(share, entry["share"] - state.pending_transfer[1])
    return max(0, share)


def scale_limits(thousandths, rate, burst):
    """Return the rate and burst of a zone with a share in thousandths.

    Examples
    --------
    >>> scale_limits(250, 100.0, 20.0)
    (25.0, 5.0)
    """
    return rate * thousandths / TOTAL, burst * thousandths / TOTAL


def record_demand(state, now, demand):
    """Record the demand of this zone, None while it is not known.

    The sum of the hosts' averages varies by chance with a standard deviation of about
    sqrt(demand / 2). Changes within four standard deviations are averaged. A larger
    one means that the demand itself changes: it is then not averaged for a while.

    Parameters
    ----------
    state : ZoneShares
    now : float
    demand : float or None
        Calls/s, refusals included; see ``allocator.find_zone_demand``.
    """
    elapsed, state.demand_at = max(0.0, now - state.demand_at), now
    previous = state.demand
    state.demand = demand
    if demand is None or previous is None:
        return
    highest = max(demand, previous, 0.01)
    if abs(demand - previous) > 4 * math.sqrt(highest / 2):
        state.shifted_at = now
    if now - state.shifted_at > DEMAND_SHIFT_S:
        period = max(DEMAND_AVERAGE_S, DEMAND_AVERAGE_CALLS / highest)
        part = 1 - math.exp(-elapsed / period)
        state.demand = previous + (demand - previous) * part


def round_up_demand(demand):
    """Return a demand rounded up to a power of 1.25, so that it rarely changes.

    A demand below 0.01 calls/s becomes 0. The base is ``DEMAND_STEP``.

    Examples
    --------
    >>> round_up_demand(20.0), round_up_demand(22.0), round_up_demand(0.0)
    (22.74, 22.74, 0)
    """
    if demand < 0.01:
        return 0
    return round(DEMAND_STEP ** math.ceil(math.log(demand, DEMAND_STEP)), 2)


def size_share(demand, rate, headroom=HEADROOM):
    """Return the thousandths that cover a demand with headroom; all without a rate."""
    return TOTAL if rate <= 0 else math.ceil(TOTAL * headroom * demand / rate)


def find_min_share(burst):
    """Return the smallest useful share, in thousandths: a burst of one call."""
    return min(TOTAL, math.ceil(TOTAL / burst)) if burst > 0 else TOTAL


def compute_wants(state, rate, burst):
    """Return the ``wants`` of this zone: its rounded demand, or 0 if covered."""
    entry, demand = state.zones[state.zone], state.demand
    old, share = entry["wants"], entry["share"]
    if demand < 0.01:
        return 0
    # The value is kept until demand is well below it, so that a demand that varies
    # around a step, or around the share, causes no writes.
    if size_share(demand, rate, MIN_HEADROOM) > share or share < find_min_share(burst):
        return old if old >= demand > old / DEMAND_STEP**2 else round_up_demand(demand)
    return old if old and size_share(demand, rate) > share else 0


def plan_transfer(state, now, rate, burst):
    """Decide on the next transfer and set ``state.pending_transfer``.

    The taker is the zone with the largest shortfall. If this zone has spare rate, it
    gives more than the shortfall; if both lack rate, the sum of both shares is divided
    by demand. The caller then resizes its allocator to ``find_usable_share``.

    Parameters
    ----------
    state : ZoneShares
    now : float
    rate, burst : float
        The organisation's rate and burst.

    Returns
    -------
    tuple of (str, int) or None
        Receiving zone and thousandths.
    """
    if state.pending_transfer or state.pending_write or state.demand is None:
        return state.pending_transfer
    if (
        now - state.written_at < WRITE_GAP_S
        or not find_usable_share(state)
        or rate <= 0
    ):
        return None
    shortfalls = {
        zone: max(size_share(entry["wants"], rate), find_min_share(burst))
        - entry["share"]
        for zone, entry in state.zones.items()
        if zone != state.zone and entry["wants"] > 0
    }
    taker = max(shortfalls, key=shortfalls.get, default=None)
    if taker is None or shortfalls[taker] <= 0:
        return None
    amount = compute_transfer(state, taker, shortfalls[taker], rate, burst)
    if amount:
        state.pending_transfer = (taker, amount)
    return state.pending_transfer


def compute_transfer(state, taker, shortfall, rate, burst):
    """Return the thousandths to give to a taker, 0 if too few to be worth a write."""
    share, minimum = get_share(state), find_min_share(burst)
    minimum_kept = minimum if state.demand >= 0.01 or minimum <= IDLE_SHARE else 0
    taker_shortfall = max(0, minimum - get_share(state, taker))
    spare = share - max(
        size_share(state.demand, rate), min(IDLE_SHARE, minimum_kept), minimum_kept
    )
    spare = min(spare, math.ceil(shortfall * SURPLUS_FACTOR))
    if spare >= max(MIN_SPARE_TRANSFER, taker_shortfall):
        return spare
    amount = min(
        share - max(compute_fair_share(state, taker, rate), minimum_kept), shortfall
    )
    return amount if amount >= max(MIN_FAIR_TRANSFER, taker_shortfall) else 0


def compute_fair_share(state, taker, rate):
    """Return the thousandths that this zone keeps if both zones lack rate.

    Both demands are rounded in the same way; otherwise two equal zones would pass rate
    back and forth. This zone keeps enough for its own demand if the rest is enough for
    the taker.
    """
    wants = state.zones[taker]["wants"]
    own = max(state.zones[state.zone]["wants"], round_up_demand(state.demand))
    combined = get_share(state) + get_share(state, taker)
    fair = round(combined * own / (own + wants))
    covered = size_share(state.demand, rate, MIN_HEADROOM)
    if covered + size_share(wants, rate, 1.0) <= combined:
        return max(fair, covered)
    return fair


def is_indivisible(burst, zones):
    """Return whether a burst is too small to be divided between zones.

    A zone with only a few tokens would refuse calls that the whole burst would admit.
    So one zone holds the whole burst, and the hosts of the others draw on it.
    """
    return burst < SMALL_BURST_PER_ZONE * max(1, zones)


def divide_evenly(state, burst, others):
    """Return the first entries of an organisation, in equal shares if its burst allows.

    This zone gets the whole if the burst is too small to be divided. Entries of other
    zones have epoch 0: their holders use them once they have written their own epoch.
    """
    others = () if is_indivisible(burst, len(others) + 1) else others
    part = TOTAL // (len(others) + 1)
    zones = {zone: {"share": part, "wants": 0, "epoch": 0} for zone in others}
    share = TOTAL - part * len(others)
    zones[state.zone] = {"share": share, "wants": 0, "epoch": state.epoch}
    return zones


def plan_write(state, settings, now, rate, burst, within, others=()):
    """Return the platform write to attempt now, or None.

    Parameters
    ----------
    state : ZoneShares
    settings : Settings
        Uses ``platform_timeout_s`` as the gap between attempts of the same write.
    now : float
    rate, burst : float
        The organisation's rate and burst.
    within : bool
        Whether the allocator and its hosts use no more than ``find_usable_share``; see
        ``allocator.fits_limits``.
    others : sequence of str
        Other zones that are known when the object is created.

    Returns
    -------
    tuple of (dict, int) or None
        New spec and expected version.

    Examples
    --------
    >>> state = ZoneShares("studio", "a", 1)
    >>> plan_write(state, None, 0.0, 100.0, 20.0, True)
    ({'zones': {'a': {'share': 1000, 'wants': 0, 'epoch': 1}}}, 0)
    """
    if state.pending_write:
        if now - state.written_at < settings.platform_timeout_s:
            return None
        state.written_at = now
        return state.pending_write
    if state.version == 0:
        return start_write(state, now, divide_evenly(state, burst, others))
    zones = plan_entries(state, now, rate, burst, within)
    if zones is None:
        return None
    return start_write(state, now, zones)


def start_write(state, now, zones):
    """Record a write as pending and return it with the expected version."""
    state.written_at = now
    state.pending_write = ({"zones": zones}, state.version)
    return state.pending_write


def copy_zones(state):
    """Return a copy of the entries for a new spec."""
    return {zone: dict(entry) for zone, entry in state.zones.items()}


def plan_entries(state, now, rate, burst, within):
    """Return the entries to write next, or None if nothing is to be written now."""
    zones = copy_zones(state)
    entry = zones.get(state.zone)
    if entry is None or entry["epoch"] != state.epoch:
        share = (entry or {}).get("share", 0)
        wants = 0 if share else round_up_demand(state.demand or 0.0)
        zones[state.zone] = {"share": share, "wants": wants, "epoch": state.epoch}
        return zones
    if state.pending_transfer:
        if not within:
            return None
        taker, amount = state.pending_transfer
        entry["share"] -= amount
        zones[taker]["share"] += amount
        if zones[taker]["share"] >= size_share(zones[taker]["wants"], rate):
            zones[taker]["wants"] = 0  # saves the taker a write
        return zones
    if state.demand is None:
        return None
    old = entry["wants"]
    entry["wants"] = compute_wants(state, rate, burst)
    gap = GROWTH_WRITE_GAP_S if entry["wants"] > 2 * old else WRITE_GAP_S
    if zones == state.zones or now - state.written_at < gap:
        return None
    return zones


def plan_reclaim(state, now, lost):
    """Return a write that moves the shares of lost zones to this zone, or None.

    Parameters
    ----------
    state : ZoneShares
    now : float
    lost : collection of str
        Zones for which ``zone_lease.is_abandoned`` holds.
    """
    entry = state.zones.get(state.zone)
    if state.pending_write or entry is None or entry["epoch"] != state.epoch:
        return None
    found = [z for z in lost if z != state.zone and get_share(state, z) > 0]
    if not found:
        return None
    zones = copy_zones(state)
    for zone in found:
        zones[state.zone]["share"] += zones[zone]["share"]
        zones[zone]["share"] = zones[zone]["wants"] = 0
    return start_write(state, now, zones)
