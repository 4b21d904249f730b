"""Steps of operators that change and check the configuration."""

from behave import then
from behave import when
import harness

from baobabdoor import settings

# Maximum time until an entry sees a change in another zone.
PROPAGATION_TIMEOUT_S = 10


@when("an operator switches to preset {name}")
def switch_preset(context, name):
    result = context.fleet.run_operator_command("preset", "switch", name)
    assert result.returncode == 0, result.stdout + result.stderr


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
        PROPAGATION_TIMEOUT_S,
        "the entry shows every VM in service",
    )
    switch_preset(context, "ordinary")


@then("an operator cannot switch presets")
def check_cannot_switch(context):
    result = context.fleet.run_operator_command(
        "preset", "switch", "maintenance"
    )
    assert result.returncode in (1, 4), (result.returncode, result.stderr)
    assert "Traceback" not in result.stderr, result.stderr


@then("every entry shows preset {name} within {seconds:d} seconds")
def check_preset(context, name, seconds):
    def lagging():
        return [
            entry_id
            for entry_id in context.fleet.entries
            if context.fleet.status(entry_id).get("preset") != name
        ]

    harness.wait_until(lambda: not lagging(), seconds, f"preset {name}")
