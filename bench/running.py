"""Run load generators as processes, and the ``egretlift`` command line."""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from standins.mesh import ROOT, port_of

MAX_PARALLEL_COMMANDS = 6


def start_load(mesh, plan):
    """Start a load generator and return (process, path of its records).

    Plan, records and log are files ``load-NAME`` in the directory of the mesh, where
    ``NAME`` is the name of the plan.
    """
    name = plan["name"]
    records = mesh.directory / f"load-{name}.jsonl"
    path = mesh.directory / f"load-{name}.json"
    path.write_text(json.dumps({**plan, "records_path": str(records)}))
    with open(mesh.directory / f"load-{name}.log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "standins.load", str(path)],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
        )
    return process, records


def finish_load(process, timeout_s):
    """Wait for a load generator and return the totals that it printed.

    A load generator that is still running after ``timeout_s`` is killed.

    Raises
    ------
    RuntimeError
        If the load generator failed or did not end in time.
    """
    try:
        output, _ = process.communicate(timeout=timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise RuntimeError(
            f"the load generator did not end within {timeout_s:g} s;"
            " see load-*.log in the directory of the mesh"
        ) from None
    if process.returncode:
        raise RuntimeError(
            "the load generator (log: load-*.log in the directory of the mesh)"
            f" ended with status {process.returncode}"
        )
    return json.loads(output)


def run_command(mesh, *arguments, operators=""):
    """Run one ``egretlift`` command and return its standard output.

    Parameters
    ----------
    mesh : Mesh
        The running mesh, whose platform the command uses.
    *arguments : str
        Arguments of the command.
    operators : str
        Address of the operators' port of a daemon, for commands that ask daemons.

    Raises
    ------
    RuntimeError
        If the command ends with another status than 0.
    """
    port = port_of(mesh, "platform", "http")
    environment = {
        **os.environ,
        "EGRETLIFT_PLATFORM_URL": f"http://127.0.0.1:{port}",
        "EGRETLIFT_OPERATORS": operators,
    }
    completed = subprocess.run(
        [sys.executable, "-m", "egretlift.cli", *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )
    if completed.returncode:
        raise RuntimeError(
            f"egretlift {' '.join(arguments)} ended with status {completed.returncode}:"
            f" {completed.stderr.strip()}"
        )
    return completed.stdout


def run_commands(mesh, commands):
    """Run ``egretlift`` commands in parallel and return their outputs in order.

    The commands must not depend on each other.
    """
    with ThreadPoolExecutor(MAX_PARALLEL_COMMANDS) as pool:
        return list(pool.map(lambda command: run_command(mesh, *command), commands))


def make_write_commands(kind, specs):
    """Return the ``write`` command of each object of one kind.

    Examples
    --------
    >>> make_write_commands("organisation", {"o": {"rate": 5}})
    [('organisation', 'write', 'o', '--set', 'rate=5')]
    """
    return [
        (
            kind,
            "write",
            name,
            *(
                argument
                for field, value in spec.items()
                for argument in ("--set", f"{field}={json.dumps(value)}")
            ),
        )
        for name, spec in specs.items()
    ]


def issue_keys(mesh, names):
    """Issue a key to each organisation and return the keys by organisation."""
    keys = run_commands(mesh, [("key", "give", name) for name in names])
    return {name: key.strip() for name, key in zip(names, keys, strict=True)}
