"""Forecasts of the demand on pools that peak in turn.

A package of its own, because the daemon of the users' platform must not import
the settings and the policies of the product, which `capacity` needs.
"""

from baobabdoor.forecast._peak_forecast import Peak
from baobabdoor.forecast._peak_forecast import PeakForecaster
from baobabdoor.forecast._turn_codec import MAX_BYTES
from baobabdoor.forecast._turn_codec import Learned
from baobabdoor.forecast._turn_codec import decode
from baobabdoor.forecast._turn_codec import encode
from baobabdoor.forecast._turn_forecast import SAMPLE_S
from baobabdoor.forecast._turn_forecast import TurnForecaster

__all__ = [
    "Learned",
    "MAX_BYTES",
    "Peak",
    "PeakForecaster",
    "SAMPLE_S",
    "TurnForecaster",
    "decode",
    "encode",
]
