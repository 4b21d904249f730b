"""What the handlers of the operators' HTTP interface share."""

from baobabdoor.operator_api._handler import OperatorHandler

__all__ = ["OperatorHandler"]
