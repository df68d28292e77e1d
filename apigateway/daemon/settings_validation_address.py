"""Check addresses in the settings file."""

from __future__ import annotations

from apigateway.config_validation import ConfigReader, KeyPath
from apigateway.upstream.address import Address, parse_address


def check_address(reader: ConfigReader, path: KeyPath, text: str) -> Address | None:
    """Return a setting's address; None: it is none, which is added to the reader's problems."""
    try:
        return parse_address(text)
    except ValueError:
        reader.add_semantic_problem(
            path, text, "is no address", "write it as HOST:PORT, an IPv6 host in brackets"
        )
        return None
