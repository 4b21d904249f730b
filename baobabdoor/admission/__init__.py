"""Decides which requests are queued, dispatched or refused under load."""

from baobabdoor.admission._interface import AdmissionPolicy
from baobabdoor.admission._interface import WorkItem

__all__ = ["AdmissionPolicy", "WorkItem"]
