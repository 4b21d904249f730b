"""What the handlers of the operators' HTTP interface share."""

from baobabdoor.operator_api._handler import OperatorHandler
from baobabdoor.operator_api._handler import refusal_to_json

__all__ = ["OperatorHandler", "refusal_to_json"]
