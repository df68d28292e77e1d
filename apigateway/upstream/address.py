"""Parse and format network addresses of the form `HOST:PORT`."""

from __future__ import annotations

Address = tuple[str, int]
"""Host and port, as asyncio expects them."""

_PORT_LIMIT = 65536  # TCP ports are below it


def parse_address(text: str) -> Address:
    """Parse `HOST:PORT`; an IPv6 host must be in brackets. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < _PORT_LIMIT):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Format an address as `HOST:PORT`, with brackets around an IPv6 host."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
