"""Tests that each accepted job can be asked for, at any moment."""

import asyncio
import collections
import json
import signal

import state_request_fleet

JOBS = 240
# Rows of jobs that a new leader reads page by page.
KEPT_JOBS = 5000
LATENCY_S = state_request_fleet.STORE_LATENCY_S
# Reads of rows per second that the store of the test serves.
READS_PER_S = 40
# Reads of jobs for all requests: some are needed, but not one for each.
MAX_READS = JOBS // 2
LEADER_PAUSE_S = 0.5


def play(folder, scenario):
    """Plays a scenario; returns the answers and the fleet."""

    async def run():
        fleet = state_request_fleet.StateRequestFleet(folder)
        async with fleet.running(JOBS):
            return await scenario(fleet), fleet

    return asyncio.run(run())


def check(answers):
    """Checks that each request was answered with the state of its job.

    A daemon refuses a request that it cannot answer by its deadline.
    """
    found = collections.Counter(
        (answer.status, json.dumps(answer.content)) for answer in answers
    )
    assert found == {(200, '{"state": "queued"}'): JOBS}


class TestRestart:

    def test_all_daemons_return_with_a_slow_store(self, tmp_path):
        async def scenario(fleet):
            fleet.simulator.store_latency_s = LATENCY_S
            await fleet.restart_all()
            fleet.reads = 0
            return await fleet.ask()

        answers, fleet = play(tmp_path, scenario)
        check(answers)
        assert fleet.reads < MAX_READS

    def test_leader_loads_many_jobs_with_a_slow_store(self, tmp_path):
        async def scenario(fleet):
            fleet.store_ended_jobs(KEPT_JOBS)
            fleet.simulator.store_latency_s = LATENCY_S
            await fleet.restart_all()
            await fleet.wait_for_leader()
            return await fleet.ask()

        check(play(tmp_path, scenario)[0])

    def test_daemon_without_a_configuration_yet(self, tmp_path):
        async def scenario(fleet):
            number = fleet.followers()[0]
            fleet.store_proxies[number].set_mode("delay")
            fleet.daemons[number].end()
            fleet.daemons[number].start()
            await fleet._wait_until_listening()
            return await fleet.ask([number])

        check(play(tmp_path, scenario)[0])


class TestLeader:

    def test_leader_stands_still_and_the_store_is_slow(self, tmp_path):
        async def scenario(fleet):
            fleet.simulator.store_latency_s = LATENCY_S
            fleet.leader.send(signal.SIGSTOP)
            fleet.reads = 0
            return await fleet.ask(fleet.followers())

        answers, fleet = play(tmp_path, scenario)
        check(answers)
        assert fleet.reads < MAX_READS

    def test_leader_is_late_and_the_store_is_slow(self, tmp_path):
        async def scenario(fleet):
            fleet.simulator.store_latency_s = LATENCY_S
            followers = fleet.followers()
            async with fleet.late(fleet.leader, LEADER_PAUSE_S):
                return await fleet.ask(followers)

        check(play(tmp_path, scenario)[0])

    def test_no_leader_and_the_store_limits_reads(self, tmp_path):
        async def scenario(fleet):
            followers = fleet.followers()
            fleet.leader.end()
            fleet.reads_per_s = READS_PER_S
            return await fleet.ask(followers)

        check(play(tmp_path, scenario)[0])


class TestStore:

    def test_store_is_silent_while_the_leader_lives(self, tmp_path):
        async def scenario(fleet):
            for proxy in fleet.store_proxies:
                proxy.set_mode("silent")
            return await fleet.ask()

        check(play(tmp_path, scenario)[0])
