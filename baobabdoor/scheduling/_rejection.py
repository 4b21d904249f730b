"""Rejection of a job."""

import attrs


@attrs.frozen
class Rejection:
    """The rejection of a job.

    Attributes:
        reason: Reason of the rejection.
        retry_after_s: Time after which to retry, in seconds; 0 if a retry
            is rejected as well.
        inputs: Inputs of the decision, for the log.
        over_quota: Whether the job exceeds its customer's maximum, which is
            no fault in the request.
        hopeless: Whether a valid job came too late to have any value, so that
            a retry is rejected as well.
    """

    reason: str
    retry_after_s: int
    inputs: dict
    over_quota: bool = False
    hopeless: bool = False
