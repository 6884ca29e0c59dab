"""Local meshes of daemons, upstreams, proxies and a platform, for tests.

::

    plan = {"hosts": make_hosts("scheduler", {"a": 2, "b": 1}), "links": "zones"}
    with run_mesh(plan) as mesh:
        wait_until_ready(mesh)
        set_link(mesh, "a", "b", mode="freeze")
        kill_process(mesh, "daemon/scheduler-a-1")

Processes are named ``platform``, ``daemon/HOST``, ``upstream/HOST`` and
``proxy/GROUP``, where the group is a zone or a host. Each has a log file in the
mesh's directory, where the upstreams also append their executions to
``executions-HOST.jsonl``.
"""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from standins.control import (
    call_json,
    put_object,
    read_all_executions,
    read_counts,
    read_records,
    read_state,
    set_behaviour,
    set_faults,
    set_link,
)
from standins.layout import Mesh, list_callers, make_commands, make_hosts, port_of
from standins.ports import release_ports

__all__ = [
    "check_running",
    "freeze_process",
    "is_running",
    "kill_process",
    "list_callers",
    "make_hosts",
    "port_of",
    "put_object",
    "read_all_executions",
    "read_counts",
    "read_log",
    "read_records",
    "read_state",
    "restart_process",
    "resume_process",
    "run_mesh",
    "set_behaviour",
    "set_faults",
    "set_link",
    "start_mesh",
    "start_process",
    "stop_mesh",
    "stop_processes",
    "wait_until_ready",
]

ROOT = Path(__file__).resolve().parent.parent


def log_path(mesh, name):
    """Return the path of a process's log file."""
    return mesh.directory / f"{name.replace('/', '-')}.log"


def start_process(mesh, name):
    """Start a process that is not running and append its output to its log."""
    arguments, extra_environment = mesh.commands[name]
    environment = {
        variable: value
        for variable, value in os.environ.items()
        if not variable.startswith(("EGRETLIFT_", "STANDINS_"))
    }
    with open(log_path(mesh, name), "ab") as log:
        mesh.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env={**environment, **extra_environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    # Lists the processes to end manually if the test process itself is killed.
    with open(mesh.directory / "processes.txt", "a") as file:
        file.write(f"{mesh.processes[name].pid} {name}\n")


def is_running(mesh, name):
    """Return whether a process has been started and has not ended."""
    process = mesh.processes.get(name)
    return process is not None and process.poll() is None


def kill_process(mesh, name):
    """Kill a process with SIGKILL and wait for its end."""
    mesh.processes[name].kill()
    mesh.processes[name].wait()
    mesh.frozen.discard(name)


def freeze_process(mesh, name):
    """Suspend a process with SIGSTOP."""
    mesh.processes[name].send_signal(signal.SIGSTOP)
    mesh.frozen.add(name)


def resume_process(mesh, name):
    """Resume a suspended process with SIGCONT."""
    mesh.processes[name].send_signal(signal.SIGCONT)
    mesh.frozen.discard(name)


def stop_processes(mesh, names, timeout_s=30.0):
    """Stop processes with SIGTERM and return their exit statuses by name.

    Suspended processes are resumed first. A process that does not end in time is
    killed, and its status is then -9.
    """
    names = [name for name in names if name in mesh.processes]
    for name in names:
        if is_running(mesh, name):
            if name in mesh.frozen:
                resume_process(mesh, name)
            mesh.processes[name].terminate()
    deadline = time.monotonic() + timeout_s
    for name in names:
        try:
            mesh.processes[name].wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            kill_process(mesh, name)
    return {name: mesh.processes[name].returncode for name in names}


def restart_process(mesh, name, timeout_s=30.0):
    """Stop a process gracefully if it is running, and start it again."""
    stop_processes(mesh, [name], timeout_s)
    start_process(mesh, name)


def wait_for(condition, timeout_s, describe):
    """Poll a condition until it holds, or raise TimeoutError.

    ``describe`` returns the beginning of the error message.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"{describe()} after {timeout_s:g} s; see the logs of the mesh"
            )
        time.sleep(0.05)


def read_log(mesh, name, lines=15):
    """Return the last lines of a process's log as one text."""
    text = log_path(mesh, name).read_text(errors="replace")
    return "\n".join(text.splitlines()[-lines:])


def check_running(mesh):
    """Raise RuntimeError if a process has ended by itself, with the end of its log."""
    for name, process in mesh.processes.items():
        # A negative status means that a signal such as that of kill_process ended it.
        if process.poll() is not None and process.returncode >= 0:
            log = read_log(mesh, name)
            raise RuntimeError(f"{name} ended with {process.returncode}:\n{log}")


def start_mesh(plan):
    """Start all processes of a plan and return the mesh.

    The plan has the fields of `standins.layout.PLAN`. If starting fails,
    all processes are stopped and the error is raised.
    """
    mesh = Mesh(plan)
    mesh.commands = make_commands(mesh)
    servers = [name for name in mesh.commands if name.startswith(("platform", "proxy"))]
    try:
        for name in servers:
            start_process(mesh, name)
        for name in servers:
            wait_for_server(mesh, name)
        for name in mesh.commands:
            if name not in mesh.processes:
                start_process(mesh, name)
    except BaseException:
        stop_mesh(mesh, timeout_s=1.0)
        raise
    return mesh


def wait_for_server(mesh, name, timeout_s=10.0):
    """Wait until the platform or a proxy answers on its control endpoint."""
    use, path = ("http", "/stand-in/counts") if name == "platform" else ("", "/pairs")
    port = port_of(mesh, name, use)

    def is_answering():
        check_running(mesh)
        return call_json(port, "GET", path)[0] == 200

    wait_for(is_answering, timeout_s, lambda: f"{name} does not answer")


def stop_mesh(mesh, timeout_s=30.0):
    """Stop all processes gracefully, upstreams first; return the exit statuses."""
    statuses = {}
    for kind in ("upstream", "daemon", "proxy", "platform"):
        names = [name for name in mesh.processes if name.startswith(kind)]
        statuses.update(stop_processes(mesh, names, timeout_s))
    release_ports(mesh.blocks)
    return statuses


@contextlib.contextmanager
def run_mesh(plan):
    """Return a context manager that starts a mesh and stops it at the end."""
    mesh = start_mesh(plan)
    try:
        yield mesh
    finally:
        stop_mesh(mesh)


def describe_missing(mesh, host, names, revision):
    """Return a text on why a daemon is not ready, or None if it is ready."""
    state = read_state(mesh, host)
    if state is None:
        return "does not answer"
    if mesh.hosts[host]["upstream"] is not None and not state.get("service"):
        return "has no service"
    alive = {
        member["host"]
        for member in state.get("members", ())
        if member.get("status", "alive") == "alive"
    }
    # A daemon's member table need not contain the daemon itself.
    missing = names - alive - {host}
    if missing:
        return f"does not know {', '.join(sorted(missing))}"
    known = state.get("configuration", {}).get("revision") or 0
    return f"has revision {known}" if known < revision else None


def wait_until_ready(mesh, timeout_s=30.0, hosts=None, revision=0):
    """Wait until daemons have a service and know each other.

    Parameters
    ----------
    mesh : Mesh
        A started mesh.
    timeout_s : float
        Time limit in seconds, after which TimeoutError is raised with the reason for
        each host.
    hosts : iterable of str, optional
        Hosts to wait for; default: those whose daemons run and are not suspended.
    revision : int
        Minimum configuration revision of each daemon.
    """
    names = set(hosts or ())
    if hosts is None:
        names = {
            host
            for host in mesh.hosts
            if is_running(mesh, f"daemon/{host}")
            and f"daemon/{host}" not in mesh.frozen
        }
    missing_by_host = {}

    def ready():
        check_running(mesh)
        found = {host: describe_missing(mesh, host, names, revision) for host in names}
        missing_by_host.clear()
        missing_by_host.update(
            (host, what) for host, what in sorted(found.items()) if what
        )
        return not missing_by_host

    wait_for(ready, timeout_s, lambda: f"daemons are not ready: {missing_by_host}")
