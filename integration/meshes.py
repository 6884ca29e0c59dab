"""Plans of meshes and loads, profiles and organisations for the tests."""

import hashlib
import time

from standins.mesh import (
    list_callers,
    make_hosts,
    put_object,
    run_mesh,
    wait_until_ready,
)

PROFILES = {
    "booking": {"priority": "critical", "at_most_once": True, "timeout_ms": 3000},
    "browsing": {"priority": "interactive", "idempotent": True, "timeout_ms": 3000},
    "upload": {"priority": "background", "timeout_ms": 20000},
    "public": {"priority": "interactive", "idempotent": True, "open_to_all": True},
}
ROUTES = [
    {"method": "POST", "prefix": "/bookings", "profile": "booking"},
    {"method": "POST", "prefix": "/uploads", "profile": "upload"},
    {"method": "*", "prefix": "/open", "profile": "public"},
    {"method": "*", "prefix": "/", "profile": "browsing"},
]


def make_key(organisation):
    """Return the key of an organisation, the same in every run."""
    return f"{organisation}.{hashlib.sha256(organisation.encode()).hexdigest()}"


def write_organisation(mesh, name, rate, burst):
    """Write an organisation and its key; return the revision of the last write."""
    put_object(mesh, "organisation", name, {"rate": rate, "burst": burst})
    digest = hashlib.sha256(make_key(name).encode()).hexdigest()
    return put_object(mesh, "key", digest, {"organisation": name})


def prepare_mesh(mesh, organisations):
    """Write profiles and organisations and wait until they are in force.

    Parameters
    ----------
    organisations : dict of str to (float, float)
        Rate and burst by name.
    """
    revision = 0
    for name, spec in PROFILES.items():
        revision = put_object(mesh, "profile", name, spec)
    for name, (rate, burst) in organisations.items():
        revision = write_organisation(mesh, name, rate, burst)
    wait_until_ready(mesh, revision=revision)


def make_plan(zones, service="checkout", **options):
    """Return the plan of a mesh of one service with links between zones.

    Parameters
    ----------
    zones : dict of str to int
        Number of hosts by zone.
    service : str
    **options
        Further entries of the plan, such as ``settings``.
    """
    upstream = {"routes": ROUTES, "behaviour": {"service_s": 0.01}}
    return {
        "hosts": make_hosts(service, zones, **upstream),
        "links": "zones",
        **options,
    }


def make_load(mesh, organisations, routes, service="checkout", **options):
    """Return the plan of a load on all hosts of a service.

    Parameters
    ----------
    mesh : Mesh
    organisations : dict of str to float
        Share of the requests by name.
    routes : list of dict
    service : str
    **options
        Further entries of the plan, such as ``rate`` and ``phases``.
    """
    rows = []
    for name, share in organisations.items():
        rows.append({"name": name, "key": make_key(name), "share": share})
    return {
        "targets": {service: list_callers(mesh, service)},
        "organisations": rows,
        "routes": [{"service": service, **route} for route in routes],
        **options,
    }


def wait_for(condition, timeout_s, description):
    """Poll a condition until it holds.

    Raises
    ------
    TimeoutError
        If it does not hold in time; the text starts with ``description``.
    """
    limit = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(f"{description} after {timeout_s:g} s")
        time.sleep(0.02)


__all__ = [
    "PROFILES",
    "ROUTES",
    "make_key",
    "make_load",
    "make_plan",
    "prepare_mesh",
    "run_mesh",
    "wait_for",
    "write_organisation",
]
