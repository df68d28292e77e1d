"""Carry out the decision module's actions that send the response to a request."""

from __future__ import annotations

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.in_flight_table import InFlightTable
from apigateway.core.outcomes import RequestOutcome
from apigateway.core.responses import ResponseSender


class ResponseActions:
    """Handlers of these actions, each named after its action.

    An action for a request that is no longer in flight is dropped: the request ended before the action was
    handled.
    """

    def __init__(self, context: CoreContext, table: InFlightTable, responses: ResponseSender) -> None:
        self._context = context
        self._table = table
        self._responses = responses

    def reject(self, action: messages.Reject) -> None:
        """Respond that a request was rejected."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._report_retry_after(in_flight, action.retry_after)
            self._responses.finish(in_flight, RequestOutcome.REJECTED, action.retry_after)

    def fail(self, action: messages.Fail) -> None:
        """Respond that a request failed."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._responses.finish(in_flight, RequestOutcome.FAILED)

    def grant_quota(self, action: messages.QuotaGranted) -> None:
        """Respond that a quota check was granted."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._responses.finish(in_flight, RequestOutcome.GRANTED, action)

    def deny_quota(self, action: messages.QuotaDenied) -> None:
        """Respond that a quota check was denied."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._report_retry_after(in_flight, action.retry_after)
            self._responses.finish(in_flight, RequestOutcome.DENIED, action)

    def _report_retry_after(self, in_flight: InFlightRequest, retry_after: float) -> None:
        """Report the Retry-After, in seconds, of a customer to admission control."""
        admission = self._context.admission
        if admission is not None and retry_after > 0:
            admission.on_retry_after(in_flight.customer, retry_after)
