"""Single faults that outlast leases, as schedules for `integration.faults`.

Each function returns a list of (seconds from the start, action). The load starts
with a warm-up of ``WARM_S``; the fault begins at ``FAULT_AT_S``.
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

# Several host leases, so that the allocators know the demand.
WARM_S = 5.0
FAULT_AT_S = WARM_S + 1.0
CHANGED_RATES = {"o1": (20, 20), "o4": (60, 60)}


def find_holder(mesh, zone):
    """Return the process of the daemon that holds a zone's lease."""
    hosts = [name for name, host in mesh.hosts.items() if host["zone"] == zone]
    for host in hosts:
        state = read_state(mesh, host)
        if state and state["zone_lease"]["held"]:
            return f"daemon/{host}"
    raise RuntimeError(f"no host of zone {zone} holds its lease")


def outage(mesh, length_s=9.0, at=FAULT_AT_S, **fault):
    """Let the platform refuse, or not answer, for several leases."""
    fault = fault or {"outage": True}
    heal = {name: 0.0 if name == "delay_s" else False for name in fault}
    return [
        (at, functools.partial(set_faults, mesh, **fault)),
        (at + length_s, functools.partial(set_faults, mesh, **heal)),
    ]


def on_holder(mesh, first, last, length_s, at=FAULT_AT_S):
    """Carry out two actions on the holder of zone a."""
    found = []

    def begin():
        found.append(find_holder(mesh, "a"))
        first(mesh, found[0])

    return [(at, begin), (at + length_s, lambda: last(mesh, found[0]))]


def kill_holder(mesh, at=FAULT_AT_S):
    """Kill the holder of a zone and start it again after two zone leases."""
    return on_holder(mesh, kill_process, start_process, 6.0, at)


def freeze_holder(mesh, at=FAULT_AT_S):
    """Pause the holder of a zone past its lease and the next take-over."""
    return on_holder(mesh, freeze_process, resume_process, 5.0, at)


def in_outage(fault):
    """Return a scenario with a fault two seconds into a platform outage."""

    def both(mesh):
        schedule = outage(mesh, 5.0) + fault(mesh, FAULT_AT_S + 2.0)
        return sorted(schedule, key=lambda entry: entry[0])

    return both


def restart_all(mesh):
    """Kill every daemon and start all again at once."""
    names = [f"daemon/{host}" for host in mesh.hosts]

    def restart():
        for name in names:
            kill_process(mesh, name)
        for name in names:
            start_process(mesh, name)

    return [(FAULT_AT_S, restart)]


def cut_zone(mesh, length_s=7.0):
    """Cut zone c off from the other zones and from the platform."""
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
    """Cut a host that holds no lease off from all daemons and the platform.

    It goes on with its callers, while its zone's holder grants its share to others.
    Needs links of hosts. What a share without expiry would let pass, about 2
    calls/s, exceeds the burst of 20 only after 10 s.
    """
    found = []

    def set_all(mode):
        if not found:
            held = find_holder(mesh, "a").partition("/")[2]
            zone = [name for name, host in mesh.hosts.items() if host["zone"] == "a"]
            found.append(next(name for name in zone if name != held))
        for name in mesh.hosts:
            if name != found[0]:
                set_link(mesh, found[0], name, mode=mode)
        set_link(mesh, found[0], "platform", mode=mode)

    return [
        (FAULT_AT_S, functools.partial(set_all, "freeze")),
        (FAULT_AT_S + length_s, functools.partial(set_all, "pass")),
    ]


def change_rates(mesh):
    """Lower the rate of o1 and raise that of o4 while calls run."""
    return [
        (FAULT_AT_S, functools.partial(write_organisation, mesh, name, rate, burst))
        for name, (rate, burst) in CHANGED_RATES.items()
    ]
