"""Reads what a sweep of the platform's bench printed, from a committed journal entry, and makes a table of it.

A sweep plays one day at 30, 100 and 300 own machines. The bench fits the growth of the busiest process as a power of the
number of machines and carries it on to the planned size; nothing beyond the largest size is played.
"""

import json
import re

# Journal entries of sweeps of the large site: the first one is the state before, the last one the present.
SWEEPS_LARGE = ["20261204T155331-478a5847.json", "20261204T161128-578e5e91.json"]
# Mechanism that carries a row today, and what the row needs at the planned size. Rows without one do not grow or are not
# bounded.
MECHANISMS = {
    "balancer: processor %": "share of 0.038 cores; load reports, and records of all targets: records of the own region only (not built)",
    "balancer: memory MB": "table of all targets; bound 256 MB",
    "balancer: kB a second": "packets included; load reports to each balancer of the data centre: summaries by data centre (not built)",
    "control: processor %": "share of 0.3 cores; one HTTP call for each target and period, exchange of all refreshes between control hosts: control groups by region (not built)",
    "control: memory MB": "connections of targets and balancers, queued replies; bound 256 MB",
    "control: kB a second": "refreshes of all targets to all control hosts: digests of unchanged targets, control groups by region (not built)",
    "control: connections": "one for each target that announces here: 4,096 descriptors are the limit of a host",
    "config acked, ms": "replicated log on control hosts that also serve announcements; bound 5,000 ms",
    "leaving acked, ms": "majority of control hosts",
    "next ack after a core kill, ms": "election",
    "serving after a zone was lost, ms": "unanswered opening packets",
}
ROW = re.compile(r"^(\S[^:]*: \S.*?|\S.*, ms) {2,}(.*)$")


def read_sweep(path):
    """Returns the rows of a sweep as (name, [busiest at each size], power, value at the planned size)."""
    digest = json.loads(path.read_text())["digest"]
    rows = []
    for line in digest.splitlines():
        match = ROW.match(line)
        if not match:
            continue
        cells = re.split(r" {2,}", match.group(2).strip())
        if len(cells) != 5:
            continue
        busiest = [cell.split(" / ")[-1] for cell in cells[:3]]
        rows.append((match.group(1), busiest, cells[3], cells[4]))
    return rows


def sweep_table(root, entries):
    """Formats the rows of the newest of the given journal entries, each beside its value in the first one."""
    first, last = (read_sweep(root / "journal" / entry) for entry in (entries[0], entries[-1]))
    before = {name: busiest for name, busiest, _power, _planned in first}
    lines = ["| row | 30 machines | 100 | 300 | before: 30, 100, 300 | power | at 13,702, extrapolated | mechanism |",
             "|---|---|---|---|---|---|---|---|"]
    for name, busiest, power, planned in last:
        lines.append(f"| {name} | {' | '.join(busiest)} | {', '.join(before.get(name, ['-']))} | {power} | {planned} | "
                     f"{MECHANISMS.get(name, '-')} |")
    return "\n".join(lines)
