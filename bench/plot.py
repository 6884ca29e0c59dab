"""Plot the whole requests a second over the course of each run of the experiment.

::

    python -m bench.plot results.json results.png
"""

import json
import sys

import matplotlib

matplotlib.use("agg")
from matplotlib import pyplot

COLOURS = {"egretlift": "tab:green", "fixed": "tab:orange", "none": "tab:red"}


def plot_results(rows, path):
    """Draw one panel for each deployment and scenario, one line for each policy.

    Parameters
    ----------
    rows : list of dict
        Rows of `bench.experiment`. Failed runs are left out.
    path : str
        File to write; its suffix selects the format.
    """
    rows = [row for row in rows if "failed" not in row]
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    deployments = list(dict.fromkeys(row["deployment"] for row in rows))
    figure, axes = pyplot.subplots(
        len(scenarios),
        len(deployments),
        figsize=(5 * len(deployments), 1.8 * len(scenarios)),
        squeeze=False,
        sharex=True,
    )
    for row in rows:
        panel = axes[scenarios.index(row["scenario"])][
            deployments.index(row["deployment"])
        ]
        # Leaves out the seconds after the load, in which no request arrives.
        whole = [second[1] for second in row["seconds"] if second[0]]
        panel.plot(whole, color=COLOURS[row["policy"]], label=row["policy"])
        panel.set_title(f"{row['deployment']}, {row['scenario']}", fontsize=8)
        panel.tick_params(labelsize=7)
    for panel in axes.flat:
        panel.set_ylim(bottom=0)
    handles, labels = axes[0][0].get_legend_handles_labels()
    handles_by_label = dict(zip(labels, handles, strict=True))
    figure.legend(
        handles_by_label.values(), handles_by_label.keys(), loc="upper center", ncol=3
    )
    figure.supxlabel("second of arrival; the trigger lasts from 4 to 8", fontsize=8)
    figure.supylabel("whole requests a second", fontsize=8)
    figure.tight_layout(rect=(0.01, 0.01, 1, 0.97))
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    with open(sys.argv[1]) as file:
        plot_results(json.load(file)["rows"], sys.argv[2])
