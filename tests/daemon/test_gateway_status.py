"""Test the JSON of the statuses, whose keys operators' scripts read."""

from apigateway import messages
from apigateway.daemon.endpoint_load import EndpointLoad
from apigateway.daemon.gateway_status import (
    EndpointListStatus,
    ListedEndpoint,
    RateLimitListenerStatus,
    RateLimitStatus,
    SelectionStatus,
)

ENDPOINT = messages.Endpoint(
    "h1", zone="east", cell=2, weight=1.0, kind="std", state="leaving", started_at=0.0
)
ENDPOINT_JSON = {
    "id": "h1",
    "address": "127.0.0.1:7",
    "zone": "east",
    "cell": 2,
    "kind": "std",
    "state": "draining",
    "doubt": "",
    "since": None,
}
LOAD = EndpointLoad(
    is_in_subset=True,
    attempts_in_flight=1,
    load=2.3456,
    report_weight=0.12345,
    report_age_s=3.00004,
    success_probability=0.98765,
    backoff_scopes=["host"],
)


def test_endpoint_when_its_address_is_not_known_then_the_address_is_empty():
    assert ListedEndpoint(ENDPOINT, ("127.0.0.1", 7)).as_json() == ENDPOINT_JSON
    assert ListedEndpoint(ENDPOINT, None, "silent", 2.5).as_json() == ENDPOINT_JSON | {
        "address": "",
        "doubt": "silent",
        "since": 2.5,
    }


def test_endpoint_list_when_the_decision_module_is_unknown_then_has_no_selection_status():
    status = EndpointListStatus("file hosts.toml", None, [ListedEndpoint(ENDPOINT, ("127.0.0.1", 7))], None)
    assert status.as_json() == {"source": "file hosts.toml", "age": None, "hosts": [ENDPOINT_JSON]}


def test_endpoint_list_when_a_load_is_known_then_it_is_rounded_otherwise_empty():
    other = messages.Endpoint("h2", zone="", cell=0, weight=1.0, kind="", state="up", started_at=0.0)
    selection = SelectionStatus({"h1": LOAD}, {"report": 3}, ("west",), {"west": {"silent": 1}})
    endpoints = [ListedEndpoint(ENDPOINT, ("127.0.0.1", 7)), ListedEndpoint(other, None)]
    status_json = EndpointListStatus("discovery x", 0.5, endpoints, selection).as_json()
    assert status_json["hosts"][0]["choice"] == {
        "near": True,
        "out": 1,
        "load": 2.35,
        "told": 0.123,
        "age": 3.0,
        "sound": 0.988,
        "rests": ["host"],
    }
    assert status_json["hosts"][1]["choice"] == {}
    assert list(status_json) == ["source", "age", "hosts", "choices", "left", "sites"]
    assert (status_json["choices"], status_json["left"], status_json["sites"]) == (
        {"report": 3},
        ["west"],
        {"west": {"silent": 1}},
    )


def test_rate_limit_when_there_is_a_listener_then_its_counts_are_reported():
    assert RateLimitStatus().as_json() == {"listeners": [], "tokens": None, "outer": None}
    listener = RateLimitListenerStatus("127.0.0.1:7", True, 2, 1, {"ok": 5})
    assert RateLimitStatus([listener], {"given": 4}).as_json() == {
        "listeners": [
            {
                "address": "127.0.0.1:7",
                "tls": True,
                "connections": 2,
                "handshakes failed": 1,
                "answers": {"ok": 5},
            }
        ],
        "tokens": {"given": 4},
        "outer": None,
    }
