"""Check addresses in the settings file."""

from __future__ import annotations

from apigateway.config_validation import ConfigReader, KeyPath
from apigateway.upstream.address import Address, parse_address


def check_address(reader: ConfigReader, path: KeyPath, text: str) -> Address | None:
    """Return the address in a setting; None after adding a problem if it is invalid."""
    try:
        return parse_address(text)
    except ValueError:
        reader.add_semantic_problem(
            path, text, "is not an address", "write it as HOST:PORT, an IPv6 host in brackets"
        )
        return None
