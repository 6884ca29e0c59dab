"""Blocking HTTP calls to the control endpoints of a local mesh's processes."""

import http.client
import json

from standins.layout import port_of
from standins.records import read_executions


def call_json(port, method, path, body=None, timeout_s=5.0):
    """Return the status and the JSON body of a call, or (None, None) if it fails.

    A call fails if the port is unreachable, times out or returns no JSON. Proxy
    settings of the environment are ignored: the call connects to 127.0.0.1 directly.
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
    """Return the JSON body of a call; raise RuntimeError if its status is not 200."""
    status, answer = call_json(port, method, path, body)
    if status != 200:
        raise RuntimeError(
            f"{method} {path} on port {port} failed with status {status}: {answer}"
        )
    return answer


def read_state(mesh, host):
    """Return a daemon's ``GET /state`` document, or None if it is unavailable."""
    port = port_of(mesh, f"daemon/{host}", "operators")
    status, body = call_json(port, "GET", "/state")
    return body if status == 200 else None


def put_object(mesh, kind, name, spec):
    """Write an object to the platform, bypassing proxies; return its revision."""
    path = f"/objects/{kind}/{name}"
    return require_json(port_of(mesh, "platform", "http"), "PUT", path, spec)[
        "revision"
    ]


def set_faults(mesh, **changes):
    """Change the platform's faults and return all of them.

    The fields are those of `standins.platform.DEFAULT_FAULTS`.
    """
    port = port_of(mesh, "platform", "http")
    return require_json(port, "POST", "/stand-in/faults", changes)


def read_counts(mesh):
    """Return the platform's call counts by kind, and the number of waiting watches."""
    port = port_of(mesh, "platform", "http")
    return require_json(port, "GET", "/stand-in/counts")


def set_behaviour(mesh, host, **changes):
    """Change an upstream's behaviour and return all of its fields.

    The fields are those of `standins.upstream.DEFAULT_BEHAVIOUR`.
    """
    port = port_of(mesh, f"upstream/{host}", "http")
    return require_json(port, "POST", "/stand-in/behaviour", changes)


def read_records(mesh, host):
    """Return an upstream's counts, and its latest executions and request headers."""
    port = port_of(mesh, f"upstream/{host}", "http")
    return require_json(port, "GET", "/stand-in/records")


def set_link(mesh, source, target, **changes):
    """Change the faults of the connections from a zone or host to a target.

    Parameters
    ----------
    mesh : Mesh
        A mesh with proxies.
    source : str
        Zone or host that has the proxy, depending on ``links`` in the plan.
    target : str
        ``platform``, a zone or a host.
    **changes
        Fields of `standins.proxy.DEFAULT_FAULTS`; for example ``mode="cut"``.
    """
    names = [f"{name}/*" for name, host in mesh.hosts.items() if host["zone"] == target]
    if not names:
        names = [target if target == "platform" else f"{target}/*"]
    port = port_of(mesh, f"proxy/{source}", "")
    require_json(port, "POST", "/pairs", {"names": names, **changes})


def read_all_executions(mesh):
    """Return the executions of each upstream by host, read from their files.

    A host whose upstream has never been started is left out.
    """
    paths = {name: mesh.directory / f"executions-{name}.jsonl" for name in mesh.hosts}
    return {name: read_executions(p) for name, p in paths.items() if p.exists()}
