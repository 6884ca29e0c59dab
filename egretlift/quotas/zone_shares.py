"""Fractions by zone of an organisation's rate and burst, in thousandths.

The platform object maps every zone to its ``share``, to the demand in calls/s it
``wants`` to cover, 0 if its share suffices, and to the ``epoch`` of the zone lease
whose holder wrote the entry last. Only the holder of a zone lowers its share.

A new holder first writes its epoch into the entry and uses the share only after
it has seen that entry: a delayed transfer by the previous holder then fails on its
expected version and cannot give away what the new holder uses.

A planned write is unsettled until a higher version of the object is seen; as long
as that is so the smaller value counts and ``plan_write`` returns the same write.
"""

import math

WHOLE = 1000
WRITE_GAP_S = 1.5  # shortest time between two different writes of a zone
HEADROOM = 1.25  # share per demand that a giver keeps and a taker is given
MARGIN = 1.1  # a zone wants more when its share per demand is below this
GROWTH_GAP_S = 0.5  # the same for wants that more than doubled
STEP = 1.25  # factor between values of ``wants``
GENEROSITY = 1.5  # given per lack while there is spare rate; a moved demand still grows
DEMAND_PERIOD_S = 20.0  # average of the demand while it changes by chance only
MOVE_S = 5.0  # time after a large change in which demand is not averaged
DEMAND_CALLS = 100  # average over at least so many calls; fewer vary by over 7%
FAIR_STEP = 50  # smallest transfer between zones that both lack rate
SPARE_STEP = 20  # smallest transfer of spare rate
SMALL_BURST = 5.0  # calls per zone below which a burst is not divided
KEEP = 20  # what a zone without demand keeps for its first calls


class ZoneShares:
    """View of the holder of one zone on an organisation's zone shares.

    Parameters
    ----------
    organisation : str
    zone : str
        The holder's own zone.
    epoch : int
        Epoch of the zone lease under which this state was made; a new epoch needs a
        new state.

    Attributes
    ----------
    zones : dict of str to dict
        Entry of each zone as seen last.
    demand : float or None
        Demand of the own zone in calls/s without its random part, see
        ``record_demand``; None until it is known.
    giving : tuple of (str, int) or None
        Zone and thousandths of a transfer that the allocator is giving up.
    unsettled : tuple of (dict, int) or None
        Spec and expected version of a write whose effect is not known.
    """

    __slots__ = (
        "demand",
        "demand_at",
        "epoch",
        "giving",
        "moved_at",
        "organisation",
        "unsettled",
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
        self.moved_at = -math.inf
        self.giving = None
        self.unsettled = None
        self.written_at = -math.inf


def observe_shares(state, version, spec):
    """Take over a version that was read, watched, written or in a conflict.

    Older versions are ignored. A transfer that lost against another zone's write
    stays given up and is tried again as long as its taker wants rate.
    """
    if version <= state.version:
        return
    before = seen_share(state)
    if state.unsettled and version > state.unsettled[1]:
        if spec == state.unsettled[0]:
            state.giving = None
        state.unsettled = None
    state.version = version
    state.zones = {zone: dict(entry) for zone, entry in spec["zones"].items()}
    if state.giving:
        taker, amount = state.giving
        wanted = state.zones.get(taker, {}).get("wants", 0) > 0
        if not wanted or seen_share(state) < max(before, amount):
            state.giving = None


def seen_share(state, zone=None):
    """Return the share of a zone in the version seen last."""
    return state.zones.get(zone or state.zone, {}).get("share", 0)


def usable_share(state):
    """Return the thousandths that the own zone may use now.

    Examples
    --------
    >>> state = ZoneShares("studio", "a", 3)
    >>> entry = {"share": 400, "wants": 0, "epoch": 3}
    >>> observe_shares(state, 8, {"zones": {"a": entry}})
    >>> usable_share(state)
    400
    """
    entry = state.zones.get(state.zone)
    if entry is None or entry["epoch"] != state.epoch:
        return 0
    share = entry["share"]
    if state.unsettled:
        share = min(share, state.unsettled[0]["zones"][state.zone]["share"])
    if state.giving:
        share = min(share, entry["share"] - state.giving[1])
    return max(0, share)


def zone_part(thousandths, rate, burst):
    """Return rate and burst of a zone.

    Examples
    --------
    >>> zone_part(250, 100.0, 20.0)
    (25.0, 5.0)
    """
    return rate * thousandths / WHOLE, burst * thousandths / WHOLE


def record_demand(state, now, demand):
    """Record the demand of the own zone, None while it is not known.

    The sum of the hosts' averages varies by chance with a standard deviation of
    about sqrt(demand / 2). Changes within four of them are averaged; after a larger
    one the demand is on the move and is taken over as it is for a while.

    Parameters
    ----------
    state : ZoneShares
    now : float
    demand : float or None
        Calls/s, refusals included; see ``allocator.zone_demand``.
    """
    elapsed, state.demand_at = max(0.0, now - state.demand_at), now
    known = state.demand
    state.demand = demand
    if demand is None or known is None:
        return
    highest = max(demand, known, 0.01)
    if abs(demand - known) > 4 * math.sqrt(highest / 2):
        state.moved_at = now
    if now - state.moved_at > MOVE_S:
        period = max(DEMAND_PERIOD_S, DEMAND_CALLS / highest)
        part = 1 - math.exp(-elapsed / period)
        state.demand = known + (demand - known) * part


def round_wants(demand):
    """Return a demand rounded up to a power of ``STEP``, so that it rarely changes.

    Examples
    --------
    >>> round_wants(20.0), round_wants(22.0), round_wants(0.0)
    (22.74, 22.74, 0)
    """
    if demand < 0.01:
        return 0
    return round(STEP ** math.ceil(math.log(demand, STEP)), 2)


def needed_share(demand, rate, headroom=HEADROOM):
    """Return the thousandths that cover a demand with headroom."""
    return WHOLE if rate <= 0 else math.ceil(WHOLE * headroom * demand / rate)


def smallest_share(burst):
    """Return the smallest useful share: the one with a burst of one call."""
    return min(WHOLE, math.ceil(WHOLE / burst)) if burst > 0 else WHOLE


def next_wants(state, rate, burst):
    """Return the ``wants`` of the own zone: a rounded demand or 0 if covered."""
    entry, demand = state.zones[state.zone], state.demand
    old, share = entry["wants"], entry["share"]
    if demand < 0.01:
        return 0
    # The value is kept until demand is well below it, so that a demand near a step
    # or near the share causes no writes.
    if needed_share(demand, rate, MARGIN) > share or share < smallest_share(burst):
        return old if old >= demand > old / STEP**2 else round_wants(demand)
    return old if old and needed_share(demand, rate) > share else 0


def plan_transfer(state, now, rate, burst):
    """Decide on the next transfer and set ``state.giving``.

    The taker is the zone that lacks most. Spare rate is given generously; if both
    lack rate, the sum of both shares is divided by demand. The caller then resizes
    its allocator to ``usable_share``.

    Parameters
    ----------
    state : ZoneShares
    now : float
    rate, burst : float
        The organisation's rate and burst.

    Returns
    -------
    tuple of (str, int) or None
        Taker and thousandths.
    """
    if state.giving or state.unsettled or state.demand is None:
        return state.giving
    if now - state.written_at < WRITE_GAP_S or not usable_share(state) or rate <= 0:
        return None
    lacks = {
        zone: max(needed_share(entry["wants"], rate), smallest_share(burst))
        - entry["share"]
        for zone, entry in state.zones.items()
        if zone != state.zone and entry["wants"] > 0
    }
    taker = max(lacks, key=lacks.get, default=None)
    if taker is None or lacks[taker] <= 0:
        return None
    amount = transfer_amount(state, taker, lacks[taker], rate, burst)
    if amount:
        state.giving = (taker, amount)
    return state.giving


def transfer_amount(state, taker, lack, rate, burst):
    """Return the thousandths to give to a taker, 0 if too few to be worth it."""
    share, smallest = seen_share(state), smallest_share(burst)
    least = smallest if state.demand >= 0.01 or smallest <= KEEP else 0
    missing = max(0, smallest - seen_share(state, taker))
    spare = share - max(needed_share(state.demand, rate), min(KEEP, least), least)
    spare = min(spare, math.ceil(lack * GENEROSITY))
    if spare >= max(SPARE_STEP, missing):
        return spare
    amount = min(share - max(fair_share(state, taker, rate), least), lack)
    return amount if amount >= max(FAIR_STEP, missing) else 0


def fair_share(state, taker, rate):
    """Return what the own zone keeps if both zones lack rate.

    Both demands are rounded alike; otherwise two equal zones would pass rate to
    and fro. What covers the own demand is kept if it also leaves the taker enough.
    """
    wants = state.zones[taker]["wants"]
    own = max(state.zones[state.zone]["wants"], round_wants(state.demand))
    both = seen_share(state) + seen_share(state, taker)
    fair = round(both * own / (own + wants))
    covered = needed_share(state.demand, rate, MARGIN)
    if covered + needed_share(wants, rate, 1.0) <= both:
        return max(fair, covered)
    return fair


def is_small(burst, zones):
    """Return whether a burst is too small to be divided between zones.

    A zone with a few tokens refuses calls that the whole burst would let pass; the
    hosts of the other zones then draw on the one zone that holds everything.
    """
    return burst < SMALL_BURST * max(1, zones)


def divide_whole(state, burst, others):
    """Return the first entries of an organisation, divided evenly if it is large.

    Entries of other zones have epoch 0: their holders use them after they have
    written their own epoch.
    """
    others = () if is_small(burst, len(others) + 1) else others
    part = WHOLE // (len(others) + 1)
    zones = {zone: {"share": part, "wants": 0, "epoch": 0} for zone in others}
    share = WHOLE - part * len(others)
    zones[state.zone] = {"share": share, "wants": 0, "epoch": state.epoch}
    return zones


def plan_write(state, settings, now, rate, burst, within, others=()):
    """Return the platform write to attempt now, or None.

    Parameters
    ----------
    state : ZoneShares
    settings : Settings
        Uses ``platform_timeout_s`` as the gap between tries of the same write.
    now : float
    rate, burst : float
        The organisation's rate and burst.
    within : bool
        Whether the allocator, its hosts included, is within ``usable_share``; see
        ``allocator.is_within``.
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
    if state.unsettled:
        if now - state.written_at < settings.platform_timeout_s:
            return None
        state.written_at = now
        return state.unsettled
    if state.version == 0:
        return start_write(state, now, divide_whole(state, burst, others))
    zones = next_zones(state, now, rate, burst, within)
    if zones is None:
        return None
    return start_write(state, now, zones)


def start_write(state, now, zones):
    """Note a write as unsettled and return it."""
    state.written_at = now
    state.unsettled = ({"zones": zones}, state.version)
    return state.unsettled


def copy_zones(state):
    """Return a copy of the entries for a new spec."""
    return {zone: dict(entry) for zone, entry in state.zones.items()}


def next_zones(state, now, rate, burst, within):
    """Return the entries to write next, or None if they need no change."""
    zones = copy_zones(state)
    entry = zones.get(state.zone)
    if entry is None or entry["epoch"] != state.epoch:
        share = (entry or {}).get("share", 0)
        wants = 0 if share else round_wants(state.demand or 0.0)
        zones[state.zone] = {"share": share, "wants": wants, "epoch": state.epoch}
        return zones
    if state.giving:
        if not within:
            return None
        taker, amount = state.giving
        entry["share"] -= amount
        zones[taker]["share"] += amount
        if zones[taker]["share"] >= needed_share(zones[taker]["wants"], rate):
            zones[taker]["wants"] = 0  # saves the taker a write
        return zones
    if state.demand is None:
        return None
    old = entry["wants"]
    entry["wants"] = next_wants(state, rate, burst)
    gap = GROWTH_GAP_S if entry["wants"] > 2 * old else WRITE_GAP_S
    if zones == state.zones or now - state.written_at < gap:
        return None
    return zones


def plan_reclaim(state, now, lost):
    """Return a write that moves the shares of lost zones to the own zone, or None.

    Parameters
    ----------
    state : ZoneShares
    now : float
    lost : collection of str
        Zones for which ``zone_lease.is_lost`` holds.
    """
    entry = state.zones.get(state.zone)
    if state.unsettled or entry is None or entry["epoch"] != state.epoch:
        return None
    found = [z for z in lost if z != state.zone and seen_share(state, z) > 0]
    if not found:
        return None
    zones = copy_zones(state)
    for zone in found:
        zones[state.zone]["share"] += zones[zone]["share"]
        zones[zone]["share"] = zones[zone]["wants"] = 0
    return start_write(state, now, zones)
