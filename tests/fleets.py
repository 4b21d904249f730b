"""Sample fleets for the tests of planners."""

import pathlib

import attrs

from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.measure import _fleet_model

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DAY_MS = 86_400_000
WALL_MS = _fleet_model.START_WALL_MS


def deployment(name="federation"):
    return settings.load_deployment(str(EXAMPLES / f"{name}.yaml"))


def snapshot(of_deployment, **changes):
    """Returns the deployment's fleet with some fields of some VMs changed."""
    vms = {vm.vm_id: vm for vm in _fleet_model.lay_out(of_deployment)}
    for vm_id, fields in changes.items():
        vm_id = vm_id.replace("_", "-")
        vms[vm_id] = attrs.evolve(vms[vm_id], **fields)
    return ownership.FleetSnapshot(vms)


def failed_reboot(pool, since_ms=WALL_MS):
    return {
        "phase": ownership.Phase.FAILED,
        "target_pool": pool,
        "intent": "reboot",
        "phase_since_ms": since_ms,
    }
