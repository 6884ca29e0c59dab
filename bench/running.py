"""Load generators as processes, and the command line of the operators."""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from standins.mesh import ROOT, port_of

COMMANDS_AT_ONCE = 6


def start_load(mesh, plan):
    """Start a load generator and return (process, path of its records)."""
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
    """Return the totals of a load generator once it has ended.

    Raises
    ------
    RuntimeError
        If it failed or did not end in time.
    """
    try:
        output, _ = process.communicate(timeout=timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise RuntimeError(f"the load did not end within {timeout_s:g} s") from None
    if process.returncode:
        raise RuntimeError(f"the load ended with {process.returncode}")
    return json.loads(output)


def run_operator(mesh, *arguments, operators=""):
    """Run one ``egretlift`` command and return what it printed."""
    port = port_of(mesh, "platform", "http")
    environment = {
        **os.environ,
        "EGRETLIFT_PLATFORM_URL": f"http://127.0.0.1:{port}",
        "EGRETLIFT_OPERATORS": operators,
    }
    done = subprocess.run(
        [sys.executable, "-m", "egretlift.cli", *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )
    if done.returncode:
        raise RuntimeError(
            f"egretlift {' '.join(arguments)} ended with {done.returncode}:"
            f" {done.stderr.strip()}"
        )
    return done.stdout


def run_operators(mesh, commands):
    """Run independent ``egretlift`` commands and return their outputs in order."""
    with ThreadPoolExecutor(COMMANDS_AT_ONCE) as pool:
        return list(pool.map(lambda command: run_operator(mesh, *command), commands))


def make_writes(kind, specs):
    """Return the commands that write the objects of one kind."""
    return [
        (
            kind,
            "write",
            name,
            *(
                part
                for field, value in spec.items()
                for part in ("--set", f"{field}={json.dumps(value)}")
            ),
        )
        for name, spec in specs.items()
    ]


def give_keys(mesh, names):
    """Give each organisation a key and return the keys by organisation."""
    keys = run_operators(mesh, [("key", "give", name) for name in names])
    return {name: key.strip() for name, key in zip(names, keys, strict=True)}
