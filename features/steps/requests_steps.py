"""Steps that send requests and check their responses."""

import uuid

from behave import given
from behave import then
from behave import when


def send(context, entry_id, charge, request_id, work_ms=20, key=""):
    headers = {
        "Baobabdoor-Pool": "results-desk",
        "Baobabdoor-Caller": "race-officers",
        "X-Request-Id": request_id,
        "Standin-Work-Ms": str(work_ms),
    }
    if charge:
        headers["Idempotency-Key"] = key or request_id
        return context.fleet.send(
            entry_id, "/charge", headers, "POST", b"12 pesos"
        )
    return context.fleet.send(entry_id, "/result", headers)


def count_runs(context, request_id):
    return context.fleet.backend("runs", {"ids": [request_id]})[request_id]


@given("backend servers whose responses are {fault}")
def set_fault(context, fault):
    plan = {"vm": "*", "kind": fault, "delay_s": 0.5}
    context.fleet.backend("faults", plan)
    context.cleanups.append(
        lambda: context.fleet.backend("faults", {"vm": "*"})
    )


@when("a caller sends a request to {entry_id}")
def send_request(context, entry_id):
    context.request_id = str(uuid.uuid4())
    context.response = send(context, entry_id, False, context.request_id)


@when("a caller sends a charge to {entry_id}")
def send_charge(context, entry_id):
    context.request_id = str(uuid.uuid4())
    context.response = send(context, entry_id, True, context.request_id)


@given("a ticket of {entry_id}")
def get_ticket(context, entry_id):
    response = context.fleet.send(entry_id, "/v1/tickets", {}, "POST", b"")
    context.ticket = response.json()["ticket"]


@when("a caller sends a charge with the ticket to {entry_id}")
def send_ticket(context, entry_id):
    context.request_id = str(uuid.uuid4())
    context.response = send(
        context, entry_id, True, context.request_id, key=context.ticket
    )


@then("the charge never ran")
def check_no_run(context):
    assert count_runs(context, context.request_id) == 0


@when("{count:d} requests are sent to {entry_id}")
def send_many(context, count, entry_id):
    ids = [str(uuid.uuid4()) for _ in range(count)]
    context.responses = {
        request_id: send(context, entry_id, False, request_id, work_ms=1)
        for request_id in ids
    }


@then("every caller gets the complete response to its own request")
def check_all_responses(context):
    for request_id, response in context.responses.items():
        assert response.outcome == "done", response
        assert response.json()["request_id"] == request_id, response


@when("the same charge is sent again to {entry_id}")
def repeat_charge(context, entry_id):
    context.repeated = send(context, entry_id, True, context.request_id)


@then("the caller gets the complete response")
def check_response(context):
    assert context.response.outcome == "done", context.response
    assert context.response.json()["request_id"] == context.request_id


@then("the request ran once")
def check_single_run(context):
    assert count_runs(context, context.request_id) == 1


@then("the charge ran at most once")
def check_at_most_one_run(context):
    assert count_runs(context, context.request_id) <= 1


@then("the outcome is {outcome}")
def check_outcome(context, outcome):
    assert context.response.outcome == outcome, context.response


@then("both responses are the same")
def check_same_response(context):
    assert context.response.outcome == "done", context.response
    assert context.repeated.status == context.response.status, context.repeated
    assert context.repeated.body == context.response.body, context.repeated
