"""Steps of operators."""

from behave import then
from behave import when
import harness

from baobabdoor import settings

# Time in which an entry learns of a change in another zone.
SHOWN_S = 10


@when("an operator switches to preset {name}")
def switch(context, name):
    done = context.fleet.operate("preset", "switch", name)
    assert done.returncode == 0, done.stdout + done.stderr


@then("every VM is rebooted within {seconds:d} seconds and within the budget")
def check_rebooted(context, seconds):
    promises = settings.load_deployment(str(harness.DEPLOYMENT)).presets
    promises = promises["maintenance"].pools

    def all_rebooted():
        state = context.fleet.platform("state")
        harness.check_budgets(state, promises)
        return all(
            vm["state"] == "live" and not vm["boot_id"].endswith(".1")
            for vm in state["vms"]
            if vm["pool_hint"]
        )

    harness.wait_until(all_rebooted, seconds, "every VM is rebooted")
    harness.wait_until(
        lambda: not any(
            pool["unavailable"] or pool["in_service"] < pool["promised"]
            for pool in context.fleet.pools("entry-taal-1")
        ),
        SHOWN_S,
        "the entry shows every VM in service",
    )
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
