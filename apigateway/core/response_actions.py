"""Carry out the decision module's actions that answer a request."""

from __future__ import annotations

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.in_flight_table import InFlightTable
from apigateway.core.outcomes import RequestOutcome
from apigateway.core.responses import ResponseSender


class ResponseActions:
    """The handlers of these actions, each named by its action.

    An action for a request that is not in flight any more crossed its end, and is dropped.
    """

    def __init__(self, context: CoreContext, table: InFlightTable, responses: ResponseSender) -> None:
        self._context = context
        self._table = table
        self._responses = responses

    def reject(self, action: messages.Reject) -> None:
        """Answer that a request was not taken."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._note_retry_after(in_flight, action.retry_after)
            self._responses.finish(in_flight, RequestOutcome.REJECTED, action.retry_after)

    def fail(self, action: messages.Fail) -> None:
        """Answer that a request failed."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._responses.finish(in_flight, RequestOutcome.FAILED)

    def grant_quota(self, action: messages.QuotaGranted) -> None:
        """Answer a quota check: granted."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._responses.finish(in_flight, RequestOutcome.GRANTED, action)

    def deny_quota(self, action: messages.QuotaDenied) -> None:
        """Answer a quota check: denied."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None:
            self._note_retry_after(in_flight, action.retry_after)
            self._responses.finish(in_flight, RequestOutcome.DENIED, action)

    def _note_retry_after(self, in_flight: InFlightRequest, retry_after: float) -> None:
        """Notify admission of the Retry-After, in seconds, that a customer was given."""
        admission = self._context.admission
        if admission is not None and retry_after > 0:
            admission.on_retry_after(in_flight.customer, retry_after)
