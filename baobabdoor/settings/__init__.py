"""Loads and validates the YAML settings of deployments and entry processes."""

from baobabdoor.settings._checks import check_deployment
from baobabdoor.settings._deployment import AvailabilityZone
from baobabdoor.settings._deployment import CallerShare
from baobabdoor.settings._deployment import Deployment
from baobabdoor.settings._deployment import MaintenancePolicy
from baobabdoor.settings._deployment import Pool
from baobabdoor.settings._deployment import PoolPromise
from baobabdoor.settings._deployment import Preset
from baobabdoor.settings._deployment import TeamQuota
from baobabdoor.settings._deployment import Weights
from baobabdoor.settings._entry import Address
from baobabdoor.settings._entry import EntrySettings
from baobabdoor.settings._entry import PeerAddress
from baobabdoor.settings._errors import SettingsError
from baobabdoor.settings._errors import SettingsProblem
from baobabdoor.settings._loader import load_deployment
from baobabdoor.settings._loader import load_entry
from baobabdoor.settings._loader import parse_deployment
from baobabdoor.settings._loader import parse_entry
from baobabdoor.settings._loader import structure_deployment
from baobabdoor.settings._loader import unstructure

__all__ = [
    "Address",
    "AvailabilityZone",
    "CallerShare",
    "Deployment",
    "EntrySettings",
    "MaintenancePolicy",
    "PeerAddress",
    "Pool",
    "PoolPromise",
    "Preset",
    "SettingsError",
    "SettingsProblem",
    "TeamQuota",
    "Weights",
    "check_deployment",
    "load_deployment",
    "load_entry",
    "parse_deployment",
    "parse_entry",
    "structure_deployment",
    "unstructure",
]
