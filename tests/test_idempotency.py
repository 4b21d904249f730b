"""Tests of tickets, claims on callers' keys and encoded results."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import idempotency
from baobabdoor import requests
from baobabdoor import standin

RESPONSE = requests.Response(200, "OK", [("X-A", "1")], b"\x00body")
UNKNOWN = requests.Failure(
    requests.Outcome.UNKNOWN, base.Refusal(base.Reason.TIMEOUT, "s")
)
NOT_RUN = requests.Failure(
    requests.Outcome.NOT_RUN, base.Refusal(base.Reason.QUEUE_FULL, "s")
)


def make_tickets(entry_id="entry-1", incarnation="1", **options):
    return idempotency.Tickets(entry_id, incarnation, bytes(16), **options)


def reason_of(result):
    return result.refusal.reason.value


class TestTickets:

    @pytest.mark.parametrize(
        ("field", "value", "outcome", "reason"),
        [
            ("mac", "0" * 32, "not-run", "forged"),
            ("number", 7 << 32, "not-run", "forged"),
            ("incarnation", "2", "unknown", "peer-gone"),
            ("entry_id", "entry-2", "unknown", "peer-gone"),
        ],
    )
    def test_altered_ticket_is_never_started(
        self, field, value, outcome, reason
    ):
        tickets = make_tickets()
        parts = tickets.issue(0.0).split(".")
        names = ("entry_id", "incarnation", "number", "mac")
        fields = dict(zip(names, parts, strict=True)) | {field: value}
        ticket = idempotency.parse_ticket(
            ".".join(str(part) for part in fields.values())
        )
        result = tickets.begin(ticket, "f", 0.0)
        assert result.outcome.value == outcome
        assert reason_of(result) == reason

    def test_key_of_a_caller_is_not_a_ticket(self):
        assert idempotency.parse_ticket("order-17") is None

    def test_other_request_with_the_ticket_is_refused(self):
        tickets = make_tickets()
        ticket = idempotency.parse_ticket(tickets.issue(0.0))
        tickets.finish(tickets.begin(ticket, "f", 0.0), RESPONSE)
        other = tickets.begin(ticket, "g", 1.0)
        assert (other.status, reason_of(other)) == (422, "fingerprint-mismatch")
        assert tickets.begin(ticket, "f", 1.0) == RESPONSE

    def test_evicted_response_is_unknown_and_not_run_again(self):
        tickets = make_tickets(max_stored_bytes=9)
        parsed = [
            idempotency.parse_ticket(tickets.issue(0.0)) for _ in range(2)
        ]
        for ticket in parsed:
            tickets.finish(tickets.begin(ticket, "f", 0.0), RESPONSE)
        assert reason_of(tickets.begin(parsed[0], "f", 0.0)) == "unknown-result"
        assert tickets.begin(parsed[1], "f", 0.0) == RESPONSE

    def test_full_memory_refuses_instead_of_evicting_records(self):
        tickets = make_tickets(max_started=1)
        first, second = (
            idempotency.parse_ticket(tickets.issue(0.0)) for _ in range(2)
        )
        tickets.finish(tickets.begin(first, "f", 0.0), RESPONSE)
        assert reason_of(tickets.begin(second, "f", 0.0)) == "no-capacity"
        assert tickets.begin(first, "f", 0.0) == RESPONSE

    @given(st.data())
    def test_ticket_runs_at_most_once_for_any_sequence(self, data):
        # Guards against a record that is removed while its ticket is valid, and
        # against a ticket that is started after it has expired.
        tickets = make_tickets(validity_s=5, max_started=3, max_stored_bytes=10)
        issued = []
        started = {}
        runs = {}
        now_s = 0.0
        for _ in range(data.draw(st.integers(1, 40))):
            action = data.draw(
                st.sampled_from(["issue", "begin", "finish", "wait", "expire"])
            )
            if action == "issue":
                issued.append((now_s, tickets.issue(now_s)))
            elif action == "wait":
                now_s += data.draw(st.sampled_from([0.1, 1.0, 4.0]))
            elif action == "expire":
                tickets.expire(now_s)
            elif action == "begin" and issued:
                issued_s, text = data.draw(st.sampled_from(issued))
                ticket = idempotency.parse_ticket(text)
                result = tickets.begin(ticket, "f", now_s)
                if isinstance(result, idempotency.StartedTicket):
                    assert now_s < issued_s + 5
                    assert text not in runs
                    started[text] = result
                    runs[text] = 1
            elif action == "finish" and started:
                text = data.draw(st.sampled_from(sorted(started)))
                result = data.draw(
                    st.sampled_from([RESPONSE, UNKNOWN, NOT_RUN])
                )
                tickets.finish(started.pop(text), result)
                if result is NOT_RUN:
                    del runs[text]
        assert len(tickets.records_) <= 3

    def test_memory_is_freed_after_expiry(self):
        tickets = make_tickets()
        for _ in range(100):
            ticket = idempotency.parse_ticket(tickets.issue(0.0))
            tickets.finish(tickets.begin(ticket, "f", 0.0), RESPONSE)
        tickets.expire(600.0)
        assert not tickets.records_
        assert not tickets.stored_sizes_
        assert tickets.stored_bytes_ == 0


class ClaimBench:
    """Entries that share one table, in virtual time."""

    def __init__(self):
        self.timers = base.VirtualTimerService()
        self.core = standin.PlatformCore(self.timers)
        self.services = []

    def entry(self, entry_id="entry-1"):
        service = standin.MemoryPlatform(self.timers, self.core)
        self.services.append(service)
        return idempotency.Claims(service, self.timers, entry_id, "1")

    def row(self, key="k"):
        return self.core.read([f"claim/c/{key}"])[f"claim/c/{key}"]

    async def begin(self, claims, key="k", fingerprint="f", wait_s=0.1):
        task = asyncio.ensure_future(claims.begin("c", key, fingerprint))
        await standin.advance(self.timers, wait_s)
        return task.result() if task.done() else task

    async def finish(self, claims, claim, result):
        claims.finish(claim, result)
        await standin.advance(self.timers, 0.1)


def run(scenario):
    return asyncio.run(scenario(ClaimBench()))


class TestClaims:

    def test_one_of_two_entries_claims_and_the_other_replays(self):
        async def scenario(bench):
            first, second = bench.entry(), bench.entry("entry-2")
            claim = await bench.begin(first)
            assert isinstance(claim, idempotency.Claim)
            busy = await bench.begin(second)
            assert (busy.outcome.value, reason_of(busy)) == (
                "unknown",
                "key-in-use",
            )
            await bench.finish(first, claim, RESPONSE)
            assert await bench.begin(second) == RESPONSE
            assert await bench.begin(first) == RESPONSE
            other = await bench.begin(second, fingerprint="g")
            assert other.status == 422

        run(scenario)

    def test_claims_of_20_ms_share_a_write(self):
        async def scenario(bench):
            claims = bench.entry()
            tasks = [
                asyncio.ensure_future(claims.begin("c", f"k{number}", "f"))
                for number in range(50)
            ]
            await standin.advance(bench.timers, 0.021)
            assert all(
                isinstance(task.result(), idempotency.Claim) for task in tasks
            )
            assert bench.core.calls["transact"] == 1

        run(scenario)

    def test_one_claimed_key_does_not_fail_its_batch(self):
        async def scenario(bench):
            other = bench.entry("entry-2")
            await bench.begin(other, "k1")
            claims = bench.entry()
            tasks = [
                asyncio.ensure_future(claims.begin("c", key, "f"))
                for key in ("k0", "k1", "k2")
            ]
            await standin.advance(bench.timers, 0.1)
            kinds = [type(task.result()).__name__ for task in tasks]
            assert kinds == ["Claim", "Failure", "Claim"]

        run(scenario)

    @pytest.mark.parametrize(
        "fault", [{"lose_answers": 1}, {"delay_writes": 1, "delay_s": 60}]
    )
    def test_unknown_write_is_resolved_before_use(self, fault):
        async def scenario(bench):
            claims = bench.entry()
            bench.services[0].faults.update(fault)
            claim = await bench.begin(claims, wait_s=3.0)
            assert isinstance(claim, idempotency.Claim)
            await standin.advance(bench.timers, 120.0)
            # The delayed write must not have replaced the row.
            assert bench.row().version == claim.version
            await bench.finish(claims, claim, RESPONSE)
            assert bench.row().value["state"] == "done"

        run(scenario)

    @pytest.mark.parametrize(
        "fault", [{"lose_answers": -1}, {"delay_writes": -1, "delay_s": 40}]
    )
    def test_abandoned_claim_is_refused_and_released_later(self, fault):
        # Guards against a request that is sent without a claim, and against a
        # key that stays claimed by a write that took effect too late.
        async def scenario(bench):
            claims = bench.entry()
            bench.services[0].faults.update(fault)
            task = await bench.begin(claims, wait_s=1.0)
            bench.services[0].faults.update({"silent": True})
            await standin.advance(bench.timers, 20.0)
            refused = task.result()
            assert refused.outcome is requests.Outcome.NOT_RUN
            bench.services[0].faults.update(
                {"silent": False, "lose_answers": 0, "delay_writes": 0}
            )
            await standin.advance(bench.timers, 60.0)
            assert bench.row().value["state"] == "abandoned"
            again = await bench.begin(bench.entry("entry-2"))
            assert isinstance(again, idempotency.Claim)

        run(scenario)

    def test_platform_down_is_refused_as_not_run(self):
        async def scenario(bench):
            claims = bench.entry()
            bench.services[0].faults.update({"down": True})
            refused = await bench.begin(claims)
            assert refused.outcome is requests.Outcome.NOT_RUN
            assert reason_of(refused) == "platform-unavailable"
            assert bench.row().version == 0

        run(scenario)

    @pytest.mark.parametrize(
        ("result", "state", "repeat"),
        [
            (NOT_RUN, "abandoned", "Claim"),
            (UNKNOWN, "unknown", "Failure"),
            (
                requests.Response(200, "OK", [], b"x" * 20_000),
                "done",
                "Failure",
            ),
        ],
    )
    def test_outcome_determines_the_result_of_a_repeat(
        self, result, state, repeat
    ):
        async def scenario(bench):
            claims = bench.entry()
            await bench.finish(claims, await bench.begin(claims), result)
            assert bench.row().value["state"] == state
            again = await bench.begin(claims)
            assert type(again).__name__ == repeat
            if repeat == "Failure":
                assert again.outcome is requests.Outcome.UNKNOWN

        run(scenario)

    def test_deleted_row_can_be_claimed(self):
        async def scenario(bench):
            key = "claim/c/k"
            bench.core.transact([], [fleet_api.Write(key, {"state": "done"})])
            bench.core.transact([], [fleet_api.Write(key, None)])
            claim = await bench.begin(bench.entry())
            assert claim.version == 3

        run(scenario)


class TestResults:

    @pytest.mark.parametrize("result", [RESPONSE, UNKNOWN, NOT_RUN])
    def test_round_trip(self, result):
        data = idempotency.to_json(result)
        assert idempotency.from_json(data) == result

    @given(
        st.recursive(
            st.none() | st.text(max_size=5) | st.integers(),
            lambda inner: st.dictionaries(
                st.sampled_from(["outcome", "status", "headers", "body"]),
                inner | st.just("done"),
            ),
        )
    )
    def test_malformed_value_is_unknown(self, data):
        assert idempotency.from_json(data).outcome is requests.Outcome.UNKNOWN
