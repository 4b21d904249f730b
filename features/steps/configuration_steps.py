"""Steps of operators."""

from behave import then
from behave import when
import harness


@when("an operator switches to preset {name}")
def switch(context, name):
    done = context.fleet.operate("preset", "switch", name)
    assert done.returncode == 0, done.stdout + done.stderr


@then("every VM is rebooted within {seconds:d} seconds and within the budget")
def check_rebooted(context, seconds):
    def all_rebooted():
        for pool in context.fleet.pools("entry-taal-1"):
            assert pool["unavailable"] <= pool["budget"], pool
            assert pool["in_service"] >= pool["promised"], pool
        vms = context.fleet.platform("state")["vms"]
        return all(
            vm["state"] == "live" and not vm["boot_id"].endswith(".1")
            for vm in vms
            if vm["pool_hint"]
        )

    harness.wait_until(all_rebooted, seconds, "every VM is rebooted")
    switch(context, "ordinary")


@then("an operator cannot switch presets")
def check_cannot_switch(context):
    done = context.fleet.operate("preset", "switch", "maintenance")
    assert done.returncode in (1, 4), (done.returncode, done.stderr)
    assert "Traceback" not in done.stderr, done.stderr


@then("every entry shows preset {name} within {seconds:d} seconds")
def check_preset(context, name, seconds):
    def lagging():
        return [
            entry_id
            for entry_id in context.fleet.entries
            if context.fleet.status(entry_id).get("preset") != name
        ]

    harness.wait_until(lambda: not lagging(), seconds, f"preset {name}")
