"""A request's lifecycle, whatever protocol it came by: admitted, decided, attempted, answered exactly once.

`request_lifecycle.RequestDispatcher` puts the parts together. Each promise is kept in one place:

- no request is lost: `deadlines.DeadlineGuard` fails what nobody answered;
- one final answer: `responses.ResponseSender.finish` gives it;
- no effect runs twice: one attempt at a time (`attempts.AttemptHandler`), and none is sent after `finish`;
- a drain waits for all that was accepted: `in_flight_table.InFlightTable.wait_until_drained`.

Which endpoint is asked, and how often, is the decision module's choice: nothing here sends what it did not
ask for.
"""
