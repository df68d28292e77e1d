"""The protocol-independent life cycle of a request: admission, decision, attempts and one final response.

`request_lifecycle.RequestDispatcher` connects the parts. Each guarantee is implemented in one place:

- every request gets a response: `deadlines.DeadlineGuard` fails requests that nothing else answered;
- every request gets only one final response: `responses.ResponseSender.finish` sends it;
- no side effect runs twice: `attempts.AttemptHandler` sends one attempt at a time, unless the settings allow
  hedging, and none after `finish`;
- a drain waits for all accepted requests: `in_flight_table.InFlightTable.wait_until_drained`.

The decision module chooses the endpoints and the number of attempts. The core sends no attempt that the
decision module did not ask for.
"""
