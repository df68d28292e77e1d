"""One request's life, whatever front it came by: taken, decided, attempted, answered once.

Here the five rules are kept, each in one place of `life.Core`: no request lost (`overdue`, `abandon`), no
effect twice (`send`: one attempt at a time; `finish`: nothing after the answer), drains (`listed`), cold
hosts and ceilings (the decision module's; nothing here sends what it did not ask for).
"""
