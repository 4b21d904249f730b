"""Commits configuration changes, keeps their history and distributes them."""

from baobabdoor.configuration._changes import Applied
from baobabdoor.configuration._changes import Change
from baobabdoor.configuration._changes import ChangeKind
from baobabdoor.configuration._changes import ChangeResult
from baobabdoor.configuration._changes import NotApplied
from baobabdoor.configuration._changes import OutcomeUnknown
from baobabdoor.configuration._changes import Superseded
from baobabdoor.configuration._changes import result_to_json
from baobabdoor.configuration._committer import ChangeCommitter
from baobabdoor.configuration._documents import Manifest
from baobabdoor.configuration._documents import join_sections
from baobabdoor.configuration._documents import split_document
from baobabdoor.configuration._routes import make_routes
from baobabdoor.configuration._rows import CurrentRow
from baobabdoor.configuration._rows import HistoryRow
from baobabdoor.configuration._store import Configuration
from baobabdoor.configuration._store import ConfigurationStore
from baobabdoor.configuration._store import PeerSource

__all__ = [
    "Applied",
    "Change",
    "ChangeCommitter",
    "ChangeKind",
    "ChangeResult",
    "Configuration",
    "ConfigurationStore",
    "CurrentRow",
    "HistoryRow",
    "Manifest",
    "NotApplied",
    "OutcomeUnknown",
    "PeerSource",
    "Superseded",
    "join_sections",
    "make_routes",
    "result_to_json",
    "split_document",
]
