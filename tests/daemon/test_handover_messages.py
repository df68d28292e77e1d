"""The messages of a hand-over in their wire form, which older and newer versions of the program share."""

import pytest

from apigateway.daemon.handover import (
    GoMessage,
    HandoverError,
    HandoverInProgressError,
    KnownMessage,
    ListenersMessage,
    ReadyMessage,
    ServingMessage,
    StatusRequest,
    TakeOverRejected,
    TakeOverRequest,
)

KNOWN = {"version": 1, "full": True, "servers": []}


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (TakeOverRequest(), {"take": 1}),
        (TakeOverRejected(), {"busy": True}),
        (ListenersMessage(["127.0.0.1:1"]), {"listeners": ["127.0.0.1:1"]}),
        (KnownMessage(KNOWN), {"known": KNOWN}),
        (ReadyMessage(), {"ready": True}),
        (GoMessage(KNOWN), {"go": True, "known": KNOWN}),
        (ServingMessage(), {"serving": True}),
        (StatusRequest("hosts"), {"ask": "hosts"}),
    ],
)
def test_message_when_it_is_sent_then_its_wire_form_is_that_of_earlier_versions(message, wire):
    assert message.to_wire() == wire


def test_message_when_it_is_received_then_is_what_was_sent():
    assert TakeOverRequest.is_sent_by(TakeOverRequest().to_wire())
    assert ListenersMessage.from_wire({"listeners": ["a", "b"]}, 3) == ListenersMessage(["a", "b"])
    assert KnownMessage.from_wire({"known": KNOWN}) == KnownMessage(KNOWN)
    assert ReadyMessage.from_wire({"ready": True}) == ReadyMessage()
    assert GoMessage.from_wire({"go": True, "known": KNOWN}) == GoMessage(KNOWN)
    assert ServingMessage.from_wire({"serving": True}) == ServingMessage()
    assert StatusRequest.name_of({"ask": "hosts"}) == "hosts"


@pytest.mark.parametrize("read", [ReadyMessage.from_wire, GoMessage.from_wire, ServingMessage.from_wire])
def test_message_when_it_is_another_than_expected_then_raises(read):
    with pytest.raises(HandoverError):
        read({"take": 1})
    assert not TakeOverRequest.is_sent_by({"ready": True})
    assert StatusRequest.name_of({"take": 1}) is None


def test_known_endpoints_when_there_are_none_then_are_empty():
    assert KnownMessage.from_wire({}).known == {} and GoMessage.from_wire({"go": 1, "known": []}).known == {}


def test_listeners_when_another_successor_takes_over_or_descriptors_are_missing_then_raises():
    with pytest.raises(HandoverInProgressError):
        ListenersMessage.from_wire(TakeOverRejected().to_wire(), 0)
    with pytest.raises(HandoverError, match="did not all come"):
        ListenersMessage.from_wire({"listeners": ["a"]}, 1)  # the lock's is missing
    with pytest.raises(HandoverError, match="did not all come"):
        ListenersMessage.from_wire({"listeners": "a"}, 2)
