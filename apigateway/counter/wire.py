"""The counter's line protocol: commands and replies.

Each command and each reply is one line. Replies are sent in the order of the commands.
"""

from __future__ import annotations

import math
import re

PING_COMMAND = b"ping\r\n"

REPLY_OK = b"ok"  # followed by the new total
REPLY_PONG = b"pong"
REPLY_REJECTIONS = (b"busy", b"error")  # nothing was added

MAX_REPLY_BYTES = 4096  # far above the longest valid reply; bounds the memory for a reply without line end

_MILLISECONDS_PER_SECOND = 1000
_MIN_LIFETIME_MS = 1  # the counter does not accept a lifetime of 0
# float() alone would also accept "nan", "inf" and "1_0", which are not valid totals.
_TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(\.[0-9]{1,20})?(e[+-]?[0-9]{1,2})?")


def encode_add(counter_key: int, amount: float, lifetime: float) -> bytes:
    """Encode the command that adds `amount` to a total that the counter keeps for `lifetime` seconds."""
    lifetime_ms = max(_MIN_LIFETIME_MS, math.ceil(lifetime * _MILLISECONDS_PER_SECOND))
    return b"incr %d %s %d\r\n" % (counter_key, f"{amount:.7g}".encode(), lifetime_ms)


def parse_total(text: bytes) -> float | None:
    """Parse the total of an `ok` reply; return None if it is not a finite decimal number."""
    if not _TOTAL_PATTERN.fullmatch(text):
        return None
    return float(text)
