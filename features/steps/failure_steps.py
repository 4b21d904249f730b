"""Steps that inject failures of processes, zones or the platform."""

import signal
import threading
import time
import uuid

from behave import given
from behave import step
from behave import then
from behave import when
import harness
import requests_steps
import traffic

LONG_REQUEST_MS = 1500


@given("traffic at every entry")
def start_traffic(context):
    context.traffic = traffic.Traffic(
        context.fleet, list(context.fleet.entries)
    )
    context.traffic.start()
    harness.wait_until(
        lambda: context.traffic.count("done") >= 50, 10, "responses to traffic"
    )


@given("a platform that takes {seconds:d} second for each call")
def slow_down_platform(context, seconds):
    set_platform_faults(context, {"slow_s": seconds}, {"slow_s": 0})


def set_platform_faults(context, changes, cleanup):
    context.fleet.platform("faults", changes)
    context.cleanups.append(
        lambda: context.fleet.platform("faults", changes | cleanup)
    )


@when("{entry_id} is killed")
def kill(context, entry_id):
    context.killed.add(entry_id)
    context.fleet.kill(entry_id)
    context.cleanups.append(lambda: restore(context, entry_id))


def restore(context, entry_id):
    context.fleet.replace(entry_id)
    context.fleet.wait_ready([entry_id])


@when("the platform announces that VM {vm_id} is leaving")
def announce_leaving(context, vm_id):
    context.fleet.platform("vms/leave", {"vm_id": vm_id})


@when("VM {vm_id} is terminated")
def terminate_vm(context, vm_id):
    context.fleet.platform("vms/terminate", {"vm_id": vm_id})


def get_backend_vm(context, vm_id):
    state = context.fleet.backend("state")
    (found,) = [vm for vm in state["vms"] if vm["vm_id"] == vm_id]
    return found | {"now_s": state["now_s"]}


@then("VM {vm_id} got no request in the last {seconds:d} seconds")
def check_no_request(context, vm_id, seconds):
    vm = get_backend_vm(context, vm_id)
    assert not vm["up"], vm
    assert vm["runs"] > 0, vm
    assert vm["last_arrival_s"] < vm["now_s"] - seconds, vm


@then("no request on VM {vm_id} was interrupted")
def check_no_interrupted_request(context, vm_id):
    assert get_backend_vm(context, vm_id)["cut_off"] == 0


@step("{seconds:d} seconds pass")
def wait(context, seconds):
    time.sleep(seconds)


@then("the other entries serve requests")
def check_other_entries(context):
    for entry_id in set(context.fleet.entries) - context.killed:
        check_idempotent_request(context, entry_id)


@then("every entry serves idempotent requests")
def check_all_entries(context):
    for entry_id in context.fleet.entries:
        check_idempotent_request(context, entry_id)


def check_idempotent_request(context, entry_id):
    request_id = str(uuid.uuid4())
    response = requests_steps.send(context, entry_id, False, request_id)
    assert response.outcome == "done", f"{entry_id}: {response}"


@then("no guarantee was violated")
def check_guarantees(context):
    context.traffic.stop()
    violations = context.traffic.find_violations(
        context.killed, context.stopped
    )
    assert not violations, "\n".join(violations[:20])
    for entry_id in set(context.fleet.entries) - context.killed:
        assert context.traffic.count("done", [entry_id]), entry_id


@when("a long request is in progress at {entry_id}")
def start_long_request(context, entry_id):
    context.request_id = str(uuid.uuid4())

    def run():
        context.response = requests_steps.send(
            context, entry_id, True, context.request_id, LONG_REQUEST_MS
        )

    context.long_request = threading.Thread(target=run)
    context.long_request.start()
    harness.wait_until(
        lambda: requests_steps.count_runs(context, context.request_id),
        5,
        "the long request is running",
    )


@when("{entry_id} is stopped gracefully")
def stop_gracefully(context, entry_id):
    context.stopped.add(entry_id)
    context.fleet.signal(entry_id, signal.SIGTERM)
    context.cleanups.append(lambda: restore(context, entry_id))


@then("the long request gets its response")
def check_long_request(context):
    context.long_request.join()
    requests_steps.check_response(context)


@then("{entry_id} ends with exit code {code:d}")
def check_exit(context, entry_id, code):
    found = context.fleet.processes[entry_id].wait(20)
    assert found == code, found


@when("the platform goes down")
def take_platform_down(context):
    set_platform_faults(context, {"down": True}, {"down": False})


@when("the platform recovers")
def bring_platform_up(context):
    context.fleet.platform("faults", {"down": False})


@when("the platform does not respond to zone {zone}")
def partition_zone(context, zone):
    port = context.fleet.platform_ports[harness.ZONES.index(zone)]
    changes = {"port": port, "silent": True}
    set_platform_faults(context, changes, {"silent": False})


@then("a charge with the caller's own key is refused as not run")
def check_refused(context):
    requests_steps.send_charge(context, "entry-taal-1")
    assert context.response.outcome == "not-run", context.response
    assert requests_steps.count_runs(context, context.request_id) == 0


@then("every entry serves charges within {seconds:d} seconds")
def check_charges(context, seconds):
    def charge_done(entry_id):
        requests_steps.send_charge(context, entry_id)
        return context.response.outcome == "done"

    for entry_id in context.fleet.entries:
        harness.wait_until(
            lambda entry_id=entry_id: charge_done(entry_id), seconds, entry_id
        )


def find_controllers(context):
    """Returns the entries that act as the controller."""
    return [
        entry_id
        for entry_id in context.fleet.entries
        if context.fleet.status(entry_id).get("control", {}).get("acting")
    ]


@when("the holder of the control lease is paused")
def pause_lease_holder(context):
    (context.paused,) = harness.wait_until(
        lambda: find_controllers(context),
        20,
        "an entry holds the control lease",
    )
    entry_id = context.paused
    context.fleet.signal(entry_id, signal.SIGSTOP)
    context.cleanups.append(
        lambda: context.fleet.signal(entry_id, signal.SIGCONT)
    )


@then("another entry holds the control lease within {seconds:d} seconds")
def check_new_lease_holder(context, seconds):
    others = set(context.fleet.entries) - {context.paused}

    def new_holders():
        statuses = [context.fleet.status(entry_id) for entry_id in others]
        return [s for s in statuses if s.get("control", {}).get("acting")]

    holders = harness.wait_until(new_holders, seconds, "a new holder")
    assert len(holders) == 1, holders


@when("the paused entry is resumed")
def resume_paused_entry(context):
    context.fleet.signal(context.paused, signal.SIGCONT)


@then(
    "the paused entry does not act as the controller within {seconds:d} seconds"
)
def check_not_acting(context, seconds):
    def only_others_act():
        holders = find_controllers(context)
        return len(holders) == 1 and context.paused not in holders

    harness.wait_until(
        only_others_act, seconds, "another entry is the only lease holder"
    )
