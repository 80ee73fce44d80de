"""Orders of a node."""

from collections.abc import Mapping
from typing import Any

from result import Err, Result

from chervilrack._internal.common.ids import IdempotencyKey, OrganisationId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.execution.port import ServiceRequest


class ClosedOrderDesk:
    """Refuses every order as not executed; in place until the order slice is connected."""

    def submit(self, request: ServiceRequest) -> Result[Mapping[str, Any], Problem]:
        """Refuse the order."""
        return Err(Problem(ResultCode.ORDER_NOT_RECORDED, "this node takes no orders yet"))

    def look_up(
        self, organisation: OrganisationId, key: IdempotencyKey
    ) -> Result[Mapping[str, Any], Problem]:
        """Answer that no order is stored."""
        return Err(Problem(ResultCode.UNKNOWN_ORDER, f"no order with the key '{key}'"))
