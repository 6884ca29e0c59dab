"""Run the formatter, the linter, the doctests and all tests, for CI.

Tests listed in KNOWN-RED.txt are run and printed, but their failures do not make CI
fail.
An entry names its test on a line that starts with ``test:``.
"""

import doctest
import importlib
import pkgutil
import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

import egretlift

ROOT = Path(__file__).resolve().parent.parent
JUNIT_FLAGS = (
    "--plugin=nose2.plugins.junitxml",
    "--junit-xml",
    "--junit-xml-path",
)
CHECKS = (("format", ["format", "--check", "."]), ("lint", ["check", "."]))


def read_known_red():
    """Return the names of the tests listed in KNOWN-RED.txt."""
    text = (ROOT / "KNOWN-RED.txt").read_text()
    lines = (line.strip() for line in text.splitlines())
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def run_checks():
    """Run the formatter and the linter; return whether each passed, by name."""
    results = {}
    for name, arguments in CHECKS:
        command = [sys.executable, "-m", "ruff", *arguments]
        results[f"ruff {name}"] = subprocess.run(command, cwd=ROOT).returncode == 0
    return results


def run_doctests():
    """Run the doctests of egretlift; return whether each module passed, by name."""
    results = {}
    for info in pkgutil.walk_packages(egretlift.__path__, "egretlift."):
        if ".tests" in info.name or ".generated" in info.name:
            continue
        if info.name.endswith("__main__"):
            continue
        outcome = doctest.testmod(importlib.import_module(info.name))
        if outcome.attempted:
            results[f"doctest {info.name}"] = outcome.failed == 0
    return results


def run_tests():
    """Run all tests with nose2; return whether each passed, by name.

    The entry ``nose2`` is False if nose2 wrote no report, or failed although every
    test in its report passed.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "nose2", "-v", *JUNIT_FLAGS, str(report)]
        status = subprocess.run(command, cwd=ROOT).returncode
        if not report.exists():
            return {"nose2": False}
        cases = ElementTree.parse(report).getroot().iter("testcase")
        results = {}
        for case in cases:
            name = f"{case.get('classname')}.{case.get('name')}"
            is_failed = (
                case.find("failure") is not None or case.find("error") is not None
            )
            results[name] = results.get(name, True) and not is_failed
    if status and all(results.values()):
        results["nose2"] = False
    return results


def find_test(name):
    """Return the name of the test to which a result belongs.

    A sub-test is reported as its test followed by its message in square brackets, its
    parameters in round ones, or both, and a row of a parameterised test as its test
    followed by a colon and the row's number.

    Examples
    --------
    >>> find_test("a.T.test_b (fault='x')"), find_test("a.T.test_b:2"), find_test("x")
    ('a.T.test_b', 'a.T.test_b', 'x')
    >>> find_test("a.T.test_b [late] (loop='uvloop')"), find_test("a.T.test_b [1: x]")
    ('a.T.test_b', 'a.T.test_b')
    """
    for separator in (" (", " [", ":"):
        name = name.partition(separator)[0]
    return name


def main():
    """Run all checks, print the failures and the totals, and exit.

    The exit status is 1 if a test that KNOWN-RED.txt does not list failed, or if
    nothing passed.
    """
    if sys.flags.optimize:
        raise SystemExit("run without -O, since it removes assertions")
    results = {**run_checks(), **run_doctests(), **run_tests()}
    known_red = read_known_red()
    failed = [name for name, passed in results.items() if not passed]
    expected = {name for name in failed if find_test(name) in known_red}
    for name in failed:
        print(f"{'KNOWN RED' if name in expected else 'FAILED'} {name}")
    for name in sorted(known_red - {find_test(name) for name in failed}):
        print(f"KNOWN RED but passed: {name}")
    unexpected = [name for name in failed if name not in expected]
    passed = sum(results.values())
    print(f"{passed} passed, {len(unexpected)} failed", flush=True)
    raise SystemExit(1 if unexpected or not passed else 0)


if __name__ == "__main__":
    main()
