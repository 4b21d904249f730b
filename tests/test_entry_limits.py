"""Tests of an entry's limits and of what its control port reads."""

import asyncio
import hashlib
import json

import attrs
import entry_harness
import pytest
import request_fakes as fakes
from tornado import httputil

from baobabdoor import control
from baobabdoor import membership
from baobabdoor import settings
from baobabdoor import transport
from baobabdoor.entry import _limits

MEGABYTE = 1024 * 1024
KEY = b"k" * 32
TEXT = """
entry_id: entry-1
region: luzon
availability_zone: taal
caller: {host: 127.0.0.1, port: 1}
control: {host: 127.0.0.1, port: 2}
platform: {host: 127.0.0.1, port: 3}
peer_key: kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk
operator_token: tttttttttttttttt
"""
FIELDS = (
    "max_body_bytes",
    "max_job_bytes",
    "max_document_bytes",
    "memory_mb",
    "max_descriptors",
    "header_timeout_s",
    "body_timeout_s",
    "response_timeout_s",
    "idle_timeout_s",
)


def load(line):
    entry_settings = settings.parse_entry(f"{TEXT}{line}\n", "entry.yaml")
    _limits.check(entry_settings, "entry.yaml")
    return entry_settings


class TestSettings:

    @pytest.mark.parametrize("value", ["0", "-1", ".nan", ".inf", "large"])
    @pytest.mark.parametrize("field", FIELDS)
    def test_unusable_limit_gets_one_line_with_its_name(self, field, value):
        with pytest.raises(settings.SettingsError) as error:
            load(f"{field}: {value}")
        (line,) = error.value.describe()
        assert line.startswith(f"entry.yaml:10: {field}: expected ")

    def test_memory_too_small_for_one_request_is_refused(self):
        assert load("").memory_mb == 64
        with pytest.raises(settings.SettingsError, match="memory_mb: expected"):
            load("memory_mb: 63")
        with pytest.raises(settings.SettingsError, match="memory_mb: expected"):
            load("max_body_bytes: 5000000")
        assert load("max_body_bytes: 262144\nmemory_mb: 52").memory_mb == 52


class TestDivision:

    @pytest.mark.parametrize("memory_mb", [64, 128, 512])
    def test_parts_stay_within_the_memory(self, memory_mb):
        bounds = _limits.divide(
            fakes.entry_settings(
                1, 2, memory_mb=memory_mb, max_body_bytes=4 * MEGABYTE
            )
        )
        free_bytes = (memory_mb - 50) * MEGABYTE
        assert bounds.pool_bytes <= 0.6 * free_bytes
        callers = bounds.callers
        assert callers.connections * callers.connection_bytes < (
            bounds.pool_bytes
        )
        assert bounds.response_bytes < bounds.pool_bytes

    def test_a_request_and_its_response_fit(self):
        bounds = _limits.divide(
            fakes.entry_settings(1, 2, max_body_bytes=4 * MEGABYTE)
        )
        assert bounds.pool_bytes >= 8 * MEGABYTE
        assert bounds.control.request_bytes >= 1.125 * 4 * MEGABYTE


class TestControlPort:

    def send(self, harness, *lines, body=b""):
        """Returns the response to a request of whose body the end is missing.

        Nothing follows it: the connection is closed.
        """

        async def scenario():
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.control_port
            )
            head = [*lines, "Host: h", f"Content-Length: {len(body) + 9}"]
            writer.write("\r\n".join([*head, "", ""]).encode() + body)
            response = await entry_harness.read_response(reader)
            rest = await asyncio.wait_for(reader.read(), 3.0)
            writer.close()
            return response, rest

        return harness.run(scenario)

    @pytest.mark.parametrize(
        ("path", "status"),
        [
            ("/v1/config", 401),
            ("/v1/jobs", 401),
            ("/unknown", 401),
            ("/peer/v1/exchange", 403),
        ],
    )
    def test_body_of_an_unknown_client_is_not_read(self, path, status):
        response, rest = self.send(
            entry_harness.EntryHarness(), f"POST {path} HTTP/1.1", body=b"{"
        )
        assert (response[0], rest) == (status, b"")
        assert "refusal" in json.loads(response[2])

    def test_body_over_the_limit_is_not_read(self):
        harness = entry_harness.EntryHarness()
        limit = harness.server.bounds_.control_body_bytes
        response, rest = self.send(
            harness,
            "POST /v1/config HTTP/1.1",
            f"Authorization: Bearer {'t' * 16}",
            body=b"x" * (limit - 8),
        )
        assert (response[0], rest) == (413, b"")


class TestPeerHeader:

    PATH = "/peer/v1/exchange"

    def sign(self, body=b"{}"):
        sender = membership.PeerSigner(KEY, "entry-2", 7)
        receiver = membership.PeerSigner(KEY, "entry-1", 5)
        content = membership.SignedContent(self.PATH, {}, body)
        envelope = sender.sign_request("entry-1", content)
        digest = hashlib.sha256(body).hexdigest()
        headers = {
            **envelope.to_headers(),
            "Baobabdoor-Peer-Body-Sha256": digest,
        }
        return receiver, headers

    def check(self, receiver, headers, path=PATH):
        return control.check_peer_header(receiver, path, headers)

    def test_a_signed_header_is_accepted(self):
        receiver, headers = self.sign()
        assert self.check(receiver, headers) is None

    @pytest.mark.parametrize(
        "change",
        [
            {"Baobabdoor-Peer-Body-Sha256": ""},
            {"Baobabdoor-Peer-Body-Sha256": "0" * 64},
            {"Baobabdoor-Peer-Signature": "0" * 64},
            {"Baobabdoor-Peer-Sender": "entry-3"},
            {"Baobabdoor-Peer-Receiver": "entry-4"},
        ],
        ids=str,
    )
    def test_another_header_is_refused(self, change):
        receiver, headers = self.sign()
        assert self.check(receiver, headers | change) is not None

    def test_another_path_is_refused(self):
        receiver, headers = self.sign()
        assert self.check(receiver, headers, "/peer/v1/request") is not None

    def test_a_replayed_header_is_refused(self):
        sender = membership.PeerSigner(KEY, "entry-2", 7)
        receiver = membership.PeerSigner(KEY, "entry-1", 5)
        sender.known_incarnations_["entry-1"] = 5
        content = membership.SignedContent(self.PATH, {}, b"{}")
        envelope = sender.sign_request("entry-1", content)
        claimed = attrs.evolve(
            content, body=b"", claimed_body_digest=content.body_digest()
        )
        assert receiver.check_header(envelope, claimed) is None
        assert receiver.verify_request(envelope, content) is None
        assert receiver.check_header(envelope, claimed) is not None

    def test_another_body_than_the_signed_one_is_refused(self):
        receiver, headers = self.sign()
        envelope = membership.Envelope.from_headers(headers)
        content = membership.SignedContent(self.PATH, {}, b"[]")
        assert receiver.verify_request(envelope, content) is not None


class TestApplicationHandler:

    def test_headers_of_a_handler_are_sent(self):
        """Peers verify the signature of a response in its headers."""
        recorder_reply = []

        async def scenario():
            recorder = transport.ApplicationHandler(FixedApplication())
            request = transport.Request("GET", "/", "h", {}, b"")
            recorder_reply.append(await recorder.serve(request))

        asyncio.run(scenario())
        (reply,) = recorder_reply
        assert (reply.status, reply.body) == (200, b"ab")
        assert reply.headers == "X-Signed: s\r\n"
        assert reply.content_type == "text/x"


class FixedApplication:
    """Answers each request in two parts."""

    def start_request(self, server_conn, connection):
        del server_conn
        self.connection = connection
        return self

    def headers_received(self, start_line, headers):
        del start_line, headers

    def finish(self):
        headers = {"X-Signed": "s", "Content-Type": "text/x", "Date": "now"}
        self.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", 200, "OK"),
            httputil.HTTPHeaders(headers),
            b"a",
        )
        self.connection.write(b"b")
        self.connection.finish()
