"""Test listening sockets that are passed in or bound."""

import socket

import pytest
from local_deployment import free_port

from apigateway.daemon.sockets import bind_listener, match_to_listeners


def test_match_when_a_socket_belongs_to_no_listener_then_raises():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        assert match_to_listeners([sock], [sock.getsockname()]) == {sock.getsockname(): sock}
        with pytest.raises(ValueError, match="belongs to no listener"):
            match_to_listeners([sock], [("127.0.0.1", 1)])


def test_bind_when_the_address_is_in_use_then_the_error_contains_it():
    port = free_port()
    with bind_listener(("127.0.0.1", port)), pytest.raises(OSError, match=f"127.0.0.1:{port}"):
        bind_listener(("127.0.0.1", port))
