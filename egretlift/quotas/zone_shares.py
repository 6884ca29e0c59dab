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
HEADROOM = 1.25  # a zone wants more when its demand exceeds its share by this
STEP = 1.5  # factor between values of ``wants``
FAIR_STEP = 50  # smallest transfer between zones that both lack rate
SPARE_STEP = 10  # smallest transfer of spare rate
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
    giving : tuple of (str, int) or None
        Zone and thousandths of a transfer that the allocator is giving up.
    unsettled : tuple of (dict, int) or None
        Spec and expected version of a write whose effect is not known.
    """

    __slots__ = (
        "epoch",
        "giving",
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


def round_wants(demand):
    """Return a demand rounded up to a power of ``STEP``, so that it rarely changes.

    Examples
    --------
    >>> round_wants(20.0), round_wants(22.0), round_wants(0.0)
    (25.63, 25.63, 0)
    """
    if demand < 0.01:
        return 0
    return round(STEP ** math.ceil(math.log(demand, STEP)), 2)


def needed_share(demand, rate):
    """Return the thousandths that cover a demand with headroom."""
    return WHOLE if rate <= 0 else math.ceil(WHOLE * HEADROOM * demand / rate)


def smallest_share(burst):
    """Return the smallest useful share: the one with a burst of one call."""
    return min(WHOLE, math.ceil(WHOLE / burst)) if burst > 0 else WHOLE


def next_wants(state, demand, rate, burst):
    """Return the ``wants`` of the own zone: a rounded demand or 0 if covered."""
    entry = state.zones[state.zone]
    old, share = entry["wants"], entry["share"]
    if demand < 0.01:
        return 0
    useful = share >= smallest_share(burst)
    # The value is kept until demand is well below it, so that a demand near a step
    # or near the share causes no writes.
    if needed_share(demand, rate) > share or not useful:
        if old >= demand > old / (STEP * STEP):
            return old
        return round_wants(demand)
    return old if old and needed_share(demand, rate) * STEP > share else 0


def plan_transfer(state, demand, rate, burst):
    """Decide on the next transfer and set ``state.giving``.

    The taker is the zone that lacks most. Spare rate is given generously; if both
    lack rate, the sum of both shares is divided by demand. The caller then resizes
    its allocator to ``usable_share``.

    Parameters
    ----------
    state : ZoneShares
    demand : float
        Demand of the own zone in calls/s.
    rate, burst : float
        The organisation's rate and burst.

    Returns
    -------
    tuple of (str, int) or None
        Taker and thousandths.
    """
    if state.giving or state.unsettled or not usable_share(state) or rate <= 0:
        return state.giving
    lacks = {
        zone: max(needed_share(entry["wants"], rate), smallest_share(burst))
        - entry["share"]
        for zone, entry in state.zones.items()
        if zone != state.zone and entry["wants"] > 0
    }
    taker = max(lacks, key=lacks.get, default=None)
    if taker is None or lacks[taker] <= 0:
        return None
    amount = transfer_amount(state, taker, lacks[taker], demand, rate, burst)
    if amount:
        state.giving = (taker, amount)
    return state.giving


def transfer_amount(state, taker, lack, demand, rate, burst):
    """Return the thousandths to give to a taker, 0 if too few to be worth it."""
    share, smallest = seen_share(state), smallest_share(burst)
    keep = max(needed_share(demand, rate), KEEP, smallest)
    if demand < 0.01 and smallest > KEEP:
        keep = 0
    wants = state.zones[taker]["wants"]
    both = share + seen_share(state, taker)
    # Both demands are rounded alike; otherwise two equal zones would pass rate to
    # and fro.
    own = state.zones[state.zone]["wants"] or round_wants(demand)
    fair = math.floor(both * own / (own + wants))
    if fair < smallest:
        # A zone with demand is not left without a whole token of burst.
        fair = smallest if demand >= 0.01 else 0
    spare = min(share - keep, math.ceil(lack * STEP))
    if spare >= max(SPARE_STEP, smallest - seen_share(state, taker)):
        return spare
    amount = min(share - fair, lack)
    reaches = seen_share(state, taker) + amount >= smallest
    return amount if amount >= FAIR_STEP and reaches else 0


def plan_write(state, settings, now, demand, rate, burst, within):
    """Return the platform write to attempt now, or None.

    Parameters
    ----------
    state : ZoneShares
    settings : Settings
        Uses ``platform_timeout_s`` as the gap between tries of the same write.
    now : float
    demand : float
        Demand of the own zone in calls/s, refusals included.
    rate, burst : float
        The organisation's rate and burst.
    within : bool
        Whether the allocator, its hosts included, is within ``usable_share``; see
        ``allocator.is_within``.

    Returns
    -------
    tuple of (dict, int) or None
        New spec and expected version.

    Examples
    --------
    >>> state = ZoneShares("studio", "a", 1)
    >>> plan_write(state, None, 0.0, 5.0, 100.0, 20.0, True)
    ({'zones': {'a': {'share': 1000, 'wants': 0, 'epoch': 1}}}, 0)
    """
    if state.unsettled:
        if now - state.written_at < settings.platform_timeout_s:
            return None
        state.written_at = now
        return state.unsettled
    zones = next_zones(state, now, demand, rate, burst, within)
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


def next_zones(state, now, demand, rate, burst, within):
    """Return the entries to write next, or None if they need no change."""
    zones = copy_zones(state)
    entry = zones.get(state.zone)
    if entry is None or entry["epoch"] != state.epoch:
        share = WHOLE if state.version == 0 else (entry or {}).get("share", 0)
        wants = 0 if share else round_wants(demand)
        zones[state.zone] = {"share": share, "wants": wants, "epoch": state.epoch}
        return zones
    if state.giving:
        if not within:
            return None
        taker, amount = state.giving
        entry["share"] -= amount
        zones[taker]["share"] += amount
        return zones
    entry["wants"] = next_wants(state, demand, rate, burst)
    if zones == state.zones or now - state.written_at < WRITE_GAP_S:
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
