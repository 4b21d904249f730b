"""Tests of `timeline --request`, which finds a request in several logs."""

import asyncio
import json

import pytest

from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes
from baobabdoor.cli import _log_commands

JOB = "00000000000000c1"
GATEWAY_LOG = f"""
timestamp=2026-01-01T00:00:02Z level=info event=request_answered process=a \
request=r-1 job={JOB} method=POST status=200 outcome=accepted
timestamp=2026-01-01T00:00:02Z level=info event=request_answered process=a \
request=r-2 job=00000000000000c2 method=POST status=429 outcome=rejected
no log line
"""
LEADER_LOG = f"""
timestamp=2026-01-01T00:00:01Z level=info event=job_accepted process=b job={JOB}
timestamp=2026-01-01T00:00:03Z level=info event=runs_ordered process=b \
step={JOB}.0.0 run=1 placed="w1:0,1 w3:2" heard_ms=5
timestamp=2026-01-01T00:00:04Z level=info event=worker_retired process=b \
worker=w1 reason="in upkeep"
timestamp=2026-01-01T00:00:05Z level=info event=worker_retired process=b \
worker=w2 reason="moved"
"""


class TestRequestTimeline:

    def show(self, tmp_path, request, capsys):
        for name, text in (("a.log", GATEWAY_LOG), ("b.log", LEADER_LOG)):
            (tmp_path / name).write_text(text)
        context = _context.Context(None, True, "ana")
        files = [str(tmp_path / name) for name in ("a.log", "b.log")]
        asyncio.run(_log_commands.show_request(context, request, files))
        return json.loads(capsys.readouterr().out)["lines"]

    def test_lines_of_a_request_its_job_and_workers_are_in_time_order(
        self, tmp_path, capsys
    ):
        lines = self.show(tmp_path, "r-1", capsys)
        assert [line["event"] for line in lines] == [
            "job_accepted",
            "request_answered",
            "runs_ordered",
            "worker_retired",
        ]
        assert lines[-1]["reason"] == "in upkeep"

    def test_job_identifier_finds_the_lines_of_its_request(
        self, tmp_path, capsys
    ):
        assert len(self.show(tmp_path, JOB, capsys)) == 4

    def test_unknown_request_is_an_error(self, tmp_path, capsys):
        with pytest.raises(_exit_codes.CommandError, match="no line names"):
            self.show(tmp_path, "r-9", capsys)
