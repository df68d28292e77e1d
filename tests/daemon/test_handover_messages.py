"""Test the wire form of hand-over messages, which different versions of the program exchange."""

import pytest

from apigateway.daemon.handover import (
    HandoverError,
    HandoverInProgressError,
    ListenersMessage,
    ReadyMessage,
    ServingMessage,
    StateMessage,
    StatusRequest,
    StoppedAcceptingMessage,
    TakeOverRejected,
    TakeOverRequest,
)

STATE = {"version": 1, "full": True, "servers": []}


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (TakeOverRequest(), {"take": 1}),
        (TakeOverRejected(), {"busy": True}),
        (ListenersMessage(["127.0.0.1:1"]), {"listeners": ["127.0.0.1:1"]}),
        (StateMessage(STATE), {"known": STATE}),
        (ReadyMessage(), {"ready": True}),
        (StoppedAcceptingMessage(STATE), {"go": True, "known": STATE}),
        (ServingMessage(), {"serving": True}),
        (StatusRequest("hosts"), {"ask": "hosts"}),
    ],
)
def test_message_when_it_is_sent_then_has_the_wire_form_of_earlier_versions(message, wire):
    assert message.to_wire() == wire


def test_message_when_it_is_received_then_equals_the_sent_message():
    assert TakeOverRequest.matches(TakeOverRequest().to_wire())
    assert ListenersMessage.from_wire({"listeners": ["a", "b"]}, 3) == ListenersMessage(["a", "b"])
    assert StateMessage.from_wire({"known": STATE}) == StateMessage(STATE)
    assert ReadyMessage.from_wire({"ready": True}) == ReadyMessage()
    assert StoppedAcceptingMessage.from_wire({"go": True, "known": STATE}) == StoppedAcceptingMessage(STATE)
    assert ServingMessage.from_wire({"serving": True}) == ServingMessage()
    assert StatusRequest.requested_name({"ask": "hosts"}) == "hosts"


@pytest.mark.parametrize(
    "read", [ReadyMessage.from_wire, StoppedAcceptingMessage.from_wire, ServingMessage.from_wire]
)
def test_message_when_it_is_of_an_unexpected_type_then_raises(read):
    with pytest.raises(HandoverError):
        read({"take": 1})
    assert not TakeOverRequest.matches({"ready": True})
    assert StatusRequest.requested_name({"take": 1}) is None


def test_predecessor_state_when_missing_or_not_an_object_then_is_empty():
    assert (
        StateMessage.from_wire({}).state == {}
        and StoppedAcceptingMessage.from_wire({"go": 1, "known": []}).state == {}
    )


def test_listeners_when_another_successor_takes_over_or_descriptors_are_missing_then_raises():
    with pytest.raises(HandoverInProgressError):
        ListenersMessage.from_wire(TakeOverRejected().to_wire(), 0)
    with pytest.raises(HandoverError, match="not all sockets were received"):
        ListenersMessage.from_wire({"listeners": ["a"]}, 1)  # the lock's descriptor is missing
    with pytest.raises(HandoverError, match="not all sockets were received"):
        ListenersMessage.from_wire({"listeners": "a"}, 2)
