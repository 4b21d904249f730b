"""Steps that make processes, zones or the platform fail."""

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

LONG_MS = 1500


@given("traffic at every entry")
def start_traffic(context):
    context.traffic = traffic.Traffic(
        context.fleet, list(context.fleet.entries)
    )
    context.traffic.start()
    harness.wait_until(
        lambda: context.traffic.count("done") >= 50, 10, "traffic flows"
    )


@given("a platform that takes {seconds:d} second for each call")
def slow_platform(context, seconds):
    set_platform(context, {"slow_s": seconds}, {"slow_s": 0})


def set_platform(context, changes, cleanup):
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


def backend_vm(context, vm_id):
    state = context.fleet.backend("state")
    (found,) = [vm for vm in state["vms"] if vm["vm_id"] == vm_id]
    return found | {"now_s": state["now_s"]}


@then("VM {vm_id} got no request in the last {seconds:d} seconds")
def check_no_request(context, vm_id, seconds):
    vm = backend_vm(context, vm_id)
    assert not vm["up"], vm
    assert vm["runs"] > 0, vm
    assert vm["last_arrival_s"] < vm["now_s"] - seconds, vm


@then("no request on VM {vm_id} was cut off")
def check_cut_off(context, vm_id):
    assert backend_vm(context, vm_id)["cut_off"] == 0


@step("{seconds:d} seconds pass")
def let_pass(context, seconds):
    time.sleep(seconds)


@then("the other entries answer")
def check_others(context):
    for entry_id in set(context.fleet.entries) - context.killed:
        check_idempotent(context, entry_id)


@then("every entry answers idempotent requests")
def check_all(context):
    for entry_id in context.fleet.entries:
        check_idempotent(context, entry_id)


def check_idempotent(context, entry_id):
    request_id = str(uuid.uuid4())
    answer = requests_steps.send(context, entry_id, False, request_id)
    assert answer.outcome == "done", f"{entry_id}: {answer}"


@then("no promise was broken")
def check_promises(context):
    context.traffic.stop()
    problems = context.traffic.problems(context.killed, context.stopped)
    assert not problems, "\n".join(problems[:20])
    for entry_id in set(context.fleet.entries) - context.killed:
        assert context.traffic.count("done", [entry_id]), entry_id


@when("a long request is in progress at {entry_id}")
def start_long(context, entry_id):
    context.request_id = str(uuid.uuid4())

    def run():
        context.answer = requests_steps.send(
            context, entry_id, True, context.request_id, LONG_MS
        )

    context.long = threading.Thread(target=run)
    context.long.start()
    harness.wait_until(
        lambda: requests_steps.runs(context, context.request_id),
        5,
        "the long request runs",
    )


@when("{entry_id} is asked to stop")
def ask_to_stop(context, entry_id):
    context.stopped.add(entry_id)
    context.fleet.signal(entry_id, signal.SIGTERM)
    context.cleanups.append(lambda: restore(context, entry_id))


@then("the long request gets its answer")
def check_long(context):
    context.long.join()
    requests_steps.check_answer(context)


@then("{entry_id} ends with exit code {code:d}")
def check_exit(context, entry_id, code):
    found = context.fleet.processes[entry_id].wait(20)
    assert found == code, found


@when("the platform goes down")
def platform_down(context):
    set_platform(context, {"down": True}, {"down": False})


@when("the platform comes back")
def platform_up(context):
    context.fleet.platform("faults", {"down": False})


@when("the platform is silent to zone {zone}")
def cut_zone_off(context, zone):
    port = context.fleet.platform_ports[harness.ZONES.index(zone)]
    changes = {"port": port, "silent": True}
    set_platform(context, changes, {"silent": False})


@then("a charge with the caller's own key is refused as not run")
def check_refused(context):
    requests_steps.send_charge(context, "entry-taal-1")
    assert context.answer.outcome == "not-run", context.answer
    assert requests_steps.runs(context, context.request_id) == 0


@then("every entry answers charges within {seconds:d} seconds")
def check_charges(context, seconds):
    def charge_done(entry_id):
        requests_steps.send_charge(context, entry_id)
        return context.answer.outcome == "done"

    for entry_id in context.fleet.entries:
        harness.wait_until(
            lambda entry_id=entry_id: charge_done(entry_id), seconds, entry_id
        )


def acting(context):
    """Returns the entries that act as the controller."""
    return [
        entry_id
        for entry_id in context.fleet.entries
        if context.fleet.status(entry_id).get("control", {}).get("acting")
    ]


@when("the holder of the control lease is paused")
def pause_holder(context):
    (context.paused,) = harness.wait_until(
        lambda: acting(context), 20, "an entry holds the control lease"
    )
    entry_id = context.paused
    context.fleet.signal(entry_id, signal.SIGSTOP)
    context.cleanups.append(
        lambda: context.fleet.signal(entry_id, signal.SIGCONT)
    )


@then("another entry holds the control lease within {seconds:d} seconds")
def check_new_holder(context, seconds):
    others = set(context.fleet.entries) - {context.paused}

    def new_holders():
        statuses = [context.fleet.status(entry_id) for entry_id in others]
        return [s for s in statuses if s.get("control", {}).get("acting")]

    holders = harness.wait_until(new_holders, seconds, "a new holder")
    assert len(holders) == 1, holders


@when("the paused entry goes on")
def resume(context):
    context.fleet.signal(context.paused, signal.SIGCONT)


@then(
    "the paused entry does not act as the controller within {seconds:d} seconds"
)
def check_not_acting(context, seconds):
    def only_others_act():
        holders = acting(context)
        return len(holders) == 1 and context.paused not in holders

    harness.wait_until(only_others_act, seconds, "one holder, not the paused")
