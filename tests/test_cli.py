"""Tests of the operators' command-line interface with a fake client."""

import asyncio
import json

import pytest

from baobabdoor.cli import _client
from baobabdoor.cli import _config_commands
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes
from baobabdoor.cli import _fleet_commands
from baobabdoor.cli import _main

ExitCode = _exit_codes.ExitCode
WINNER = {
    "generation": 4,
    "preset": "peak",
    "operator": "ben",
    "change_id": "change-ben",
    "manifest": "0",
}


class FakeClient:
    """Returns responses by path prefix and raises those that are exceptions."""

    def __init__(self, responses):
        self.responses = responses
        self.sent = []

    async def get(self, path, entry=""):
        for prefix, response in self.responses.items():
            if path.startswith(prefix.removeprefix(entry)):
                return self.reply(response)
        raise _exit_codes.CommandError(ExitCode.UNREACHABLE, path)

    async def send(self, method, path, body):
        self.sent.append((method, path, body))
        return self.reply(self.responses["send"])

    def reply(self, response):
        if isinstance(response, Exception):
            raise response
        return _client.Reply("http://e1", 200, response)


def run(command, client, *arguments):
    context = _context.Context(client, True, "ana")
    return asyncio.run(command(context, arguments))


def result(kind, **fields):
    refusal = {"reason": "conflict", "detail": "lost"}
    return {"result": kind, "refusal": refusal, "winner": None, **fields}


class TestFindCommand:

    def test_two_words_then_arguments(self):
        command, arguments = _main.find_command(["config", "check", "f.yaml"])
        assert command.run is _config_commands.config_check
        assert arguments == ["f.yaml"]

    @pytest.mark.parametrize(
        "words", [[], ["nothing"], ["preset", "switch"], ["status", "x"]]
    )
    def test_invalid_command_or_arguments_are_a_usage_error(self, words):
        with pytest.raises(_exit_codes.CommandError) as error:
            _main.find_command(words)
        assert error.value.code is ExitCode.USAGE


class TestPresetSwitch:

    @pytest.mark.parametrize(
        ("response", "code"),
        [
            (result("applied", generation=2), ExitCode.DONE),
            (
                result("superseded", generation=2, current=WINNER),
                ExitCode.DONE,
            ),
            (result("not-applied", winner=WINNER), ExitCode.CONFLICT),
            (result("not-applied"), ExitCode.REFUSED),
            (result("unknown"), ExitCode.UNKNOWN),
        ],
    )
    def test_each_result_has_its_exit_code(self, response, code, capsys):
        client = FakeClient({"send": response})
        assert run(_config_commands.preset_switch, client, "peak") is code
        shown = json.loads(capsys.readouterr().out)
        assert shown["change_id"] == client.sent[0][2]["change_id"]

    def test_change_without_response_is_looked_up_and_not_sent_again(self):
        """Guards against a lost response that applies a change twice."""
        client = FakeClient(
            {
                "send": _client.ResponseLostError("timeout"),
                "/v1/config/changes/": result("applied", generation=2),
            }
        )
        code = run(_config_commands.preset_switch, client, "peak")
        assert code is ExitCode.DONE
        assert len(client.sent) == 1

    def test_failed_look_up_is_unknown_and_names_the_change(self):
        client = FakeClient({"send": _client.ResponseLostError("timeout")})
        with pytest.raises(_exit_codes.CommandError) as error:
            run(_config_commands.preset_switch, client, "peak")
        assert error.value.code is ExitCode.UNKNOWN
        assert client.sent[0][2]["change_id"] in str(error.value)


class TestLists:

    VMS = [
        {
            "vm_id": f"vm-{number:03}",
            "availability_zone": f"z{number % 5}",
            "rack": "r1",
            "pool": "results",
            "phase": "failed" if number % 10 == 0 else "serving",
            "target_pool": "",
        }
        for number in reversed(range(400))
    ]

    def list(self, capsys, *arguments):
        client = FakeClient({"/v1/vms": {"vms": self.VMS}})
        assert run(_fleet_commands.vm_list, client, *arguments) == 0
        shown = json.loads(capsys.readouterr().out)["vms"]
        return [vm["vm_id"] for vm in shown]

    def test_vms_are_sorted(self, capsys):
        names = self.list(capsys)
        assert len(names) == 400
        assert names == sorted(names)

    def test_all_filters_must_match(self, capsys):
        names = self.list(capsys, "zone=z0", "phase=failed")
        assert names == [f"vm-{number:03}" for number in range(0, 400, 10)]

    def test_unknown_column_is_a_usage_error(self):
        with pytest.raises(_exit_codes.CommandError) as error:
            run(_fleet_commands.vm_list, FakeClient({}), "area=z0")
        assert error.value.code is ExitCode.USAGE


class TestTimeline:

    def test_invalid_filter_is_a_usage_error(self):
        with pytest.raises(_exit_codes.CommandError) as error:
            run(_fleet_commands.show_timeline, FakeClient({}), "color=red")
        assert "found 'color=red'" in str(error.value)

    def test_events_of_all_entries_are_in_time_order(self, capsys):
        def event(time, process):
            return {
                "time": time,
                "process": process,
                "kind": "k",
                "peer": "",
                "cause": "",
                "fields": {},
            }

        peer = {"entry_id": "e2", "control": "http://e2"}
        client = FakeClient(
            {
                "/v1/status": {"entry_id": "e1", "peers": [peer]},
                "/v1/timeline": {
                    "events": [event("5.0", "e1"), event("9.1", "e2")]
                },
            }
        )
        code = run(_fleet_commands.show_timeline, client)
        assert code is ExitCode.DONE
        times = [
            shown["time"]
            for shown in json.loads(capsys.readouterr().out)["events"]
        ]
        assert times == ["5.0", "5.0", "9.1", "9.1"]
