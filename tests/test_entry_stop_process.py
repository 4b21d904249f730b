"""Tests that an entry process answers its callers until a signal ends it."""

import contextlib
import http.client
import signal
import socket
import subprocess
import sys
import time

import ports
import pytest
import yaml

HOST = "127.0.0.1"
REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: service\r\nBaobabdoor-Pool: jury-desk\r\n"
    b"Baobabdoor-Caller: sailors\r\nContent-Length: 2\r\n\r\nab"
)
METRICS = b"GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n"
# Keeps the process until the time for answers has passed.
UNFINISHED = (
    b"POST /v1/jobs HTTP/1.1\r\nHost: service\r\nContent-Length: 9\r\n\r\nab"
)
START_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 20.0
SEND_INTERVAL_S = 0.05


class EntryProcess:
    """A process of `baobabdoor-entry` whose platform does not answer."""

    def __init__(self, directory, drain_s):
        self.port = ports.free_port()
        self.control_port = ports.free_port()
        path = directory / "entry.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "entry_id": "entry-1",
                    "region": "luzon",
                    "availability_zone": "taal",
                    "caller": {"host": HOST, "port": self.port},
                    "control": {"host": HOST, "port": self.control_port},
                    "platform": {"host": HOST, "port": ports.free_port()},
                    "peer_key": "k" * 32,
                    "operator_token": "t" * 16,
                    "drain_s": drain_s,
                }
            )
        )
        self.log = open(directory / "entry.log", "wb")  # noqa: SIM115
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-c",
                "from baobabdoor import entry; entry.main()",
                "--config",
                str(path),
            ],
            stdout=self.log,
            stderr=self.log,
        )

    def wait_until_started(self):
        for port in (self.control_port, self.port):
            give_up_s = time.monotonic() + START_TIMEOUT_S
            while not self.accepts(port):
                assert self.process.poll() is None
                assert time.monotonic() < give_up_s
                time.sleep(0.005)

    def accepts(self, port):
        with contextlib.suppress(OSError):
            self.connect(port).close()
            return True
        return False

    def connect(self, port):
        client = socket.create_connection((HOST, port), timeout=READ_TIMEOUT_S)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return client

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


@pytest.fixture
def start_entry(tmp_path):
    entries = []

    def start(drain_s):
        entries.append(EntryProcess(tmp_path, drain_s))
        entries[-1].wait_until_started()
        return entries[-1]

    yield start
    for entry in entries:
        entry.close()


def read_answer(client):
    """Returns status and headers of a whole answer, else the bytes received."""
    response = http.client.HTTPResponse(client)
    received = b""
    try:
        response.begin()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        received = getattr(error, "partial", received)
        # Reads whatever else there is of an answer that was cut.
        with contextlib.suppress(OSError):
            received += client.recv(1000)
        return None, received
    return response.status, response.headers


class TestOpenConnections:

    @pytest.mark.parametrize("drain_s", [1, 2, 3])
    @pytest.mark.parametrize("control", [False, True])
    def test_each_request_is_answered_until_the_process_ends(
        self, start_entry, drain_s, control
    ):
        # Guards against connections that are cut with a request open.
        entry = start_entry(drain_s)
        port = entry.control_port if control else entry.port
        request = METRICS if control else REQUEST
        clients = [entry.connect(port) for _ in range(20 * drain_s + 20)]
        for client in clients:
            client.sendall(request)
            status, headers = read_answer(client)
            assert status
            assert headers["Connection"] is None
        unfinished = entry.connect(entry.port)
        unfinished.sendall(UNFINISHED)
        entry.process.send_signal(signal.SIGTERM)
        limit_s = time.monotonic() + drain_s
        self._wait_until_announced(entry, port, request)
        answered = 0
        for client in clients:
            served = self._use(client, request)
            # A connection that is accepted now shows that the process ran
            # when the request before was sent.
            assert served or not entry.accepts(port)
            answered += served
            time.sleep(SEND_INTERVAL_S)
        assert answered
        status, headers = read_answer(unfinished)
        assert status == 503
        assert headers["Baobabdoor-Outcome"] == "not-run"
        remaining_s = max(0.0, limit_s - time.monotonic())
        assert entry.process.wait(remaining_s) == 0

    def _wait_until_announced(self, entry, port, request):
        """Waits until replies say that the process stops."""
        option = None
        while option is None:
            client = entry.connect(port)
            client.sendall(request)
            status, headers = read_answer(client)
            assert status
            option = headers["Connection"]
        assert option == "close"

    def _use(self, client, request):
        """Returns whether a request was answered in whole."""
        try:
            client.sendall(request)
        except OSError:
            return False
        status, rest = read_answer(client)
        if status is None:
            assert rest == b""
            return False
        assert rest["Connection"] == "close"
        assert client.recv(1) == b""
        return True


class TestSignals:

    @pytest.mark.parametrize(
        "signals",
        [
            (signal.SIGTERM, signal.SIGTERM),
            (signal.SIGTERM, signal.SIGINT),
            (signal.SIGTERM, signal.SIGHUP),
            (signal.SIGHUP, signal.SIGTERM),
        ],
        ids=lambda signals: "-".join(number.name for number in signals),
    )
    def test_further_signals_cut_off_no_request(self, start_entry, signals):
        entry = start_entry(2)
        idle = entry.connect(entry.port)
        unfinished = entry.connect(entry.port)
        unfinished.sendall(UNFINISHED)
        for number in signals:
            entry.process.send_signal(number)
        idle.sendall(REQUEST)
        assert read_answer(idle)[0]
        status, headers = read_answer(unfinished)
        assert (status, headers["Baobabdoor-Outcome"]) == (503, "not-run")
        assert entry.process.wait(READ_TIMEOUT_S) == 0

    def test_signals_until_the_end_leave_the_exit_code(self, start_entry):
        entry = start_entry(1)
        while entry.process.poll() is None:
            entry.process.send_signal(signal.SIGTERM)
            time.sleep(0.001)
        assert entry.process.returncode == 0

    def test_signal_right_after_the_start(self, start_entry):
        # Guards against a signal that arrives before all parts have started.
        entry = start_entry(2)
        client = entry.connect(entry.port)
        client.sendall(REQUEST)
        entry.process.send_signal(signal.SIGTERM)
        assert read_answer(client)[0]
        assert entry.process.wait(READ_TIMEOUT_S) == 0
