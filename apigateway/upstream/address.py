"""Addresses as people and lists write them."""

from __future__ import annotations

Address = tuple[str, int]  # host, port


def read_address(text: str) -> Address:
    """`HOST:PORT`, an IPv6 host in brackets. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def write_address(address: Address) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
