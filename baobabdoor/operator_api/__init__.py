"""Base class of the request handlers of the operators' HTTP API."""

from baobabdoor.operator_api._handler import OperatorHandler

__all__ = ["OperatorHandler"]
