"""Listening sockets: those that are passed in, and those that are bound."""

import socket

import pytest
from rig import free_port

from apigateway.daemon.sockets import bind_listener, match_to_listeners


def test_match_when_a_socket_is_no_listeners_then_raises():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        assert match_to_listeners([sock], [sock.getsockname()]) == {sock.getsockname(): sock}
        with pytest.raises(ValueError, match="which is no listener's"):
            match_to_listeners([sock], [("127.0.0.1", 1)])


def test_bind_when_the_address_is_taken_then_names_it():
    port = free_port()
    with bind_listener(("127.0.0.1", port)), pytest.raises(OSError, match=f"127.0.0.1:{port}"):
        bind_listener(("127.0.0.1", port))
