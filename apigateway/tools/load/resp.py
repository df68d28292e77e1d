"""Encodes the RESP2 commands that clients send to a gateway, and classifies its replies."""

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
    options = [
        f"c={request.service_class}",
        f"t={request.plan}",
        f"d={int(service_class.wait * _MS_PER_S)}",
        f"units={request.units:g}",
        f"spread={request.gateway_spread}",
        f"first={request.first_gateway}",
    ]
    if service_class.effect == "keyed":
        options.append(f"k={request.request_id}")
    arguments = [
        b"API.WRITE" if is_write else b"API.READ",
        request.customer.encode(),
        request.request_id.encode(),
        ",".join(options).encode(),
    ]
    if is_write:
        arguments.append(_WRITE_BODY)
    return b"*%d\r\n%s" % (len(arguments), b"".join(encode_bulk_string(argument) for argument in arguments))


def read_outcome(reply: object) -> Outcome:
    """Return the outcome of a request from its reply, as hiredis parsed it."""
    value = reply[0] if isinstance(reply, list) and reply else reply
    if isinstance(value, bytes):
        return Outcome.SERVED
    is_busy = isinstance(reply, hiredis.ReplyError) and str(reply).split()[:1] == ["BUSY"]
    return Outcome.REFUSED if is_busy else Outcome.FAILED
