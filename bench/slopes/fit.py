"""Lines fitted through measured points, and the resources of a process."""

import re
import statistics
import sys
from pathlib import Path


def fit_slope(points):
    """Return (slope, intercept) of the least-squares line through points of (x, y).

    Examples
    --------
    >>> fit_slope([(1, 3.0), (2, 5.0), (4, 9.0)])
    (2.0, 1.0)
    """
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.slope, line.intercept


def report(name, points, unit):
    """Print the measured points of (x, y) and the line fitted through them."""
    slope, intercept = fit_slope(points)
    formatted = ", ".join(f"{x:g}: {y:.6g}" for x, y in points)
    print(f"{name}: {formatted} {unit}; slope {slope:.4g}, intercept {intercept:.4g}")
    sys.stdout.flush()


def read_rss(pid):
    """Return the resident memory of a process in bytes, from ``/proc``."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1024


def read_cpu(pid):
    """Return the CPU time of a process in seconds, of its main thread only."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
