"""Writes the settings files of the example deployments into examples/deployments/.

Each user gets 3 data centres on loopback: 3 control hosts, 6 balancers, 6 targets of the request service, 3 targets of
the flow service, the fabric, the load tool and fighatchctl. Paths are relative to the folder that the programs run in.
"""

import json
import pathlib
import sys

import deployment

TARGETS = {"request": 6, "flow": 3}
BALANCERS = 6
CONTROL_HOSTS = 3
SECOND_OCTETS = {"agency": 10, "head_office": 11}


def settings_by_file(user):
    """Returns the settings of every program by file name."""
    ticket = json.loads(deployment.strip_comments((deployment.ROOT / deployment.USERS[user]["ticket"]).read_text()))
    data_centres = [data_centre["name"] for data_centre in ticket["data_centres"]]
    addresses = {service["name"]: service["addresses"][0]["endpoint"] for service in ticket["services"]}

    def address(kind, number):
        return f"127.{SECOND_OCTETS[user]}.{kind}.{number}"

    def data_centre_of(index):
        return data_centres[index % len(data_centres)]

    fabric = f"{address(4, 1)}:6080"
    control = [{"host": 101 + index, "messages": f"{address(3, 1 + index)}:7401",
                "http": f"{address(3, 1 + index)}:7400"} for index in range(CONTROL_HOSTS)]
    files = {}
    for index in range(CONTROL_HOSTS):
        files[f"control-{1 + index}"] = {
            "host": 101 + index, "data_centre": data_centre_of(index), "data_folder": f"data/control-{1 + index}",
            "operator_key_file": "keys/operator.key", "cluster_keys": [{"id": 1, "file": "keys/cluster-1.key"}],
            "control_hosts": control}
    for index in range(BALANCERS):
        seeds = [f"{address(1, 1 + other)}:7402" for other in range(BALANCERS) if other != index]
        files[f"balancer-{1 + index}"] = {
            "host": 1 + index, "data_centre": data_centre_of(index),
            "control_endpoint": f"{address(1, 1 + index)}:7402", "data_endpoint": f"{address(1, 1 + index)}:6080",
            "http_endpoint": f"{address(1, 1 + index)}:9000", "fabric_endpoint": fabric,
            "control_hosts": [host["http"] for host in control], "seeds": seeds,
            "cluster_keys": [{"id": 1, "file": "keys/cluster-1.key"}],
            "target_keys": [{"id": 1, "file": "keys/target.key"}],
            "data_folder": f"data/balancer-{1 + index}", "trace_file": f"log/trace-balancer-{1 + index}.json"}
    number = 0
    for kind, count in TARGETS.items():
        service = deployment.USERS[user][kind]
        for index in range(count):
            number += 1
            files[f"target-{number}"] = {
                "service": service, "data_centre": data_centre_of(index), "gue": f"{address(2, number)}:6080",
                "http": f"{address(2, number)}:8080", "fabric": fabric, "service_addresses": [addresses[service]],
                "announce_to": [f"{address(1, 1 + other)}:9000" for other in range(BALANCERS)
                                if data_centre_of(other) == data_centre_of(index)],
                "key_file": "keys/target.key"}
    load = f"{address(5, 1)}:6080"
    files["fabric-1"] = {"listen": fabric, "http": f"{address(4, 1)}:9000",
                         "balancers": [f"{address(1, 1 + index)}:6080" for index in range(BALANCERS)],
                         "callers": [{"prefix": deployment.CALLER_BASE + "/24", "endpoint": load}]}
    services = {kind: deployment.USERS[user][kind] for kind in TARGETS}
    files["load-1"] = {
        "local": load, "fabric": fabric, "caller_base": deployment.CALLER_BASE, "duration_ms": 3000,
        "flows": [{"service": services["flow"], "address": addresses[services["flow"]], "rate": 50, "hold_ms": 1500}],
        "requests": [{"service": services["request"], "address": addresses[services["request"]], "rate": 50}],
        "report_file": "log/report.json"}
    files["fighatchctl"] = {"control_hosts": [host["http"] for host in control],
                            "balancers": [f"{address(1, 1 + index)}:9000" for index in range(BALANCERS)],
                            "operator_key_file": "keys/operator.key", "author": "j.doe"}
    return files


def main():
    for user in deployment.USERS:
        folder = pathlib.Path(deployment.ROOT / "examples/deployments" / user)
        folder.mkdir(parents=True, exist_ok=True)
        for name, settings in settings_by_file(user).items():
            (folder / f"{name}.json").write_text(json.dumps(settings, indent=2) + "\n")


if __name__ == "__main__":
    sys.exit(main())
