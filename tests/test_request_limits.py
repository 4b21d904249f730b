"""Tests of limits from the configuration and of early replies to callers."""

import json

import pytest
from tornado import httputil

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _daemon
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _outcomes
from baobabdoor.platform import _settings

ROUTE = {"name": "q", "host": "h", "path-prefix": "/q/", "service": "p"}
SETTINGS = {
    "node-name": "entry-1",
    "zone": "z",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internal-port-range": [7060, 7075],
    "platform": {"address": "127.0.0.1:1"},
}


def encode(version=3, **fields):
    content = {"version": version, "routes": [ROUTE], "services": []}
    return json.dumps(content | fields).encode()


def make_daemon(*values):
    daemon = _daemon.Daemon(_settings.decode_settings("test", SETTINGS))
    rows = [platform.StoredRow("op", "", "config", value) for value in values]
    daemon._observe_configuration(rows, None, True)
    daemon.configuration_follower.last_answer_s = platform.boot_time_s()
    return daemon


class TestLimits:

    def test_all_fields_are_decoded_and_unknown_ones_ignored(self):
        limits = {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000.0,
            "other": [],
        }
        configuration = platform.decode_configuration(encode(limits=limits))
        assert configuration.limits == scheduling.RequestLimits(
            16_384, 262_144, 3.0, 15.0
        )

    @pytest.mark.parametrize("fields", [{}, {"limits": {}}, {"limits": None}])
    def test_missing_fields_mean_the_constants(self, fields):
        configuration = platform.decode_configuration(encode(**fields))
        assert configuration.limits == scheduling.RequestLimits()

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("max-header-bytes", "1"),
            ("max-body-bytes", 1.5),
            ("max-body-bytes", 0),
            ("header-timeout-ms", -1),
            ("idle-timeout-ms", True),
        ],
    )
    def test_unusable_field_is_named_and_the_configuration_kept(
        self, field, value
    ):
        unusable = encode(9, limits={field: value})
        with pytest.raises(platform.MessageError, match=field):
            platform.decode_configuration(unusable)
        assert make_daemon(encode(3), unusable).version == 3

    def test_limits_of_the_wrong_type_are_named(self):
        with pytest.raises(platform.MessageError, match="limits"):
            platform.decode_configuration(encode(limits=7))

    def test_limits_act_on_callers_only(self):
        limits = {"max-body-bytes": 10}
        daemon = make_daemon(encode(3), encode(4, limits=limits))
        sizes = {
            server.name: server.limits.body_bytes for server in daemon.servers
        }
        assert sizes["callers"] == 10
        assert sizes["peers"] == _daemon.MAX_PEER_BODY_BYTES
        assert sizes["ready"] == sizes["metrics"] == 1024 * 1024


class TestEarlyReplies:

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("POST", "/other/0123456789abcdef", 404),
            ("POST", "/q/a/0123456789abcdef", 404),
            ("POST", "/q/short", 400),
            ("GET", "/q/short", 410),
            ("PUT", "/q/0123456789abcdef", 405),
            ("POST", "/q/0123456789abcdef", None),
            ("GET", "/q/", None),
        ],
    )
    def test_header_decides(self, method, path, status):
        """The body of a request that is refused anyway was read."""
        daemon = make_daemon(encode())
        request = transport.Request(
            method, path, "h", httputil.HTTPHeaders(), b""
        )
        gateway = _gateway.Gateway(daemon)
        reply = _callers.CallerHandler(daemon, gateway).check_header(request)
        assert (reply.status if reply else None) == status

    def test_without_a_configuration_the_request_is_refused(self):
        request = transport.Request(
            "POST", "/q/0123456789abcdef", "h", httputil.HTTPHeaders(), b""
        )
        reply = _callers.CallerHandler(make_daemon(), None).check_header(
            request
        )
        assert reply.status == 503
        assert "Retry-After" in reply.headers


class TestRefusalByTheLeader:

    @pytest.mark.parametrize(
        ("status", "kind"),
        [
            (503, "unavailable"),
            (413, "invalid"),
            (431, "invalid"),
            (500, "unknown"),
        ],
    )
    def test_request_that_never_ran_has_a_known_result(self, status, kind):
        """A refused request was tried until its timeout and gave 504."""
        response = transport.Response(status, b"", httputil.HTTPHeaders())
        assert _outcomes.decode_outcome(response).kind == kind
