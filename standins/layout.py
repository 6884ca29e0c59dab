"""Layout of a local mesh: its hosts, ports and process commands."""

import json
import tempfile
from pathlib import Path

from egretlift.settings import name_variable
from standins.ports import PortBlocks, allocate_port
from standins.redirected import REDIRECTIONS_VARIABLE
from standins.serving import change_values

DAEMON_PORTS = ("caller", "upstream", "peer", "control", "operators")

# Fields of a plan and their default values.
# hosts: list of hosts with fields of DEFAULT_HOST.
# links: None for direct connections; "zones" for a proxy per zone that forwards its
#     connections to other zones and the platform; "hosts" for a proxy per host.
# settings: of all daemons, by name; a host's own settings take precedence.
# faults: initial faults of the platform, see standins.platform.DEFAULT_FAULTS.
# daemon: module of the daemon, with its arguments.
# directory: for logs and records; None creates a temporary one.
# secret: the mesh-secret setting of all daemons.
PLAN = {
    "hosts": [],
    "links": None,
    "settings": {},
    "faults": {},
    "daemon": ["egretlift.daemon"],
    "directory": None,
    "secret": "mesh secret for tests only",
}

# Fields of a host and their default values. upstream: options of standins.upstream,
# or None for a host without an upstream.
DEFAULT_HOST = {"name": None, "zone": None, "upstream": None, "settings": {}}


class Mesh:
    """Plan, ports and processes of one local mesh.

    Parameters
    ----------
    plan : dict
        Fields of ``PLAN``; missing fields take their defaults.
    """

    __slots__ = (
        "blocks",
        "commands",
        "directory",
        "frozen",
        "hosts",
        "plan",
        "ports",
        "processes",
    )

    def __init__(self, plan):
        self.plan = change_values(dict(PLAN), plan)
        hosts = [
            change_values(dict(DEFAULT_HOST), fields) for fields in self.plan["hosts"]
        ]
        self.hosts = {host["name"]: host for host in hosts}
        directory = self.plan["directory"] or tempfile.mkdtemp(prefix="mesh-")
        self.directory = Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.blocks = PortBlocks()
        # Allocated ports by (process name, use).
        self.ports = {}
        self.commands = {}
        self.processes = {}
        self.frozen = set()


def make_hosts(service, zones, **options):
    """Return the hosts of one service for a plan.

    Parameters
    ----------
    service : str
        Name of the service.
    zones : dict of str to int
        Number of hosts by zone.
    **options
        Options of each upstream, see `standins.upstream.DEFAULT_OPTIONS`.

    Examples
    --------
    >>> [host["name"] for host in make_hosts("lots", {"a": 2})]
    ['lots-a-1', 'lots-a-2']
    """
    return [
        {
            "name": f"{service}-{zone}-{number}",
            "zone": zone,
            "upstream": {"service": service, "seed": number, **options},
        }
        for zone, count in zones.items()
        for number in range(1, count + 1)
    ]


def find_proxy_group(mesh, host):
    """Return the zone or host name of the proxy for a host's outgoing connections.

    The result is None if the plan has no proxies.
    """
    links = mesh.plan["links"]
    return links and {"zones": host["zone"], "hosts": host["name"]}[links]


def port_of(mesh, process, use):
    """Return the port of a process for a use, allocated by the first call."""
    key = (process, use)
    if key not in mesh.ports:
        mesh.ports[key] = allocate_port(mesh.blocks)
    return mesh.ports[key]


def list_proxy_targets(mesh, group):
    """Return the (pair name, target port) tuples of a proxy.

    The targets are the platform and the peer and control ports of all hosts whose
    connections go through another proxy.
    """
    targets = [("platform", port_of(mesh, "platform", "http"))]
    for name, host in mesh.hosts.items():
        if find_proxy_group(mesh, host) != group:
            targets.extend(
                (f"{name}/{use}", port_of(mesh, f"daemon/{name}", use))
                for use in ("peer", "control")
            )
    return targets


def make_proxy_command(mesh, group):
    """Return the command and the environment of a proxy."""
    pairs = [
        {"name": name, "listen": port_of(mesh, f"proxy/{group}", name), "target": port}
        for name, port in list_proxy_targets(mesh, group)
    ]
    options = {"control_port": port_of(mesh, f"proxy/{group}", ""), "pairs": pairs}
    return ["standins.proxy", json.dumps(options)], {}


def list_seeds(mesh, name):
    """Return the ``seeds`` setting of a host.

    These are the control endpoints of the first two hosts of each zone, without the
    host itself.
    """
    zones = {}
    for other, host in mesh.hosts.items():
        zones.setdefault(host["zone"], []).append(other)
    seeds = [other for hosts in zones.values() for other in hosts[:2] if other != name]
    ports = (port_of(mesh, f"daemon/{other}", "control") for other in seeds)
    return ",".join(f"127.0.0.1:{port}" for port in ports)


def make_daemon_command(mesh, host):
    """Return the command and the environment of a daemon."""
    process, group = f"daemon/{host['name']}", find_proxy_group(mesh, host)
    platform_port = port_of(mesh, "platform", "http")
    command, environment = list(mesh.plan["daemon"]), {}
    if group:
        redirections = {
            f"127.0.0.1:{port}": port_of(mesh, f"proxy/{group}", name)
            for name, port in list_proxy_targets(mesh, group)
        }
        command = ["standins.redirected", *command]
        environment[REDIRECTIONS_VARIABLE] = json.dumps(redirections)
    settings = {
        "host": host["name"],
        "zone": host["zone"],
        "address": "127.0.0.1",
        "platform-url": f"http://127.0.0.1:{platform_port}",
        "mesh-secret": mesh.plan["secret"],
        "seeds": list_seeds(mesh, host["name"]),
        **{f"{use}-port": port_of(mesh, process, use) for use in DAEMON_PORTS},
        **mesh.plan["settings"],
        **host["settings"],
    }
    for name, value in settings.items():
        environment[name_variable(name.replace("_", "-"))] = str(value)
    return command, environment


def make_upstream_command(mesh, host):
    """Return the command and the environment of an upstream."""
    name = host["name"]
    options = {
        "port": port_of(mesh, f"upstream/{name}", "http"),
        "daemon_port": port_of(mesh, f"daemon/{name}", "upstream"),
        "records_path": str(mesh.directory / f"executions-{name}.jsonl"),
        **host["upstream"],
    }
    return ["standins.upstream", json.dumps(options)], {}


def make_commands(mesh):
    """Return the command and environment of each process, in starting order."""
    port, faults = port_of(mesh, "platform", "http"), json.dumps(mesh.plan["faults"])
    arguments = ["standins.platform", "--port", str(port), "--faults", faults]
    commands = {"platform": (arguments, {})}
    hosts = mesh.hosts.values()
    for group in dict.fromkeys(
        filter(None, (find_proxy_group(mesh, host) for host in hosts))
    ):
        commands[f"proxy/{group}"] = make_proxy_command(mesh, group)
    for host in hosts:
        commands[f"daemon/{host['name']}"] = make_daemon_command(mesh, host)
    for host in hosts:
        if host["upstream"] is not None:
            commands[f"upstream/{host['name']}"] = make_upstream_command(mesh, host)
    return commands


def list_callers(mesh, service=None):
    """Return the caller endpoints ("address:port") of a service's hosts, or of all."""
    return [
        f"127.0.0.1:{port_of(mesh, f'daemon/{name}', 'caller')}"
        for name, host in mesh.hosts.items()
        if service is None or (host["upstream"] or {}).get("service") == service
    ]
