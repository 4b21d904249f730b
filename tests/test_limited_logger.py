"""Tests of the log of faults that repeat."""

from baobabdoor import observability


class RecordingLogger:

    def __init__(self):
        self.lines = []

    def warning(self, event, **fields):
        self.lines.append((event, fields))


class TestLimitedLogger:

    def setup_method(self):
        self.now_s = 100.0
        self.recorder = RecordingLogger()
        self.logger = observability.LimitedLogger(
            self.recorder, interval_s=10.0, max_lines=3, clock=self.clock
        )

    def clock(self):
        return self.now_s

    def test_row_that_is_read_every_second_does_not_flood_the_log(self):
        for _ in range(25):
            self.logger.warning("ignored", "w1", worker="w1")
            self.now_s += 1.0
        assert [fields["suppressed"] for _, fields in self.recorder.lines] == [
            0,
            9,
            9,
        ]

    def test_each_subject_and_event_gets_a_line(self):
        for event, subject in (("a", "w1"), ("a", "w2"), ("b", "w1")):
            self.logger.warning(event, subject)
            self.logger.warning(event, subject)
        assert [event for event, _ in self.recorder.lines] == ["a", "a", "b"]

    def test_many_subjects_do_not_flood_the_log(self):
        for number in range(1000):
            self.logger.warning("ignored", f"w{number}")
        assert len(self.recorder.lines) == 3
        assert len(self.logger.logged_) == 3
        self.now_s += 10.0
        self.logger.warning("ignored", "w7")
        assert self.recorder.lines[-1] == ("ignored", {"suppressed": 997})
