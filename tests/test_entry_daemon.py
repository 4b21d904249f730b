"""Tests the complete daemon against the in-process platform."""

import asyncio
import json
import os
import pathlib
import signal

import ports
import request_fakes as fakes
from tornado import httpclient

from baobabdoor import fleet_api
from baobabdoor import observability
from baobabdoor import settings
from baobabdoor import standin
from baobabdoor.entry import _daemon
from baobabdoor.entry import _main

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "federation.yaml"
OPERATOR = {"Authorization": "Bearer " + "t" * 16}


async def fetch(port, path, **options):
    client = httpclient.AsyncHTTPClient(force_instance=True)
    url = f"http://127.0.0.1:{port}{path}"
    return await client.fetch(url, raise_error=False, **options)


async def wait_until_ready(port):
    for _ in range(200):
        if (await fetch(port, "/readyz")).code == 200:
            return
        await asyncio.sleep(0.05)
    raise AssertionError("not ready after 10 s")


def write_row(core, key, value):
    assert core.transact([], [fleet_api.Write(key, value)])


def parse_flags(path):
    if "config" not in _main.FLAGS:
        _main.define_flags()
    _main.FLAGS(["baobabdoor-entry", f"--config={path}"])


class TestDaemon:

    def test_requests_from_startup_to_sigterm(self):
        # Guards against components that do not work together: configuration,
        # VM rows, views, slots, routing, claims, and deleting the entry's row.
        async def scenario():
            timers = observability.LoopTimerService()
            service = standin.MemoryPlatform(timers)
            backend = fakes.RawServer(lambda *_: fakes.http_response(b"times"))
            backend.start()
            port, control_port = ports.free_port(), ports.free_port()
            entry_settings = fakes.entry_settings(port, control_port)
            server = _daemon.build(entry_settings, service)
            server.components.balancer_wait_s = 0.05
            serving = asyncio.ensure_future(_daemon.serve(server))
            await asyncio.sleep(0.1)
            assert (await fetch(port, "/healthz")).code == 200
            assert (await fetch(port, "/readyz")).code == 503
            deployment = settings.load_deployment(str(EXAMPLE))
            change = {
                "change_id": "change-1",
                "operator": "test",
                "document": settings.unstructure(deployment),
            }
            applied = await fetch(
                control_port,
                "/v1/config",
                method="POST",
                headers=OPERATOR,
                body=json.dumps(change),
            )
            assert applied.code == 200, applied.body
            spec = standin.VmSpec(
                "vm-1",
                backend.address,
                "taal",
                "r1",
                cores=16,
                pool_hint="jury-desk",
            )
            service.core.vms.add(spec, listed_at_once=True)
            await wait_until_ready(port)
            responses = []
            # The last request is refused immediately, but its outcome must not
            # be `not-run`: the first one with the same key has run.
            for deadline_ms in ("5000", "5000", "0"):
                responses.append(
                    await fetch(
                        port,
                        "/x",
                        method="POST",
                        body=b"charge",
                        headers={
                            "Baobabdoor-Pool": "jury-desk",
                            "Baobabdoor-Caller": "sailors",
                            "Idempotency-Key": "order-1",
                            "Baobabdoor-Deadline-Ms": deadline_ms,
                        },
                    )
                )
            os.kill(os.getpid(), signal.SIGTERM)
            exit_code = await asyncio.wait_for(serving, 20)
            rows = service.core.read(["entry/entry-1", "claim/sailors/order-1"])
            return exit_code, responses, rows, len(backend.received)

        exit_code, responses, rows, received = asyncio.run(scenario())
        assert [r.body for r in responses[:2]] == [b"times", b"times"]
        assert responses[2].headers["Baobabdoor-Outcome"] == "unknown"
        assert (exit_code, received) == (0, 1)
        assert rows["entry/entry-1"].value is None
        assert rows["claim/sailors/order-1"].value["state"] == "done"

    def test_invalid_settings_print_the_error(self, tmp_path, capsys):
        path = tmp_path / "entry.yaml"
        path.write_text("entry_id: entry-1\ncaller: 7\n")
        parse_flags(path)
        assert _main.run(["baobabdoor-entry"]) == 2
        assert f"{path}:2: caller: expected" in capsys.readouterr().err

    def test_process_ends_without_freeing_its_objects(
        self, tmp_path, monkeypatch
    ):
        # Guards against an interpreter that is still busy at the kill.
        codes = []

        def serve(coroutine):
            coroutine.close()
            return 1

        parse_flags(tmp_path)
        monkeypatch.setattr(_main.settings, "load_entry", lambda path: None)
        monkeypatch.setattr(_main._limits, "check", lambda *_: None)
        monkeypatch.setattr(_main.asyncio, "run", serve)
        monkeypatch.setattr(_main.os, "_exit", codes.append)
        _main.run(["baobabdoor-entry"])
        assert codes == [1]
