"""Tests of the soak of a roll: a short run, and its limit of processor time."""

import subprocess
import sys
import time
import types

import soak
import soak_roll

SEED = 56
SLEEPING = "import time; time.sleep(60)"


class ShortRoll(soak_roll.RollSoak):
    """A roll that one machine plays in half a minute."""

    daemon_count = 4
    joining_workers = 4
    kept_job_count = 50
    usual_rate = 2.0


class TestRuns:

    def test_a_roll_beside_a_burst_cuts_requests_on_open_connections(
        self, tmp_path
    ):
        """Daemons ended 4.1 s after SIGTERM whatever was in progress."""
        roll = soak.run_seed(SEED, 0.0, tmp_path, ShortRoll)
        assert not roll.oracle.violations, roll.summarize()
        assert len(roll.stop_times_s) == ShortRoll.daemon_count
        assert roll.leader_stops


class TestProcessorShare:

    def state(self, process):
        with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
            return file.read().rpartition(") ")[2][0]

    def wait_for_states(self, process, states):
        seen = set()
        end_s = time.monotonic() + 10.0
        while not seen >= states and time.monotonic() < end_s:
            seen.add(self.state(process))
            time.sleep(0.001)
        assert seen >= states

    def test_a_limited_process_is_never_suspended_or_stays_suspended(self):
        process = subprocess.Popen([sys.executable, "-c", SLEEPING])
        daemon = types.SimpleNamespace(number=0, process=process)
        share = soak_roll.ProcessorShare([daemon], 0.5)
        try:
            share.start()
            self.wait_for_states(process, {"T", "S"})
            share.stop()
            self.wait_for_states(process, {"S"})
        finally:
            share.stop()
            process.kill()
            process.wait()
