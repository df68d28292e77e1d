"""RESP2 as clients speak it to gateways: commands out, replies in. By the platform's protocol."""

from __future__ import annotations

import hiredis

from apigateway.tools.load.recorder import Outcome
from apigateway.tools.load.scenario import ClassSection
from apigateway.tools.load.schedule import ScheduledRequest
from apigateway.upstream.framing import encode_bulk_string

_MS_PER_S = 1000
_WRITE_BODY = b"BODY"


def encode_request(request: ScheduledRequest, service_class: ClassSection) -> bytes:
    """Encode the command of a request."""
    is_write = service_class.effect != "safe"
    terms = [
        f"c={request.service_class}",
        f"t={request.plan}",
        f"d={int(service_class.wait * _MS_PER_S)}",
        f"units={request.units:g}",
        f"spread={request.gateway_spread}",
        f"first={request.first_gateway}",
    ]
    if service_class.effect == "keyed":
        terms.append(f"k={request.request_id}")
    parts = [
        b"API.WRITE" if is_write else b"API.READ",
        request.customer.encode(),
        request.request_id.encode(),
        ",".join(terms).encode(),
    ]
    if is_write:
        parts.append(_WRITE_BODY)
    return b"*%d\r\n%s" % (len(parts), b"".join(encode_bulk_string(part) for part in parts))


def read_outcome(reply: object) -> Outcome:
    """Return what a reply, as hiredis reads it, says became of the request."""
    value = reply[0] if isinstance(reply, list) and reply else reply
    if isinstance(value, bytes):
        return Outcome.SERVED
    is_busy = isinstance(reply, hiredis.ReplyError) and str(reply).split()[:1] == ["BUSY"]
    return Outcome.REFUSED if is_busy else Outcome.FAILED
