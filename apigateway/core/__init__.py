"""A request's lifecycle, whatever protocol it came by: admitted, decided, attempted, answered exactly once.

`request_lifecycle.RequestDispatcher` keeps the promises, each in one place:

- no request is lost: `on_deadline` fails what nobody answered;
- no effect runs twice: one attempt at a time, and nothing is sent after the final answer (`finish`);
- a drain waits for all that was accepted (`drain`).

Which endpoint is asked, and how often, is the decision module's choice: nothing here sends what it did not
ask for.
"""
