"""Logs and counts faults that cost only one row, worker, machine or job."""

from baobabdoor import observability
from baobabdoor import platform

# Maximum length of an error in a log line, in characters.
MAX_ERROR_CHARACTERS = 300
LOG = observability.LimitedLogger(observability.get_logger("faults"))


class FaultLog:
    """Records what is ignored so that a term or a follower can go on.

    A row that is written again every second, or a worker that is called
    several times a second, repeats its fault. Each is counted, and few are
    logged.

    Args:
        metrics: Receives the counts.
    """

    def __init__(self, metrics: observability.Metrics):
        self.metrics = metrics

    def observe_row(
        self,
        event: str,
        row: platform.StoredRow,
        error: Exception,
        field: str = "key",
        subject: str = "",
    ) -> None:
        """Records a row that is ignored.

        Args:
            event: Name of the event in the log.
            row: The row.
            error: Why it is ignored.
            field: Name of the field of the line that contains the row's key.
            subject: What gets one line in an interval. Default: the row's key.
        """
        self.metrics.count("rows_ignored_total", {"table": row.table})
        self._log(event, subject or row.key, error, **{field: row.key})

    def observe_call(
        self, call: str, subject: str, error: Exception, field: str = "worker"
    ) -> None:
        """Records a call that raised an error instead of returning a refusal.

        Args:
            call: Kind of the call, such as `hold`.
            subject: Worker, machine or step that it was about.
            error: The error.
            field: Name of the field of the line that contains the subject.
        """
        self.metrics.count("call_failures_total", {"call": call})
        self._log(
            "call_failed",
            f"{call} {subject}",
            error,
            call=call,
            **{field: subject},
        )

    def _log(
        self, event: str, subject: str, error: Exception, **fields: object
    ) -> None:
        # A message that does not conform to its format is not a fault of this
        # process, so the place where it was detected says nothing.
        known = isinstance(error, platform.MessageError)
        LOG.warning(
            event,
            subject,
            error=f"{error!r:.{MAX_ERROR_CHARACTERS}}",
            exc_info=None if known else error,
            **fields,
        )
