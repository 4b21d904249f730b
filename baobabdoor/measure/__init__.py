"""`baobabdoor-measure`: compares policies with naive and optimal references."""

from baobabdoor.measure._main import main
from baobabdoor.measure._result import Result

__all__ = ["Result", "main"]
