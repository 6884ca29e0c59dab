"""Distribution of configuration to all hosts under faults and concurrent writes.

Run more seeds with ``python -m integration.test_configuration --seeds 1-5``.
"""

import argparse
import os
import random
import subprocess
import sys
import time
import unittest

from integration.meshes import make_plan, prepare_mesh, run_mesh, wait_for
from integration.watching import (
    compute_percentile,
    measure_latencies,
    monitor_hosts,
    send_with_key,
    wait_until_converged,
)
from standins.control import call_json
from standins.mesh import (
    kill_process,
    port_of,
    put_object,
    read_state,
    set_faults,
    set_link,
    start_process,
    wait_until_ready,
)

ZONES = {"a": 2, "b": 2, "c": 3}
# With one standby, zone c has a host that is neither lease holder nor standby. A zone
# whose holder or standby restarts while the platform is unreachable loses its lease
# (design, 5.3), but this test checks the catalog of a restarted daemon only.
SETTINGS = {"zone_standbys": 1}
ORGANISATIONS = {"studio": (500, 500)}
STEADY_CHANGES = 110
CUT_CHANGES = 10
# Target of the design page for the last reachable host.
IN_FORCE_P99_S = 2.0
# Bound for "within seconds" after a partition has healed, as for rejoining.
HEALED_S = 5.0


def run_command(mesh, *arguments):
    """Start the command line ``egretlift`` with arguments; return the process."""
    url = f"http://127.0.0.1:{port_of(mesh, 'platform', 'http')}"
    return subprocess.Popen(
        [sys.executable, "-m", "egretlift.cli", *arguments],
        env={**os.environ, "EGRETLIFT_PLATFORM_URL": url},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def finish_command(process):
    """Wait for a command; return its exit status and its standard error."""
    _, errors = process.communicate(timeout=30)
    return process.returncode, errors


class Changes:
    """Changes made in one part of a run.

    Attributes
    ----------
    sent_at : dict of (object, revision) to float
        Wall time at which each write was sent. Under a slow platform it is the
        time of the answer, since the write takes effect only shortly before.
    """

    __slots__ = ("random", "sent_at")

    def __init__(self, random):
        self.random = random
        self.sent_at = {}


def make_changes(mesh, rng, count, pause_s=0.04, slow=False):
    """Write random profiles; return the time of each write.

    Parameters
    ----------
    mesh : Mesh
    rng : random.Random
    count : int
        Number of writes.
    pause_s : float
        Pause after each write in seconds.
    slow : bool
        Whether the platform is slow; see `Changes`.

    Returns
    -------
    dict of (object, revision) to float
        Wall times.
    """
    changes = Changes(rng)
    for _ in range(count):
        name = f"profile-{rng.randrange(10)}"
        spec = {"priority": "interactive", "timeout_ms": rng.randrange(100, 9000)}
        began = time.time()
        revision = put_object(mesh, "profile", name, spec)
        at = time.time() if slow else began
        changes.sent_at[(f"profile/{name}", revision)] = at
        time.sleep(pause_s)
    return changes.sent_at


def set_zone_links(mesh, zone, platform, others, mode):
    """Set the mode of a zone's links to the platform, the other zones, or both."""
    if platform:
        set_link(mesh, zone, "platform", mode=mode)
    if others:
        for other in ZONES:
            if other != zone:
                set_link(mesh, zone, other, mode=mode)
                set_link(mesh, other, zone, mode=mode)


def read_object(mesh, kind, name):
    """Return the document of an object of the platform."""
    port = port_of(mesh, "platform", "http")
    return call_json(port, "GET", f"/objects/{kind}/{name}")[1]


def write_concurrently(mesh, count=4):
    """Write the same version of an object with several commands at once.

    Returns
    -------
    tuple
        List of (exit status, standard error) of the commands, and the object
        afterwards.
    """
    revision = put_object(mesh, "profile", "raced", {"priority": "interactive"})
    commands = [
        run_command(
            mesh,
            "profile",
            "write",
            "raced",
            "--set",
            f"timeout_ms={1000 + number}",
            "--version",
            str(revision),
        )
        for number in range(count)
    ]
    results = [finish_command(command) for command in commands]
    return results, read_object(mesh, "profile", "raced")


def write_with_lost_answers(mesh, count=4):
    """Write objects from the command line while the platform loses its answers.

    Returns
    -------
    list of (int, bool)
        Exit status of each command, and whether its change is in the object.
    """
    set_faults(mesh, lost_write_share=0.7, seed=3)
    commands = {
        number: run_command(
            mesh,
            "profile",
            "write",
            f"lost-{number}",
            "--set",
            "priority=interactive",
            "--set",
            f"timeout_ms={1000 + number}",
        )
        for number in range(count)
    }
    results = {number: finish_command(c) for number, c in commands.items()}
    set_faults(mesh, lost_write_share=0.0)
    found = []
    for number, (status, _) in results.items():
        item = read_object(mesh, "profile", f"lost-{number}")
        written = item.get("spec", {}).get("timeout_ms") == 1000 + number
        found.append((status, written))
    return found


def run_isolated_zone(mesh, rng, zone="c"):
    """Partition a zone from all else, restart a daemon in it and heal the partition.

    Returns
    -------
    dict
        ``changes`` made meanwhile, ``healed_s`` with the seconds until the zone was
        up to date again, and the statuses of calls to the restarted daemon with a
        valid key (``keyed``) and an unknown one (``foreign``).
    """
    hosts = [host for host, plan in mesh.hosts.items() if plan["zone"] == zone]
    lease = read_state(mesh, hosts[0])["zone_lease"]
    lease_hosts = {lease["holder"], *lease["standbys"]}
    restarted = next(host for host in hosts if host not in lease_hosts)
    set_zone_links(mesh, zone, True, True, "cut")
    kill_process(mesh, f"daemon/{restarted}")
    start_process(mesh, f"daemon/{restarted}")
    changes = make_changes(mesh, rng, CUT_CHANGES, pause_s=0.2)

    def complete():
        state = read_state(mesh, restarted)
        return state and state["configuration"]["complete"] and state["service"]

    wait_for(complete, 10.0, "the restarted daemon has no catalog")
    found = {"foreign": send_with_key(mesh, restarted, "nobody")[0]}
    # The host receives its first share of the rate shortly after its first call.
    for _ in range(10):
        found["keyed"] = send_with_key(mesh, restarted, "studio")[0]
        if found["keyed"] == 200:
            break
    set_zone_links(mesh, zone, True, True, "pass")
    healed = time.monotonic()
    revision = max(revision for _, revision in changes)
    wait_until_ready(mesh, revision=revision)
    return {
        **found,
        "changes": changes,
        "healed_s": time.monotonic() - healed,
    }


def write_invalid(mesh):
    """Replace a valid profile by an invalid one and restart a daemon.

    Returns
    -------
    dict of str to int
        Status of a call with a valid key, by host.
    """
    revision = put_object(mesh, "profile", "browsing", {"priority": "nonsense"})
    wait_until_ready(mesh, revision=revision)
    restarted = next(iter(mesh.hosts))
    kill_process(mesh, f"daemon/{restarted}")
    start_process(mesh, f"daemon/{restarted}")
    wait_until_ready(mesh, revision=revision)
    # The daemon lost its share of the rate when it was killed.
    wait_for(
        lambda: send_with_key(mesh, restarted, "studio")[0] == 200,
        10.0,
        "the restarted daemon does not serve",
    )
    return {host: send_with_key(mesh, host, "studio")[0] for host in mesh.hosts}


def run_changes(seed):
    """Run all changes and faults in one mesh; return the results by name."""
    rng, found = random.Random(seed), {}
    with run_mesh(make_plan(ZONES, settings=SETTINGS)) as mesh:
        prepare_mesh(mesh, ORGANISATIONS)
        wait_until_converged(mesh, 10.0)
        # Each host requests its share of the rate with its first call.
        for host in mesh.hosts:
            send_with_key(mesh, host, "studio")
        with monitor_hosts(mesh) as observations:
            steps = {"steady": make_changes(mesh, rng, STEADY_CHANGES)}
            set_faults(mesh, delay_s=0.4)
            steps["slow platform"] = make_changes(mesh, rng, 5, slow=True)
            set_faults(mesh, delay_s=0.0)
            found["lost"] = write_with_lost_answers(mesh)
            set_faults(mesh, outage=True)
            refused = run_command(
                mesh, "profile", "write", "down", "--set", "priority=interactive"
            )
            found["outage"] = finish_command(refused)
            set_faults(mesh, outage=False)
            time.sleep(1.0)
            set_zone_links(mesh, "c", True, False, "cut")
            steps["cut from platform"] = make_changes(mesh, rng, CUT_CHANGES)
            set_zone_links(mesh, "c", True, False, "pass")
            time.sleep(1.5)
            set_zone_links(mesh, "c", False, True, "cut")
            steps["cut from zones"] = make_changes(mesh, rng, CUT_CHANGES)
            time.sleep(1.5)
            found["isolated"] = run_isolated_zone(mesh, rng)
            steps["cut from both"] = found["isolated"].pop("changes")
            found["race"] = write_concurrently(mesh)
            found["invalid"] = write_invalid(mesh)
            found["equal_s"] = wait_until_converged(mesh, 20.0)
        reachable = {step: list(mesh.hosts) for step in steps}
        reachable["cut from both"] = [host for host in mesh.hosts if "-c-" not in host]
        found["latencies"] = {
            step: measure_latencies(observations, changes, reachable[step])
            for step, changes in steps.items()
        }
        found["regressions"], found["polls"] = (
            observations.regressions,
            observations.polls,
        )
    return found


class TestConfiguration(unittest.TestCase):
    """Guards against configuration that arrives late, reverts or is silently lost."""

    @classmethod
    def setUpClass(cls):
        cls.found = run_changes(1)

    def test_in_force_in_steady_state(self):
        latencies = self.found["latencies"]["steady"]
        self.assertGreaterEqual(len(latencies), 100)
        self.assertLess(
            compute_percentile(latencies, 0.99), IN_FORCE_P99_S, latencies[-5:]
        )

    def test_in_force_on_reachable_hosts_under_faults(self):
        slowest = {step: max(times) for step, times in self.found["latencies"].items()}
        late = {step: at for step, at in slowest.items() if at >= IN_FORCE_P99_S}
        self.assertEqual({}, late, slowest)

    def test_no_object_steps_back(self):
        self.assertEqual([], self.found["regressions"][:5])
        self.assertGreater(self.found["polls"], 100)

    def test_one_of_racing_operators_wins(self):
        results, item = self.found["race"]
        self.assertEqual([0, 4, 4, 4], sorted(status for status, _ in results))
        version = f"has version {item['revision']} now"
        for status, errors in results:
            if status == 4:
                self.assertIn(version, errors)

    def test_lost_answers_are_settled(self):
        # Status 0 only for a stored change; 6 if the result could not be determined.
        for status, written in self.found["lost"]:
            self.assertIn((status, written), ((0, True), (6, True), (6, False)))

    def test_outage_is_reported(self):
        status, errors = self.found["outage"]
        self.assertEqual(5, status, errors)

    def test_zone_has_everything_after_a_cut(self):
        self.assertLess(self.found["isolated"]["healed_s"], HEALED_S)

    def test_daemon_restarted_in_a_cut_zone_has_the_catalog(self):
        isolated = self.found["isolated"]
        self.assertEqual(200, isolated["keyed"])
        self.assertEqual(401, isolated["foreign"])

    def test_invalid_profile_does_not_replace_a_good_one(self):
        statuses = self.found["invalid"]
        self.assertEqual(dict.fromkeys(statuses, 200), statuses)


def main():
    """Run a range of seeds and print latencies and results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="first-last")
    first, last = map(int, parser.parse_args().seeds.split("-"))
    for seed in range(first, last + 1):
        found = run_changes(seed)
        for step, times in found.pop("latencies").items():
            print(
                f"seed {seed} {step}: {len(times)} changes, in force on the last host"
                f" p50 {compute_percentile(times, 0.5):.3f} s, p99"
                f" {compute_percentile(times, 0.99):.3f} s, largest {times[-1]:.3f} s",
                flush=True,
            )
        print(found, flush=True)


if __name__ == "__main__":
    main()
