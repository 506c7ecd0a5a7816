"""Extrapolates the measurements in docs/capacity-inputs.json to the planned size.

A slope is a least-squares fit a + b*n over three sizes or more; its residual is the largest absolute difference between
a measurement and the fit.
"""

import dataclasses

# Planned size, section 1 of docs/design.md.
DAEMONS = 14_000
SERVERS = 130_000
ADDRESSES = 10_000
OPEN_FLOWS = 260_000_000
NEW_FLOWS_PER_S = 800_000
REGIONS = 10
DATA_CENTRES = 27
CHANGES_PER_DAY = 39_000
DAY_S = 86_400
BOUND_BYTES_PER_S = 6_000
BOUND_CPU_PERCENT = 1.9
BOUND_MEMORY = 256e6
BOUND_IN_FORCE_S = 5
RESTARTS_PER_DAY = 29_000

# Sizes derived from the plan; DC stands for data centre.
DAEMONS_PER_DC = round(DAEMONS / DATA_CENTRES)
TARGETS_PER_DC = round(SERVERS / DATA_CENTRES)
TARGETS_PER_DAEMON = SERVERS / DAEMONS
FLOWS_PER_DAEMON = OPEN_FLOWS / DAEMONS
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
DCS_PER_REGION = -(-DATA_CENTRES // REGIONS)
# Rates of periodic work: a lease is renewed every 400 ms, a coordinator ticks every 50 ms in the benchmark, and a
# target announces itself every 500 ms.
LEASE_ROUNDS_PER_S = 2.5
TICKS_PER_S = 20
ANNOUNCEMENTS_PER_S = 2
# kMaxRememberedTickets in include/fighatch/ticket_processor.h.
REMEMBERED_TICKETS = 1 << 18
# Time window in which the benchmark target_control counts the bytes caused by one changed target.
CONTROL_BYTES_WINDOW_S = 60
FANOUT = 4


@dataclasses.dataclass
class Fit:
    """A least-squares line through measurements; `size_label` names the quantity on the x axis."""

    name: str
    unit: str
    size_label: str
    points: list
    a: float = 0
    b: float = 0
    residual: float = 0

    def __post_init__(self):
        count = len(self.points)
        if count < 3:
            raise ValueError(f"{self.name}: fewer than three sizes")
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        self.b = sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread
        self.a = mean_y - self.b * mean_x
        self.residual = max(abs(y - self.value_at(x)) for x, y in self.points)

    def value_at(self, size):
        return self.a + self.b * size

    def size_at_bound(self, bound):
        """Returns the size at which the line reaches the bound, or None if the line does not rise."""
        return (bound - self.a) / self.b if self.b > 0 else None


DISTRIBUTION = "distribution_{}_in_27_fanout_4_"
BOTH_WAYS = "sent_and_received_per_"
DAEMONS_IN_27_DCS = "daemons in 27 data centres"
DAEMON_SIZES = (500, 1500, 5000, 14000)
MEMBER_SIZES = (8, 50, 200, 500)
SERVICE_SIZES = (300, 1000, 3000, 10000)
TARGET_SIZES = (100, 200, 350, 500)

# name: (unit, size label, pattern of the benchmark result, sizes)
SERIES = {
    "membership_bytes": ("B/s", "daemons of a data centre", "membership_{}_" + BOTH_WAYS + "daemon_max", MEMBER_SIZES),
    "membership_cpu": ("% of a core", "daemons of a data centre", "membership_{}_cpu_per_daemon", MEMBER_SIZES),
    "distribution_bytes": ("B/s", DAEMONS_IN_27_DCS, DISTRIBUTION + BOTH_WAYS + "daemon_p50", DAEMON_SIZES),
    "distribution_bytes_max": ("B/s", DAEMONS_IN_27_DCS, DISTRIBUTION + BOTH_WAYS + "balancer_max", DAEMON_SIZES),
    "distribution_control": ("B/s", DAEMONS_IN_27_DCS, DISTRIBUTION + BOTH_WAYS + "control_host_max", DAEMON_SIZES),
    "distribution_cpu": ("% of a core", DAEMONS_IN_27_DCS, DISTRIBUTION + "cpu_per_daemon", DAEMON_SIZES),
    "distribution_time": ("s", DAEMONS_IN_27_DCS, DISTRIBUTION + "in_force_loss_3_max", DAEMON_SIZES),
    "leases_by_targets": ("B/s", "targets at 50 balancers", "control_bytes.leases_per_host.hosts_50.targets_{}",
                          TARGET_SIZES),
    "facts_by_targets": ("B/s", "targets at 50 balancers", "control_bytes.facts_per_host.hosts_50.targets_{}",
                         TARGET_SIZES),
    "tables_by_targets": ("B/s", "targets at 50 balancers", "control_bytes.tables_per_host.hosts_50.targets_{}",
                          TARGET_SIZES),
    "tick_by_hosts": ("us", "balancers at 60 targets", "coordinator_tick.hosts_{}.targets_60", (7, 50, 500)),
    "tick_by_targets": ("us", "targets at 50 balancers", "coordinator_tick.hosts_50.targets_{}", (15, 150, 1500)),
    "round_by_hosts": ("us", "balancers at 60 targets", "lease_round.hosts_{}.targets_60", (7, 50, 500)),
    "round_by_targets": ("us", "targets at 50 balancers", "lease_round.hosts_50.targets_{}", (15, 150, 1500)),
    "ticket_memory": ("B", "tickets", "ticket_processor.memory_{}", (4000, 16000, 64000)),
    "ticket_snapshot": ("B", "tickets", "ticket_processor.snapshot_{}", (4000, 16000, 64000)),
    "ticket_cpu": ("us", "tickets", "ticket_processor.cpu_per_ticket_{}", (4000, 16000, 64000)),
    "table_bytes": ("B", "services of 13 targets", "flow_table_bytes_{}_services", SERVICE_SIZES),
    "table_build": ("s", "services of 13 targets", "flow_table_build_{}_services", SERVICE_SIZES),
    "table_change": ("ms", "services of 13 targets", "flow_table_change_1_of_{}_services", SERVICE_SIZES),
    "journal_bytes": ("B an entry", "journal entries", "journal_entry_{}", (1000, 10000, 100000)),
    "seal": ("ns", "payload bytes", "seal_and_open_{}", (32, 200, 1000)),
}


TARGET_SERIES = ("leases_by_targets", "facts_by_targets", "tables_by_targets")


def compute_fits(values):
    """Returns all fits by name."""
    fits = {}
    for name, (unit, size_label, pattern, sizes) in SERIES.items():
        fits[name] = Fit(name, unit, size_label, [(size, values[pattern.format(size)]) for size in sizes])
    coordinator = [(hosts, values[f"control_bytes.coordinator.hosts_{hosts}.targets_{targets}"])
                   for hosts, targets in ((7, 15), (50, 100), (500, 1000))]
    fits["coordinator_bytes"] = Fit("coordinator_bytes", "B/s", "balancers with 2 targets each", coordinator)
    balancer = [(hosts, values[f"control_bytes.balancer.hosts_{hosts}.targets_{targets}"])
                for hosts, targets in ((7, 15), (50, 100), (500, 1000))]
    fits["balancer_bytes"] = Fit("balancer_bytes", "B/s", "balancers with 2 targets each", balancer)
    forwarding = [(values[f"forwarding.carried.rate_{rate}"], 100 * values[f"forwarding.cpu_share.rate_{rate}"])
                  for rate in (5000, 20000, 80000)]
    fits["forwarding_cpu"] = Fit("forwarding_cpu", "% of a core", "packets a second", forwarding)
    # 7 balancers share the new flows.
    records = [(rate / 7, values[f"flow_record_bytes_each_balancer_{rate}_new_flows"]) for rate in (300, 1000, 3000)]
    fits["record_bytes"] = Fit("record_bytes", "B/s", "new flows a second and balancer", records)
    return fits


def compute_figures(values):
    """Returns the fits, and the figures of the page by their name in the template."""
    fits = compute_fits(values)
    figures = dict(plan_figures())
    figures.update(data_plane(values, fits))
    figures.update(balancer_control(values, fits))
    figures.update(coordinator(values, fits))
    figures.update(control_hosts(values, fits))
    return fits, figures


def plan_figures():
    yield "daemons_per_dc", DAEMONS_PER_DC
    yield "targets_per_dc", TARGETS_PER_DC
    yield "targets_per_daemon", TARGETS_PER_DAEMON
    yield "flows_per_daemon", FLOWS_PER_DAEMON
    yield "new_flows_per_daemon", NEW_FLOWS_PER_S / DAEMONS
    yield "changes_per_s", CHANGES_PER_S
    yield "daemons_per_region", DAEMONS / REGIONS
    yield "dcs_per_region", DCS_PER_REGION


def data_plane(values, fits):
    forwarding = fits["forwarding_cpu"]
    records = FLOWS_PER_DAEMON * values["flow_bytes_held"]
    table = fits["table_bytes"].value_at(ADDRESSES)
    return {
        "dp_record_bytes": values["flow_bytes_held"], "dp_records": records, "dp_table": table,
        "dp_table_build": fits["table_build"].value_at(ADDRESSES),
        "dp_table_build_limit": fits["table_build"].size_at_bound(BOUND_IN_FORCE_S),
        "dp_restart_share": RESTARTS_PER_DAY / DAEMONS, "dp_table_change": fits["table_change"].value_at(ADDRESSES),
        "dp_table_change_cpu": fits["table_change"].value_at(ADDRESSES) * CHANGES_PER_S / 10,
        "dp_table_change_limit": fits["table_change"].size_at_bound(BOUND_CPU_PERCENT * 10 / CHANGES_PER_S),
        "dp_memory": records + table, "dp_table_limit": fits["table_bytes"].size_at_bound(BOUND_MEMORY - records),
        "dp_cpu_idle": forwarding.a, "dp_cpu_per_1000": 1000 * forwarding.b,
        "dp_core_rate": forwarding.size_at_bound(100),
        "dp_ratio_rate": values["forwarding.packets_per_second_bare_over_plane"],
        "dp_ratio_cpu": values["forwarding.cpu_per_packet_plane_over_bare"],
        "dp_ratio_p99": values["forwarding.p99_plane_over_bare"],
    }


def balancer_control(values, fits):
    targets = TARGETS_PER_DAEMON * 50
    parts = {
        "bc_membership": fits["membership_bytes"].value_at(DAEMONS_PER_DC),
        "bc_distribution": fits["distribution_bytes"].value_at(DAEMONS),
        "bc_leases": fits["leases_by_targets"].value_at(targets),
        "bc_facts": fits["facts_by_targets"].value_at(targets),
        "bc_tables": fits["tables_by_targets"].value_at(targets),
        "bc_records": fits["record_bytes"].value_at(NEW_FLOWS_PER_S / DAEMONS),
    }
    cpu = {
        "bc_membership_cpu": fits["membership_cpu"].value_at(DAEMONS_PER_DC),
        "bc_distribution_cpu": fits["distribution_cpu"].value_at(DAEMONS),
        "bc_lease_cpu": lease_round_us(fits) * LEASE_ROUNDS_PER_S / 1e4,
    }
    # bc_targets_limit is the number of targets per balancer at which the sum reaches the bound, with the other parts
    # unchanged.
    per_target = sum(fits[name].b for name in TARGET_SERIES) * 50
    spare_bytes = BOUND_BYTES_PER_S - sum(parts.values())
    inner_bytes = sum(parts.values()) - parts["bc_distribution"] + fits["distribution_bytes_max"].value_at(DAEMONS)
    return {**parts, **cpu, "bc_bytes": sum(parts.values()), "bc_cpu": sum(cpu.values()),
            "bc_targets_limit": TARGETS_PER_DAEMON + spare_bytes / per_target,
            "bc_distribution_max": fits["distribution_bytes_max"].value_at(DAEMONS),
            "bc_inner_bytes": inner_bytes,
            "bc_journal": fits["journal_bytes"].value_at(100_000)}


def lease_round_us(fits):
    """Processor time of a lease round, modelled as the sum of the slopes over balancers and over targets."""
    by_hosts, by_targets = fits["round_by_hosts"], fits["round_by_targets"]
    return by_hosts.value_at(DAEMONS_PER_DC) + by_targets.b * (TARGETS_PER_DC - 60)


def coordinator_tick_us(fits):
    by_hosts, by_targets = fits["tick_by_hosts"], fits["tick_by_targets"]
    return by_hosts.value_at(DAEMONS_PER_DC) + by_targets.b * (TARGETS_PER_DC - 60)


def coordinator(values, fits):
    targets = TARGETS_PER_DAEMON * 50
    per_balancer = sum(fits[name].value_at(targets) for name in TARGET_SERIES)
    messages = DAEMONS_PER_DC * (2 * LEASE_ROUNDS_PER_S + 1)
    seal_cpu = messages * fits["seal"].value_at(500) / 2 / 1e7
    cpu = {"co_tick_cpu": coordinator_tick_us(fits) * TICKS_PER_S / 1e4,
           "co_round_cpu": lease_round_us(fits) * LEASE_ROUNDS_PER_S * DAEMONS_PER_DC / 1e4, "co_seal_cpu": seal_cpu}
    # The coordinator of a group of 7 balancers exchanges messages with the 6 others (co_break).
    smallest_group_bytes = values["control_bytes.coordinator.hosts_7.targets_15"]
    change_bytes = fits["tables_by_targets"].value_at(targets) * CONTROL_BYTES_WINDOW_S
    receivers = DCS_PER_REGION - 1 + DAEMONS_PER_DC - 1
    region_bytes = CHANGES_PER_S * change_bytes * receivers
    announcements = TARGETS_PER_DAEMON * ANNOUNCEMENTS_PER_S
    return {**cpu, "co_cpu": sum(cpu.values()), "co_messages": messages, "co_bytes": per_balancer * DAEMONS_PER_DC,
            "co_bytes_fit": fits["coordinator_bytes"].value_at(DAEMONS_PER_DC),
            "co_smallest": smallest_group_bytes, "co_break": 1 + BOUND_BYTES_PER_S / (smallest_group_bytes / 6),
            "co_break_planned": BOUND_BYTES_PER_S / per_balancer, "co_tick": coordinator_tick_us(fits),
            "co_round": lease_round_us(fits),
            "co_round_break": BOUND_CPU_PERCENT * 1e4 / LEASE_ROUNDS_PER_S / lease_round_us(fits),
            "co_tick_break": fits["tick_by_targets"].size_at_bound(BOUND_CPU_PERCENT * 1e4 / TICKS_PER_S),
            "rc_change_bytes": change_bytes, "rc_bytes": region_bytes,
            "rc_break": BOUND_BYTES_PER_S / (change_bytes * receivers) * DAY_S,
            "an_balancer": announcements, "an_dc": TARGETS_PER_DC * ANNOUNCEMENTS_PER_S,
            "an_facts": fits["facts_by_targets"].value_at(targets),
            "an_facts_dc": fits["facts_by_targets"].value_at(targets) * DAEMONS_PER_DC,
            "an_facts_break": BOUND_BYTES_PER_S / fits["facts_by_targets"].value_at(targets)}


def control_hosts(values, fits):
    ticket_us = values["consensus.cpu_per_ticket_three_hosts"]
    memory = fits["ticket_memory"]
    return {"ch_ticket_us": ticket_us, "ch_cpu": ticket_us * CHANGES_PER_S / 1e4,
            "ch_rate": values["consensus.tickets_per_second"],
            "ch_apply_us": fits["ticket_cpu"].value_at(REMEMBERED_TICKETS),
            "ch_remembered": REMEMBERED_TICKETS, "ch_days": REMEMBERED_TICKETS / CHANGES_PER_DAY,
            "ch_memory": memory.value_at(REMEMBERED_TICKETS), "ch_memory_break": memory.size_at_bound(BOUND_MEMORY),
            "ch_snapshot": fits["ticket_snapshot"].value_at(REMEMBERED_TICKETS),
            "ch_state": values["catch_up.500_changes_as_snapshot_bytes"],
            "ch_distribution": fits["distribution_control"].value_at(DAEMONS),
            "ch_distribution_measured": fits["distribution_control"].points[-1][1],
            "ch_distribution_in_3": values["distribution_500_in_3_fanout_4_sent_and_received_per_control_host_max"],
            "ch_distribution_in_27": values["distribution_500_in_27_fanout_4_sent_and_received_per_control_host_max"],
            "ch_distribution_break": fits["distribution_control"].size_at_bound(BOUND_BYTES_PER_S),
            "ch_time": fits["distribution_time"].value_at(DAEMONS),
            "ch_time_measured": fits["distribution_time"].points[-1][1],
            "ch_time_break": fits["distribution_time"].size_at_bound(BOUND_IN_FORCE_S)}
