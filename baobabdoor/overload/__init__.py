"""Overload control: which jobs are delayed or rejected when room is short.

The decisions take views of jobs and pools and do not know the scheduler.
"""

from baobabdoor.overload._rank import IN_TIME
from baobabdoor.overload._rank import LASTING
from baobabdoor.overload._rank import Claim
from baobabdoor.overload._rank import divide
from baobabdoor.overload._rank import rank_by_slack
from baobabdoor.overload._rank import rank_by_value
from baobabdoor.overload._returns import VerdictCounts
from baobabdoor.overload._shares import fair_shares
from baobabdoor.overload._shedding import LoadShedder
from baobabdoor.overload._sizes import SizeClasses
from baobabdoor.overload._verdict import Verdict
from baobabdoor.overload._verdict import judge_by_share
from baobabdoor.overload._verdict import judge_by_total
from baobabdoor.overload._verdict import late_slack_s
from baobabdoor.overload._verdict import share_cores
from baobabdoor.overload._verdict import time_left_s
from baobabdoor.overload._verdict import value_left_s
from baobabdoor.overload._views import JobView
from baobabdoor.overload._views import PoolView
from baobabdoor.overload._views import SubmissionView
from baobabdoor.overload._views import job_value

__all__ = [
    "IN_TIME",
    "LASTING",
    "Claim",
    "JobView",
    "LoadShedder",
    "PoolView",
    "SizeClasses",
    "SubmissionView",
    "Verdict",
    "VerdictCounts",
    "divide",
    "fair_shares",
    "job_value",
    "judge_by_share",
    "judge_by_total",
    "late_slack_s",
    "rank_by_slack",
    "rank_by_value",
    "share_cores",
    "time_left_s",
    "value_left_s",
]
