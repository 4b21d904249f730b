"""Tests of the adapter to the users' platform."""

import asyncio
import json
import math
import pathlib
import re

from hypothesis import given
from hypothesis import strategies
import pytest
import scheduling_fixtures

from baobabdoor import base
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport

PACKAGE = pathlib.Path(__file__).parent.parent / "baobabdoor"
# Names of the platform's wire formats that no other package may contain.
WIRE_NAMES = re.compile(
    r"/api/|rows-(tx|get|feed|parts)|run-(start|stop)|machine-(move|upkeep)"
    r"|fencing-token|expected-rev|mem-mb|until-ms|last-seen|clock-ms|now-ms"
    r"|X-Lease-Holder|X-Fencing-Token|X-Expected-Instance|X-Deadline-Ms"
    r"|path-prefix|target-latency-ms|max-attempts|long-running|anti-affinity"
    r"|next-page-token|duration-s|BAOBABDOOR_CONFIG|\"op\"|\"servers\""
)

WORKER = {
    "service": "results",
    "address": "10.0.0.9:8080",
    "zone": "taal",
    "machine": "m-1",
    "state": "ready",
    "born": 1_700_000_000_000,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 1},
    "labels": ["a", "r1-3"],
    "seq": 4,
}


def encode(content):
    return json.dumps(content).encode()


class TestBoundary:

    def test_only_the_adapter_contains_wire_names(self):
        found = []
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if WIRE_NAMES.search(line):
                    found.append(f"{path.name}:{number}: {line.strip()}")
        assert not found


class TestWorkers:

    def test_entry_is_decoded(self):
        worker = platform.decode_worker("i-1", encode(WORKER))
        assert worker.pool == "results"
        assert worker.memory_mb == 32768
        assert worker.labels == {"a", "r1-3"}
        assert not worker.draining

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "sleeping"},
            {"address": 7},
            {"address": "nowhere"},
            {"service": None},
            {"capacity": [1]},
            {"capacity": {"cpu": "many"}},
            {"zone": 1},
            {"born": -1},
            {"born": 1.5},
            {"born": 10**400},
            {"capacity": {"cpu": -1}},
            {"capacity": {"mem-mb": -1}},
            {"capacity": {"gpus": -1}},
            {"capacity": {"cpu": 1.5}},
            {"labels": [7]},
            {"labels": [["a"]]},
        ],
        ids=lambda change: f"{change!s:.60}",
    )
    def test_malformed_entry_is_an_error(self, change):
        with pytest.raises(platform.MessageError):
            platform.decode_worker("i-1", encode(WORKER | change))

    @pytest.mark.parametrize(
        "address",
        [
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:99999",
            "10.0.0.1:8\u00b2",
            "10.0.0.1:\u0668\u0660",
            "10.0.0.1:-1",
            "10.0.0.1: 80",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1\0:80",
            "10.0.0.1:80\r\nX:80",
            "10.0.0.1/a:80",
            "10.0.0.256:80",
            "10.0.0:80",
            "host.example:80",
            "[::1]:80",
            ":80",
            "\ud800:80",
            "",
        ],
        ids=lambda address: f"{address!r:.40}",
    )
    def test_unusable_address_is_an_error(self, address):
        """The client raised for some of them, which ended each leader's term.

        Others would reach the head of a request.
        """
        content = encode(WORKER | {"address": address})
        with pytest.raises(platform.MessageError, match="address"):
            platform.decode_worker("i-1", content)

    @pytest.mark.parametrize(
        "worker_id",
        ["", " i", "i\r\nX: 1", "i\0", "\u00e9", "\u2028", "\ud800", "i\n"],
        ids=repr,
    )
    def test_id_that_no_header_can_contain_is_an_error(self, worker_id):
        with pytest.raises(platform.MessageError, match="id"):
            platform.decode_worker(worker_id, encode(WORKER))

    @pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b"7"])
    def test_unreadable_bytes_are_an_error(self, value):
        with pytest.raises(platform.MessageError):
            platform.decode_worker("i-1", value)

    @pytest.mark.parametrize("field", ["labels", "zone", "born", "capacity"])
    def test_nested_values_are_an_error(self, field):
        """Near the parser's limit, the text of a parsed value cannot be made.

        The error of that was not a `MessageError`.
        """
        text = encode(WORKER | {field: "@"})
        for levels in [*range(900, 1000), 100_000]:
            nested = b"[" * levels + b"]" * levels
            with pytest.raises(platform.MessageError):
                platform.decode_worker("i-1", text.replace(b'"@"', nested))


class TestJobs:

    STEP = {
        "count": 4,
        "cpu": 500,
        "mem-mb": 256,
        "estimate-ms": 900,
        "affinity": "r1-3",
        "anti-affinity": 2,
        "max-unavailable": 1,
        "long-running": True,
    }

    def test_job_is_decoded(self):
        body = encode({"spec": "text", "steps": [self.STEP]})
        spec = platform.decode_job("0" * 16, "race", body)
        (step,) = spec.steps
        assert step.task_count == 4
        assert step.data_rack == "r1-3"
        assert step.max_per_worker == 2
        assert step.max_unavailable == 1
        assert spec.long_running

    @pytest.mark.parametrize(
        "body",
        [
            {"steps": []},
            {"steps": [{"count": 1, "after": [0]}]},
            {"steps": [{"count": "many"}]},
            {"steps": [{"cpu": 1.5}]},
            {"spec": 7, "steps": [{"count": 1}]},
            {"spec": "x" * 5000, "steps": [{"count": 1}]},
        ],
        ids=str,
    )
    def test_malformed_job_is_an_error(self, body):
        with pytest.raises(platform.MessageError):
            platform.decode_job("0" * 16, "race", encode(body))


class TestConfiguration:

    def configuration(self):
        content = {
            "version": 7,
            "routes": [
                {
                    "name": "a",
                    "host": "H",
                    "path-prefix": "/a/",
                    "service": "p",
                    "priority": 1,
                    "max-attempts": 4,
                    "stretch": 1.6,
                    "target-latency-ms": 600,
                    "timeout-ms": 3000,
                },
                {
                    "name": "b",
                    "host": "h",
                    "path-prefix": "/a/b/",
                    "service": "p",
                },
            ],
            "services": [{"name": "p", "standby": True}],
        }
        return platform.decode_configuration(encode(content))

    def test_longest_prefix_selects_the_queue(self):
        configuration = self.configuration()
        assert configuration.find_queue("h", "/a/b/1").name == "b"
        assert configuration.find_queue("h", "/a/1").name == "a"
        assert configuration.find_queue("other", "/a/1") is None
        assert configuration.pools["p"].standby

    def test_configuration_without_a_version_is_an_error(self):
        with pytest.raises(platform.MessageError):
            platform.decode_configuration(
                encode({"routes": [], "services": []})
            )


class TestSettings:

    TEXT = """
node-name: edge-1
ip: 10.0.0.1
zone: taal
zones: {taal: luzon}
listen: {front: "10.0.0.1:80", ready: "10.0.0.1:81"}
internal-port-range: [7060, 7075]
bounds: {max-hold-ms: 6000, stop-timeout-ms: 250, migrate-s: 3}
platform: {address: "10.0.0.2:80"}
something-new: 7
"""

    def test_units_are_converted_and_unknown_fields_ignored(self, tmp_path):
        path = tmp_path / "boot.yaml"
        path.write_text(self.TEXT)
        settings = platform.load_settings(str(path))
        assert settings.max_lease_s == pytest.approx(6.0)
        assert settings.stop_timeout_s == pytest.approx(0.25)
        assert settings.store_address == "10.0.0.2:80"
        assert (settings.move_s, settings.maintenance_s) == (3, 2.0)

    def test_error_names_file_field_and_found_value(self, tmp_path):
        path = tmp_path / "boot.yaml"
        path.write_text(self.TEXT.replace("ip: 10.0.0.1", "ip: 7"))
        with pytest.raises(platform.SettingsError, match=r"boot.yaml: ip: .*7"):
            platform.load_settings(str(path))

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("memory-mb", "0"),
            ("memory-mb", "-200"),
            ("memory-mb", "47"),
            ("memory-mb", ".inf"),
            ("memory-mb", ".nan"),
            ("memory-mb", "large"),
            ("max-fds", "0"),
            ("max-fds", "-1"),
            ("max-fds", "263"),
            ("max-fds", "4096.5"),
        ],
    )
    def test_limit_that_serves_no_request_is_refused(
        self, tmp_path, field, value
    ):
        path = tmp_path / "boot.yaml"
        path.write_text(f"{self.TEXT}limits: {{{field}: {value}}}\n")
        with pytest.raises(
            platform.SettingsError, match=rf"boot.yaml: limits.{field}: .*found"
        ) as error:
            platform.load_settings(str(path))
        assert "\n" not in str(error.value)


class FixedClient:
    """HTTP client that answers each call with the same response."""

    def __init__(self, body, status=200):
        self.response = transport.Response(status, body, None)
        self.permits = []

    async def fetch(
        self,
        address,
        method,
        target,
        body=b"",
        headers="",
        timeout_s=1.0,
        permit=None,
    ):
        del address, method, target, body, headers, timeout_s
        self.permits.append(permit)
        return self.response


class TestReports:

    @pytest.mark.parametrize(
        "count,complete", [(0, True), (499, True), (500, False)]
    )
    def test_list_of_ends_at_its_limit_may_omit_others(self, count, complete):
        ends = [[n, f"a.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
        content = {"clock-ms": 5, "born": 1, "running": [], "ended": ends}
        client = platform.WorkerClient(FixedClient(json.dumps(content)))
        order = scheduling.HoldOrder(
            worker_id="w", address="10.0.0.1:1", token=1, last_seen=0
        )
        report = asyncio.run(client.hold(order))
        assert len(report.ended) == count
        assert report.lists_all_ends == complete

    def test_a_hold_that_may_no_longer_be_sent_is_not_sent(self):
        """Guards against a lease that is extended after its term."""
        order = scheduling.HoldOrder(
            worker_id="w",
            address="127.0.0.1:1",
            token=1,
            last_seen=0,
            until_ms=5000,
        )
        received = []

        async def hold(permit):
            async def accept(reader, writer):
                received.append(await reader.readline())
                writer.close()

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            client = transport.Client()
            client._find_peer(order.address).endpoint = server.sockets[
                0
            ].getsockname()[:2]
            result = await platform.WorkerClient(client).hold(order, permit)
            client.discard_peer(order.address)
            await asyncio.sleep(0.05)
            server.close()
            return result

        result = asyncio.run(hold(lambda: False))
        assert result.outcome is scheduling.OrderOutcome.WITHHELD
        assert not any(received)
        asyncio.run(hold(lambda: True))
        assert any(received)


class TestMachines:

    def list(self, body):
        client = platform.MachineClient(FixedClient(body), "10.0.0.7:1", "e")
        return asyncio.run(client.list_machines())

    def test_malformed_entry_is_skipped(self):
        good = {"machine": "m1", "pool": "p", "state": "up", "id": "w1"}
        entries = [
            good,
            good | {"state": "melted"},
            {"state": "up"},
            7,
            good | {"machine": [1]},
            good | {"machine": 7},
            good | {"machine": ""},
            good | {"id": {"a": 1}},
            good | {"pool": [[]]},
            good | {"zone": 7},
        ]
        client = platform.MachineClient(
            FixedClient(encode({"machines": entries})), "10.0.0.7:1", "e"
        )
        (record,) = asyncio.run(client.list_machines())
        assert record.machine == "m1"
        assert client.entries_ignored_ == len(entries) - 1

    def test_nested_entry_is_skipped(self):
        """The text of a nested entry could not be made, which ended the term.

        The limit of nesting depends on the depth of the stack.
        """
        for levels in range(900, 1000):
            nested = b"[" * levels + b"]" * levels
            result = self.list(b'{"machines": [' + nested + b"]}")
            # Deeper lists cannot be parsed at all.
            assert result == () or isinstance(result, base.Refusal)

    def test_page_token_that_cannot_be_encoded(self):
        pages = [b'{"machines": [], "next-page-token": "\\ud800"}']
        client = FixedClient(b'{"machines": []}')
        fetch = client.fetch

        async def fetch_pages(*arguments, **options):
            answer = await fetch(*arguments, **options)
            if pages:
                return transport.Response(200, pages.pop(), None)
            return answer

        client.fetch = fetch_pages
        machines = platform.MachineClient(client, "10.0.0.7:1", "e")
        assert asyncio.run(machines.list_machines()) == ()

    @pytest.mark.parametrize("page", [{}, {"next-page-token": None}])
    def test_last_page_names_no_other(self, page):
        assert self.list(encode({"machines": []} | page)) == ()

    @pytest.mark.parametrize("body", [b"{", b"[]", b"{}"])
    def test_unreadable_list_is_a_refusal(self, body):
        assert isinstance(self.list(body), base.Refusal)

    def test_orders_are_sent_only_with_a_permit(self):
        fixed = FixedClient(b"{}")
        client = platform.MachineClient(fixed, "10.0.0.7:1", "e")

        def permit():
            return True

        asyncio.run(client.move("m1", "p", 3, permit))
        asyncio.run(client.start_maintenance("m1", 1, 3, permit))
        assert fixed.permits == [permit, permit]


# Values of wrong types, out of range, and of the right type.
VALUES = strategies.recursive(
    strategies.sampled_from(
        [None, True, -1, 0, 7, 10**400, 1.5, float("nan"), "", "x", 2**53]
    ),
    lambda inner: strategies.lists(inner, max_size=5)
    | strategies.dictionaries(strategies.text(max_size=2), inner, max_size=2),
    max_leaves=6,
)


def messages(template):
    """Messages that differ from a valid one in one or two fields."""
    change = strategies.dictionaries(
        strategies.sampled_from(sorted(template)), VALUES, max_size=2
    )
    return strategies.one_of(
        change.map(lambda fields: encode(template | fields)),
        VALUES.map(encode),
        strategies.sampled_from([b"", b"{", b"\xff", b"[" * 100_000]),
    )


class TestMalformedMessages:
    """A malformed message costs only itself: no other error is raised."""

    REPORT = {
        "clock-ms": 5,
        "born": 1,
        "running": [["a.0.0.0", 1, "", 40, 7]],
        "ended": [[1, "a.0.0.1", 1, "done", ""]],
    }
    ROWS = {
        "rows": [{"table": "t", "key": "k", "value": "", "ver": 1}],
        "ver": 4,
        "now-ms": 9,
    }
    JOB = {
        "spec": "text",
        "steps": [{"count": 2, "cpu": 100, "estimate-ms": 900}],
        "repeat-count": 0,
        "start-at-ms": 0,
        "interval-ms": 0,
    }
    ORDER = {"worker_id": "w", "address": "10.0.0.1:1", "token": 1}
    STATUSES = strategies.sampled_from([200, 400, 409, 412, 421, 500, 503])

    @given(
        messages(WORKER), strategies.text(max_size=6) | strategies.just("i-1")
    )
    def test_entries_of_the_list_of_workers(self, value, worker_id):
        self.check_entry(worker_id, value)

    @given(
        strategies.one_of(
            strategies.text(),
            strategies.from_regex(r"[0-9.]{1,16}:\d{1,6}", fullmatch=True),
            strategies.from_regex(
                r"127\.0\.0\.[0-9]{1,3}:[0-9]{1,5}", fullmatch=True
            ),
        )
    )
    def test_addresses_of_workers(self, address):
        self.check_entry("i-1", encode(WORKER | {"address": address}))

    @given(strategies.text() | strategies.from_regex(r"[ -~]+", fullmatch=True))
    def test_ids_of_workers(self, worker_id):
        self.check_entry(worker_id, encode(WORKER))

    def check_entry(self, worker_id, value):
        """Checks that a worker that is decoded can be called."""
        try:
            worker = platform.decode_worker(worker_id, value)
        except platform.MessageError:
            return
        assert min(worker.cpu_milli, worker.memory_mb, worker.gpus) >= 0
        assert worker.start_time_ms >= 0
        asyncio.run(self.call(worker))
        scheduler = scheduling_fixtures.Fleet().scheduler
        scheduler.observe_worker(worker, 1001.0)
        scheduler.plan(1001.0, True)

    async def call(self, worker):
        """Checks what reaches a worker, on a connection that is given."""
        heads = []

        async def answer(reader, writer):
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            body = b'{"clock-ms": 5}'
            length = f"Content-Length: {len(body)}\r\n\r\n".encode()
            writer.write(b"HTTP/1.1 200 OK\r\n" + length + body)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        client = transport.Client()
        # Connects to the server instead of the address in the entry.
        client._find_peer(worker.address).endpoint = server.sockets[
            0
        ].getsockname()[:2]
        order = scheduling.HoldOrder(
            worker_id=worker.worker_id,
            address=worker.address,
            token=1,
            last_seen=0,
        )
        report = await platform.WorkerClient(client).hold(order)
        server.close()
        assert isinstance(report, scheduling.WorkerReport)
        lines = heads[0].decode("ascii").split("\r\n")
        assert [line.partition(":")[0] for line in lines[1:]] == [
            "Host",
            "Content-Type",
            "X-Expected-Instance",
            "Content-Length",
            "",
            "",
        ]
        assert lines[1] == f"Host: {worker.address}"
        assert lines[3] == f"X-Expected-Instance: {worker.worker_id}"

    @given(messages(REPORT), STATUSES)
    def test_answers_of_workers(self, body, status):
        client = platform.WorkerClient(FixedClient(body, status))
        hold = scheduling.HoldOrder(last_seen=0, **self.ORDER)
        report = asyncio.run(client.hold(hold))
        if isinstance(report, scheduling.WorkerReport):
            scheduler = scheduling_fixtures.Fleet().scheduler
            scheduler.observe_report("w1", report, hold.token, 1001.0)
            scheduler.plan(1001.0, True)
        stop = scheduling.StopOrder(task="a.0.0.0", run_id=1, **self.ORDER)
        result = asyncio.run(client.stop(stop))
        assert isinstance(result, scheduling.OrderResult)

    @given(messages(ROWS), STATUSES)
    def test_answers_of_the_store(self, body, status):
        client = platform.StoreClient(FixedClient(body, status), "a:1")
        asyncio.run(client.read("t"))
        asyncio.run(client.transact())

    @given(messages({"machines": [], "reason": "fence"}), STATUSES)
    def test_answers_of_the_machine_service(self, body, status):
        client = platform.MachineClient(FixedClient(body, status), "a:1", "e")
        outcome = asyncio.run(client.move("m", "p", 1, lambda: True))
        assert isinstance(outcome, platform.MachineOutcome)

    @given(messages({"allowed": [["w", "t"]], "valid-ms": 1}), STATUSES)
    def test_answers_of_the_advice_service(self, body, status):
        client = platform.AdviceClient(FixedClient(body, status), "a:1")
        asyncio.run(client.ask(scheduling.AdviceRequest("a.0.0", ("w",))))

    @given(messages(JOB), VALUES, VALUES)
    def test_jobs_of_callers(self, body, cpu, estimate):
        steps = [{"count": 2, "cpu": cpu, "estimate-ms": estimate}]
        for content in (body, encode(self.JOB | {"steps": steps})):
            try:
                spec = platform.decode_job("00000000000000a1", "race", content)
            except platform.MessageError:
                continue
            scheduler = scheduling_fixtures.Fleet().scheduler
            job = scheduler.submit(spec, 1000.0)
            scheduler.plan(1000.0, True)
            scheduler.autoscaler.plan(1000.0)
            if isinstance(job, scheduling.Job):
                scheduling.decode_job(spec.job_id, job.encode(), 1)

    def test_payload_with_a_lone_surrogate_is_kept(self):
        """The error of its encoding was not a `MessageError`."""
        body = b'{"spec": "\\ud800", "steps": [{"count": 1}]}'
        spec = platform.decode_job("00000000000000a1", "race", body)
        assert spec.payload == "\ud800"

    @pytest.mark.parametrize("store_ms", ["1e400", "NaN", "9" * 400])
    def test_clock_of_the_store_that_is_not_finite(self, store_ms):
        body = b'{"rows": [], "ver": 1, "now-ms": @}'
        client = platform.StoreClient(
            FixedClient(body.replace(b"@", store_ms.encode())), "10.0.0.1:1"
        )
        assert isinstance(asyncio.run(client.read("t")), base.Refusal)
        assert math.isfinite(client.now_ms())

    def test_job_with_too_many_occurrences_is_refused(self):
        body = encode(self.JOB | {"repeat-count": 10**9})
        with pytest.raises(platform.MessageError, match="repeat-count"):
            platform.decode_job("00000000000000a1", "race", body)


class TestWaves:

    def test_wave_is_decoded_and_its_state_encoded(self):
        wave = platform.decode_wave(
            encode(
                {"wave": 1, "machines": ["m-1"], "duration-s": 20, "maximum": 2}
            )
        )
        assert wave == scheduling.Wave(1, ("m-1",), 20.0, 2)
        state = json.loads(platform.encode_wave_state(wave, True))
        assert state == {"wave": 1, "state": "completed"}
