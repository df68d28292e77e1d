"""The reconciler with discovery as its source, and its transfer from one source to the next."""

from gateway_harness import make_command, run_on_uvloop
from local_deployment import LocalDeployment

from apigateway import messages
from apigateway.emulators.discovery import EmulatedDiscovery
from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.membership.reconciler import ReconcilerSettings, ReportedEndpoint
from apigateway.membership.reconciler_driver import ReconcilerDriver

EMPTY_LISTING = EndpointListing(messages.EndpointList("cached", 0, ()), {})


def make_listing(*ids, full=True, state="up"):
    return listing_from_json(
        {
            "version": 1,
            "full": full,
            "servers": [{"id": id, "addr": f"127.0.0.1:{n + 1}", "state": state} for n, id in enumerate(ids)],
        }
    )


@run_on_uvloop
async def test_empty_list_from_discovery_keeps_the_endpoints_and_marks_take_effect_at_once():
    changes = []
    driver = ReconcilerDriver(ReconcilerSettings(), EMPTY_LISTING, changes.append, lambda: 100.0)
    driver.apply_listing(make_listing("a", "b", "c"))
    driver.apply_listing(make_listing())
    assert len(changes) == 1 and set(driver.reconciler.records) == {"a", "b", "c"}
    driver.apply_listing(make_listing("a", full=False, state="removed"))
    assert [endpoint.state for endpoint in changes[-1].endpoint_list.endpoints] == ["down"]
    assert set(driver.reconciler.records) == {"b", "c"}


@run_on_uvloop
async def test_transferred_reconciler_keeps_its_doubts_and_its_age():
    first = ReconcilerDriver(ReconcilerSettings(), EMPTY_LISTING, lambda _: None, lambda: 100.0)
    first.apply(
        [
            ReportedEndpoint(messages.Endpoint(f"h{n}", "a", 0, 1.0, "", "up", 0.0), ("127.0.0.1", n))
            for n in range(4)
        ],
        is_complete=True,
    )
    first.apply([], is_complete=True)
    second = ReconcilerDriver(
        ReconcilerSettings(doubt_time=5.0), EMPTY_LISTING, lambda _: None, lambda: 200.0, first.reconciler
    )
    assert second.reconciler.last_update_at == 100.0
    assert {record.doubt for record in second.reconciler.records.values()} == {"missing"}
    first.close()


@run_on_uvloop
async def test_gateway_keeps_serving_when_discovery_returns_an_empty_list(tmp_path):
    async with LocalDeployment(tmp_path, hosts=2) as deployment, EmulatedDiscovery() as discovery:
        discovery.servers = [host.entry() for host in deployment.hosts]
        deployment.write_settings(hosts=f'source = "discovery"\ndiscovery = "127.0.0.1:{discovery.port}"')
        process = await deployment.start_gateway()
        discovery.raw_answer = "{"  # makes the watch fail, so that the complete list is requested
        discovery.apply_changes([])
        discovery.servers = []
        await deployment.wait_for_log_line(process, b"keeping the last list")
        while "index" not in await discovery.calls.get():
            pass  # the next watch shows that the gateway has read the empty list
        for n in range(20):
            assert (await deployment.send_request(make_command(b"r%d" % n))).startswith(b"$")
        assert sum(len(host.commands) for host in deployment.hosts) == 20
