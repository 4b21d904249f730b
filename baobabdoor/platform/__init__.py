"""Adapter to the users' platform: names, message formats and calls.

It contains no scheduling decisions, and no other package uses the platform's
names.
"""

from baobabdoor.platform._advisor import AdviceClient
from baobabdoor.platform._customers import CHALLENGE_HEADER
from baobabdoor.platform._customers import digest_of_caller
from baobabdoor.platform._machines import MachineClient
from baobabdoor.platform._machines import MachineOutcome
from baobabdoor.platform._messages import MessageError
from baobabdoor.platform._messages import decode_configuration
from baobabdoor.platform._messages import decode_job
from baobabdoor.platform._messages import decode_wave
from baobabdoor.platform._messages import decode_worker
from baobabdoor.platform._messages import encode_job_state
from baobabdoor.platform._messages import encode_pending
from baobabdoor.platform._messages import encode_wave_state
from baobabdoor.platform._settings import SETTINGS_VARIABLE
from baobabdoor.platform._settings import ProcessSettings
from baobabdoor.platform._settings import SettingsError
from baobabdoor.platform._settings import is_settings
from baobabdoor.platform._settings import load_settings
from baobabdoor.platform._store import PAGE_ROWS
from baobabdoor.platform._store import Commit
from baobabdoor.platform._store import Conflict
from baobabdoor.platform._store import RowSet
from baobabdoor.platform._store import StoreClient
from baobabdoor.platform._store import StoredRow
from baobabdoor.platform._store import boot_time_s
from baobabdoor.platform._workers import WorkerClient

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
WAVE_KEY_PREFIX = "wave/"
STATUS_TABLE = "status"
WORKERS_TABLE = "servers"
READY_PATH = "/api/ready"
DEADLINE_HEADER = "X-Deadline-Ms"
REQUEST_ID_HEADER = "Request-Id"

__all__ = [
    "AdviceClient",
    "CHALLENGE_HEADER",
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "Commit",
    "Conflict",
    "DEADLINE_HEADER",
    "MachineClient",
    "MachineOutcome",
    "MessageError",
    "PAGE_ROWS",
    "ProcessSettings",
    "READY_PATH",
    "REQUEST_ID_HEADER",
    "RowSet",
    "SETTINGS_VARIABLE",
    "STATUS_TABLE",
    "SettingsError",
    "StoreClient",
    "StoredRow",
    "WAVE_KEY_PREFIX",
    "WORKERS_TABLE",
    "WorkerClient",
    "boot_time_s",
    "decode_configuration",
    "decode_job",
    "decode_wave",
    "decode_worker",
    "digest_of_caller",
    "encode_job_state",
    "encode_pending",
    "encode_wave_state",
    "is_settings",
    "load_settings",
]
