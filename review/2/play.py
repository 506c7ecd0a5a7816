"""Two control machines are replaced as planned, and later one control host loses its disk after an acknowledgement."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
sys.dont_write_bytecode = True

import small_system as small  # noqa: E402

# A removed machine stops counting as lost once its successor has had CatchupS. This is longer than GraceS and CatchupS
# together, so that the removals and the loss of a disk lie apart on any reading.
CALM_S = 12.0
DARK_S = 3.0  # How long the host that lost its disk is without power.
READ_BACK_S = 40.0  # Longer than RecoveryS (12), StableWindowMs (4) and MaxStretchMs (12) together.


def replace_two(system, operator):
    """Planned replacement: the new machines come first, and the old ones are stopped once those have had their time."""
    retired = system.controls[:2]
    for number in (4, 5):
        successor = system.add("control", f"127.{system.network}.1.{number}")
        successor.start()
        operator.append(successor.address)
    time.sleep(small.CATCHUP_S + 1.0)
    for old in retired:
        operator.remove(old.address)
        old.stop()
        time.sleep(CALM_S)


def play(system):
    for control in system.controls:
        control.start(bootstrap=True)
    operator = list(system.control_addresses)
    if system.put_config(operator, small.document(3))[0] != 200:
        raise small.CouldNotRun("the first configuration is not acknowledged")
    time.sleep(small.STABLE_WINDOW_S)

    if small.TROUBLE:
        replace_two(system, operator)
    else:
        time.sleep(small.CATCHUP_S + 1.0 + 2 * CALM_S)

    status, acknowledged_by = system.put_config(operator, small.document(7))
    if status != 200:
        raise small.CouldNotRun("the second configuration is not acknowledged")
    if small.TROUBLE:
        wiped = next(daemon for daemon in system.daemons if daemon.address == acknowledged_by)
        wiped.kill()
        wiped.delete_disk()
        time.sleep(DARK_S)
        wiped.start()

    seen = system.read_version(operator, limit_s=READ_BACK_S)
    if seen is None:
        for daemon in system.daemons:
            status = system.request(daemon.address, "GET", "/config")[0]
            system.record(f"at the end: {daemon.address} running={daemon.is_running()} GET /config: {status}")
        return f"version 7 was acknowledged; read back, it does not come for {READ_BACK_S:.0f} s"
    if seen < 7:
        return f"version 7 was acknowledged; read back, it is {seen}"
    if system.put_config(operator, small.document(9))[0] != 200:
        return "a further valid configuration is not acknowledged"
    return None


sys.exit(small.run_case(FOLDER, play))
