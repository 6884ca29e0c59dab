"""Single faults that last longer than leases, as schedules for `integration.faults`.

Most functions return a list of (seconds from the start, action). The load starts
with a warm-up of ``WARM_UP_S``; the fault begins at ``FAULT_AT_S``.
"""

import functools

from integration.meshes import write_organisation
from standins.mesh import (
    freeze_process,
    kill_process,
    read_state,
    resume_process,
    set_faults,
    set_link,
    start_process,
)

# Lasts several share leases, so that the allocators know the demand.
WARM_UP_S = 5.0
FAULT_AT_S = WARM_UP_S + 1.0
CHANGED_RATES = {"o1": (20, 20), "o4": (60, 60)}


def find_holder(mesh, zone):
    """Return the process name of the daemon that holds a zone's lease."""
    hosts = [name for name, host in mesh.hosts.items() if host["zone"] == zone]
    for host in hosts:
        state = read_state(mesh, host)
        if state and state["zone_lease"]["held"]:
            return f"daemon/{host}"
    raise RuntimeError(f"no host of zone {zone} holds its lease")


def interrupt_platform(mesh, length_s=9.0, at=FAULT_AT_S, **fault):
    """Make the platform refuse calls, or not answer, for several lease times.

    ``fault`` holds faults of the platform in place of an outage.
    """
    fault = fault or {"outage": True}
    undo = {name: 0.0 if name == "delay_s" else False for name in fault}
    return [
        (at, functools.partial(set_faults, mesh, **fault)),
        (at + length_s, functools.partial(set_faults, mesh, **undo)),
    ]


def act_on_holder(mesh, begin_action, end_action, length_s, at=FAULT_AT_S):
    """Return a schedule of two actions on the lease holder of zone a.

    The holder is looked up when the first action is due.
    """
    found = []

    def begin():
        found.append(find_holder(mesh, "a"))
        begin_action(mesh, found[0])

    return [(at, begin), (at + length_s, lambda: end_action(mesh, found[0]))]


def kill_holder(mesh, at=FAULT_AT_S):
    """Kill the lease holder of a zone and restart it after two zone lease times."""
    return act_on_holder(mesh, kill_process, start_process, 6.0, at)


def freeze_holder(mesh, at=FAULT_AT_S):
    """Pause the lease holder of a zone beyond its lease and the next take-over."""
    return act_on_holder(mesh, freeze_process, resume_process, 5.0, at)


def combine_with_outage(fault):
    """Return a function for the schedule of a fault 2 s into a platform outage."""

    def make_schedule(mesh):
        schedule = interrupt_platform(mesh, 5.0) + fault(mesh, FAULT_AT_S + 2.0)
        return sorted(schedule, key=lambda entry: entry[0])

    return make_schedule


def restart_all(mesh):
    """Kill all daemons, then restart all of them at once."""
    names = [f"daemon/{host}" for host in mesh.hosts]

    def restart():
        for name in names:
            kill_process(mesh, name)
        for name in names:
            start_process(mesh, name)

    return [(FAULT_AT_S, restart)]


def cut_zone(mesh, length_s=7.0):
    """Partition zone c from the other zones and from the platform."""
    links = [("c", target) for target in ("a", "b", "platform")]
    links += [(source, "c") for source in ("a", "b")]

    def set_all(mode):
        for source, target in links:
            set_link(mesh, source, target, mode=mode)

    return [
        (FAULT_AT_S, functools.partial(set_all, "freeze")),
        (FAULT_AT_S + length_s, functools.partial(set_all, "pass")),
    ]


def cut_host(mesh, length_s=18.0):
    """Partition a host that holds no lease from all daemons and the platform.

    The host keeps serving its callers, while its zone's lease holder grants its
    share to other hosts. Requires a mesh with links between hosts. A share that did
    not expire would admit about 2 calls/s, which exceeds the burst of 20 only after
    10 s.
    """
    found = []

    def set_all(mode):
        if not found:
            holder = find_holder(mesh, "a").partition("/")[2]
            zone = [name for name, host in mesh.hosts.items() if host["zone"] == "a"]
            found.append(next(name for name in zone if name != holder))
        for name in mesh.hosts:
            if name != found[0]:
                set_link(mesh, found[0], name, mode=mode)
        set_link(mesh, found[0], "platform", mode=mode)

    return [
        (FAULT_AT_S, functools.partial(set_all, "freeze")),
        (FAULT_AT_S + length_s, functools.partial(set_all, "pass")),
    ]


def change_rates(mesh):
    """Lower the rate of o1 and raise that of o4 under load."""
    return [
        (FAULT_AT_S, functools.partial(write_organisation, mesh, name, rate, burst))
        for name, (rate, burst) in CHANGED_RATES.items()
    ]
