"""Plays of the users' bench with one mechanism switched off, and their table.

Each ablation replaces a mechanism by its plain form in a scratch copy of the working
tree, plays one day there, and keeps the entry of the journal::

    python -m bench.ablation list
    python -m bench.ablation run arrival-order SITE DAY --bench PROGRAM --seed 7
    python -m bench.ablation table

``run none ...`` plays the unchanged tree, for comparison. Runs of one name, site, day
and seed are averaged in the table.
"""

import argparse
import json
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WHY = "ablation"
LEFT_OUT = shutil.ignore_patterns(".venv", ".git", "journal", "__pycache__", "results")


class Replacement:
    """A text in a source file, and the one that takes its place.

    Attributes
    ----------
    path : str
        Relative to the source tree.
    old, new : str
    """

    __slots__ = ("new", "old", "path")

    def __init__(self, path, old, new):
        self.path = path
        self.old = old
        self.new = new


class TextMissing(Exception):
    """A text to be replaced is not in its file exactly once."""


ABLATIONS = {
    "none": [],
    "arrival-order": [
        Replacement(
            "egretlift/admission/slots.py",
            "        self.origin_at = origin_at\n",
            "        self.origin_at = 0.0\n",
        )
    ],
    "oldest-first": [
        Replacement(
            "egretlift/admission/slots.py",
            "OLDEST_FIRST_EVERY = 8",
            "OLDEST_FIRST_EVERY = 10**9",
        )
    ],
    "route-admission": [
        Replacement(
            "egretlift/admission/pace.py",
            "    return probability >= 1.0 or",
            "    return True or probability >= 1.0 or",
        )
    ],
    "preference-of-returns": [
        Replacement(
            "egretlift/admission/pace.py", "RETRY_FACTOR = 4.0", "RETRY_FACTOR = 1.0"
        )
    ],
    "nested-wait-share": [
        Replacement(
            "egretlift/serving/execution.py",
            "WAIT_SHARE = 0.25",
            "WAIT_SHARE = 1.0",
        )
    ],
    "usable-share": [
        Replacement(
            "egretlift/admission/slots.py",
            "USABLE_SHARE = 0.95",
            "USABLE_SHARE = 1.0",
        )
    ],
    "important-repeats": [
        Replacement(
            "egretlift/retries/arrivals.py",
            "    if not is_important:\n",
            "    if False:\n",
        )
    ],
    "token-wait": [
        Replacement(
            "egretlift/sidecar/tokens.py",
            "    if not may_wait(local):\n",
            "    if now < local.next_request_at:\n",
        )
    ],
    "failure-memory": [
        Replacement(
            "egretlift/routing/nearest.py",
            "FAILURE_COST_S = 2.0",
            "FAILURE_COST_S = 0.0",
        )
    ],
    "zone-preference": [
        Replacement(
            "egretlift/routing/nearest.py",
            "    if far[0] + FAR_MARGIN_S < FAR_TIME_RATIO * near[0]:",
            "    if far[0] < near[0]:",
        )
    ],
}


def replace_text(root, replacement):
    """Apply a replacement to a source tree.

    Raises
    ------
    TextMissing
        The text is missing or not unique, so the mechanism has changed since.
    """
    path = Path(root) / replacement.path
    text = path.read_text()
    if text.count(replacement.old) != 1:
        raise TextMissing(f"{replacement.path}: {replacement.old!r}")
    path.write_text(text.replace(replacement.old, replacement.new))


def make_copy(name, folder):
    """Copy the working tree without a mechanism, and commit it there."""
    shutil.copytree(ROOT, folder, ignore=LEFT_OUT, dirs_exist_ok=False)
    for replacement in ABLATIONS[name]:
        replace_text(folder, replacement)
    identity = ["-c", "user.name=ablation", "-c", "user.email=ablation@localhost"]
    for command in (["init", "-q"], ["add", "-A"], [*identity, "commit", "-qm", name]):
        subprocess.run(["git", *command], cwd=folder, check=True)


def play(options):
    """Play a day without a mechanism, and keep the journal entry of the play."""
    folder = ROOT.parent / f"ablation-{options.name}-{options.day}-{options.seed or 0}"
    make_copy(options.name, folder)
    (folder / "journal").mkdir(exist_ok=True)
    command = [options.bench, "run", options.site, options.day]
    command += ["--why", f"{WHY}: {options.name}", "--day-cap", str(options.day_cap)]
    if options.seed is not None:
        command += ["--seed", str(options.seed)]
    subprocess.run(command, cwd=folder, check=True)
    shutil.copytree(folder / "journal", ROOT / "journal", dirs_exist_ok=True)
    shutil.rmtree(folder)


def read_plays(folder):
    """Return (name, site, day, seed, worth) of the ablations in a journal."""
    found = []
    for path in sorted(Path(folder).glob("*.json")):
        entry = json.loads(path.read_text())
        kind, _, name = (entry.get("why") or "").partition(": ")
        if kind != WHY or name not in ABLATIONS:
            continue
        for day in entry.get("days") or []:
            if day.get("G") is not None:
                row = (name, entry["site"], day["name"], day["seed"], day["G"])
                found.append(row)
    return found


def format_table(plays):
    """Return a table of the mean worth, and of its difference to no ablation.

    Examples
    --------
    >>> print(format_table([("none", "s", "d", 1, 0.5), ("x", "s", "d", 1, 0.25)]))
    ablation               site         day          seed        worth   with   plays
    x                      s            d            1           0.250   0.500  1
    """
    groups = {}
    for name, *place, worth in plays:
        groups.setdefault((name, *place), []).append(worth)
    heads = ("ablation", "site", "day", "seed", "worth", "with", "plays")
    lines = ["{:22} {:12} {:12} {:11} {:7} {:6} {}".format(*heads)]
    for (name, *place), worths in sorted(groups.items()):
        whole = groups.get(("none", *place))
        if name == "none":
            continue
        with_it = f"{sum(whole) / len(whole):.3f}" if whole else "-"
        site, day, seed = place
        lines.append(
            f"{name:22} {site:12} {day:12} {seed:<11}"
            f" {sum(worths) / len(worths):.3f}   {with_it:6} {len(worths)}"
        )
    return "\n".join(lines)


def main(arguments=None):
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("list")
    commands.add_parser("table")
    runs = commands.add_parser("run")
    runs.add_argument("name", choices=list(ABLATIONS))
    runs.add_argument("site")
    runs.add_argument("day")
    runs.add_argument("--bench", required=True, help="path of the bench's program")
    runs.add_argument("--seed", type=int)
    runs.add_argument("--day-cap", type=int, default=3000)
    options = parser.parse_args(arguments)
    if options.command == "list":
        print("\n".join(ABLATIONS))
    elif options.command == "table":
        print(format_table(read_plays(ROOT / "journal")))
    else:
        play(options)


if __name__ == "__main__":
    main()
