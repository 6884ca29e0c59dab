"""Blocking calls to the control endpoints of the processes of a local mesh."""

import http.client
import json

from standins.layout import port_of
from standins.records import read_executions


def call_json(port, method, path, body=None, timeout_s=5.0):
    """Return the status and the JSON body of a call; (None, None) without an answer.

    The connection goes to 127.0.0.1 directly, whatever proxy the environment names.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError):
        return None, None
    finally:
        connection.close()


def require_json(port, method, path, body=None):
    """Return the JSON body of a call, or raise RuntimeError if it fails."""
    status, answer = call_json(port, method, path, body)
    if status != 200:
        raise RuntimeError(f"{method} {path} on port {port}: {status} {answer}")
    return answer


def read_state(mesh, host):
    """Return the answer of a daemon's ``GET /state``, or None."""
    port = port_of(mesh, f"daemon/{host}", "operators")
    status, body = call_json(port, "GET", "/state")
    return body if status == 200 else None


def put_object(mesh, kind, name, spec):
    """Write an object to the platform, not through proxies; return its revision."""
    path = f"/objects/{kind}/{name}"
    return require_json(port_of(mesh, "platform", "http"), "PUT", path, spec)[
        "revision"
    ]


def set_faults(mesh, **changes):
    """Change the platform's faults, see `standins.platform.FAULTS`."""
    port = port_of(mesh, "platform", "http")
    return require_json(port, "POST", "/stand-in/faults", changes)


def read_counts(mesh):
    """Return the platform's counts of calls."""
    port = port_of(mesh, "platform", "http")
    return require_json(port, "GET", "/stand-in/counts")


def set_behaviour(mesh, host, **changes):
    """Change an upstream's behaviour, see `standins.upstream.BEHAVIOUR`."""
    port = port_of(mesh, f"upstream/{host}", "http")
    return require_json(port, "POST", "/stand-in/behaviour", changes)


def read_records(mesh, host):
    """Return an upstream's counts, records and headers of the last requests."""
    port = port_of(mesh, f"upstream/{host}", "http")
    return require_json(port, "GET", "/stand-in/records")


def set_link(mesh, source, target, **changes):
    """Change the faults of the links from a group to a target.

    Parameters
    ----------
    mesh : Mesh
        A mesh with proxies.
    source : str
        Zone or host, as given by ``links`` in the plan.
    target : str
        ``platform``, a zone or a host.
    **changes
        Fields of `standins.proxy.FAULTS`; for example ``mode="cut"``.
    """
    names = [f"{name}/*" for name, host in mesh.hosts.items() if host["zone"] == target]
    if not names:
        names = [target if target == "platform" else f"{target}/*"]
    port = port_of(mesh, f"proxy/{source}", "")
    require_json(port, "POST", "/pairs", {"names": names, **changes})


def read_all_executions(mesh):
    """Return the executions of all upstreams, from their files, by host."""
    paths = {name: mesh.directory / f"executions-{name}.jsonl" for name in mesh.hosts}
    return {name: read_executions(p) for name, p in paths.items() if p.exists()}
