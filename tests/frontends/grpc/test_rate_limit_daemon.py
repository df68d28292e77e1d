"""End-to-end tests of the rate limit service of `api-gateway serve`.

The gateway runs in a process of its own. The clients are grpcio with the published messages, health and
reflection packages.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys

import grpc
import pytest
import trustme
from frontends.grpc.grpc_deployment import (
    CUSTOMER,
    OK,
    OVER_LIMIT,
    QUOTA,
    RATE_LIMIT_SERVICE,
    RULE,
    GrpcDeployment,
)
from gateway_harness import make_command, make_fields, read_reply, run_on_uvloop
from google.protobuf.descriptor_pool import DescriptorPool
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import ProtoReflectionDescriptorDatabase
from local_deployment import (
    GATEWAY_COMMAND,
    LEDGER_TERMS,
    ROOT,
    BackgroundTraffic,
    LocalDeployment,
    free_port,
)

from apigateway.emulators.checks import CheckClient
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.ratelimit import EmulatedRateLimitService


async def run_cli(*arguments):
    program = await asyncio.create_subprocess_exec(
        *GATEWAY_COMMAND, *arguments, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    out, err = await program.communicate()
    return program.returncode, out.decode(), err.decode()


@run_on_uvloop
async def test_checks_and_requests_share_a_quota_and_both_ports_serve(tmp_path):
    async with GrpcDeployment(tmp_path) as deployment:
        program = await deployment.start_gateway()
        async with deployment.channel() as channel:
            overall_codes = [(await deployment.check(channel)).overall_code for _ in range(25)]
            assert 9 <= overall_codes.count(OK) <= 20 and overall_codes[-1] == OVER_LIMIT
            reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
            writer.write(
                make_command(b"r1", make_fields(t="quota"), customer=CUSTOMER.encode()) + make_command(b"r2")
            )
            assert (await read_reply(reader)).startswith(b"-BUSY")
            assert (await read_reply(reader)).startswith(b"$")
            writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_health_and_reflection_follow_the_grpc_protocols(tmp_path):
    async with GrpcDeployment(tmp_path) as deployment:
        program = await deployment.start_gateway()
        async with deployment.channel() as channel:
            health = health_pb2_grpc.HealthStub(channel)
            request = health_pb2.HealthCheckRequest
            response_type = health_pb2.HealthCheckResponse
            serving, not_serving = response_type.SERVING, response_type.NOT_SERVING
            for name in ("", RATE_LIMIT_SERVICE):
                assert (await health.Check(request(service=name))).status == serving
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await health.Check(request(service="nobody"))
            assert raised.value.code() == grpc.StatusCode.NOT_FOUND
            assert set((await health.List(health_pb2.HealthListRequest())).statuses) == {
                "",
                RATE_LIMIT_SERVICE,
            }
            unknown_watch = health.Watch(request(service="nobody"))
            assert (await unknown_watch.read()).status == health_pb2.HealthCheckResponse.SERVICE_UNKNOWN
            unknown_watch.cancel()
            await asyncio.to_thread(assert_reflection_describes_services, deployment.grpc_port)
            watch = health.Watch(request(service=RATE_LIMIT_SERVICE))
            assert (await watch.read()).status == serving
            program.send_signal(signal.SIGTERM)
            assert (await watch.read()).status == not_serving
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await watch.read()
            assert raised.value.code() == grpc.StatusCode.UNAVAILABLE
        assert await program.wait() == 0


def assert_reflection_describes_services(port):
    """Check that a client without message definitions can get them from the server."""
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        database = ProtoReflectionDescriptorDatabase(channel)
        assert {RATE_LIMIT_SERVICE, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection"} <= set(
            database.get_services()
        )
        pool = DescriptorPool(database)
        service = pool.FindServiceByName(RATE_LIMIT_SERVICE)
        assert service.methods_by_name["ShouldRateLimit"].input_type.name == "RateLimitRequest"
        reflection_service = pool.FindServiceByName("grpc.reflection.v1.ServerReflection")
        assert (
            reflection_service.methods[0].input_type.full_name == "grpc.reflection.v1.ServerReflectionRequest"
        )
        with pytest.raises(KeyError):
            pool.FindServiceByName("no.such.Service")


@run_on_uvloop
async def test_no_check_fails_during_a_shutdown_and_hand_over(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with GrpcDeployment(tmp_path, ledger=ledger) as deployment:
        first = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as load:
            checks = CheckClient(ledger, {"g": ("127.0.0.1", deployment.grpc_port)})
            is_over = False

            async def send_checks():
                while not is_over:
                    await checks.check("g", CUSTOMER, "p", timeout_s=3.0)

            senders = [asyncio.ensure_future(send_checks()) for _ in range(4)]
            for _ in range(2):
                second = await deployment.start_gateway("--take-over")
                assert await first.wait() == 0
                first = second
                before = checks.outcome_counts["ok"]
                while checks.outcome_counts["ok"] < before + 20:
                    await load.wait_for_served(1)
            is_over = True
            await asyncio.gather(*senders)
            await checks.close()
            assert set(checks.outcome_counts) == {"ok"}, checks.error_details
        first.send_signal(signal.SIGTERM)
        assert await first.wait() == 0


class Certificates:
    def __init__(self, path):
        self.path, self.ca, self.other = path, trustme.CA(), trustme.CA()
        self.ca.cert_pem.write_to_path(path / "ca.pem")
        self.issue("server", "gateway.test")

    def issue(self, name, host, ca=None):
        issued = (ca or self.ca).issue_cert(host)
        (self.path / f"{name}.pem").write_bytes(b"".join(pem.bytes() for pem in issued.cert_chain_pems))
        issued.private_key_pem.write_to_path(self.path / f"{name}.key")
        return issued

    def credentials(self, client=None, ca=None):
        root = (ca or self.ca).cert_pem.bytes()
        if client is None:
            return grpc.ssl_channel_credentials(root)
        return grpc.ssl_channel_credentials(
            root, client.private_key_pem.bytes(), b"".join(pem.bytes() for pem in client.cert_chain_pems)
        )


TLS = '[ratelimit.tls]\ncert = "server.pem"\nkey = "server.key"\n'


@run_on_uvloop
async def test_tls_certificates_are_replaced_by_a_reload(tmp_path):
    certificates = Certificates(tmp_path)
    async with GrpcDeployment(tmp_path, rules=TLS + RULE) as deployment:
        program = await deployment.start_gateway()
        async with deployment.channel(certificates.credentials(), "gateway.test") as channel:
            assert (await deployment.check(channel)).overall_code == OK
            for wrong_credentials in (certificates.credentials(ca=certificates.other), None):
                async with deployment.channel(wrong_credentials, "gateway.test") as wrong_channel:
                    with pytest.raises(grpc.aio.AioRpcError) as raised:
                        await deployment.check(wrong_channel, timeout=2.0)
                    assert raised.value.code() in (
                        grpc.StatusCode.UNAVAILABLE,
                        grpc.StatusCode.DEADLINE_EXCEEDED,
                    )
            (tmp_path / "server.key").write_text("no key")
            assert b"rejected, the old settings stay in force" in await deployment.reload(program)
            async with deployment.channel(certificates.credentials(), "gateway.test") as new_channel:
                assert (await deployment.check(new_channel)).overall_code == OK
            certificates.issue("server", "renewed.test")
            assert b"certificates or keys reloaded" in await deployment.reload(program)
            async with deployment.channel(certificates.credentials(), "renewed.test") as new_channel:
                assert (await deployment.check(new_channel)).overall_code == OK
            assert (await deployment.check(channel)).overall_code == OK  # an existing connection continues
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_mutual_tls_requires_a_client_certificate_of_the_configured_ca(tmp_path):
    certificates = Certificates(tmp_path)
    trusted_client, untrusted_client = (
        certificates.issue("client", "client.test"),
        certificates.issue("untrusted", "client.test", certificates.other),
    )
    async with GrpcDeployment(tmp_path, rules=TLS + 'client_ca = "ca.pem"\n' + RULE) as deployment:
        await deployment.start_gateway()
        async with deployment.channel(certificates.credentials(trusted_client), "gateway.test") as channel:
            assert (await deployment.check(channel)).overall_code == OK
        for client in (None, untrusted_client):
            async with deployment.channel(certificates.credentials(client), "gateway.test") as channel:
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await deployment.check(channel)
                assert raised.value.code() == grpc.StatusCode.UNAVAILABLE
        code, out, err = await run_cli(
            "ratelimit",
            "ask",
            f"127.0.0.1:{deployment.grpc_port}",
            "--domain",
            "roster",
            f"customer={CUSTOMER}",
            "plan=quota",
            "--ca",
            str(tmp_path / "ca.pem"),
            "--cert",
            str(tmp_path / "client.pem"),
            "--key",
            str(tmp_path / "client.key"),
            "--name",
            "gateway.test",
        )
        assert code == 0 and out.startswith("ok\n"), err


@run_on_uvloop
async def test_silent_clients_before_tls_hold_no_more_than_their_share_of_connections(tmp_path):
    certificates = Certificates(tmp_path)
    async with GrpcDeployment(tmp_path, rules=TLS + RULE) as deployment:
        deployment.settings_file.write_text(
            deployment.settings_file.read_text().replace("sockets = 1024", "sockets = 128")
        )
        await deployment.start_gateway()
        silent_connections = []
        for _ in range(60):
            silent_connections.append(await asyncio.open_connection("127.0.0.1", deployment.grpc_port))
        # Half of the 64 connections are for clients, and half of those for this frontend. Any others are
        # closed at once.
        closes = [asyncio.ensure_future(reader.read()) for reader, _ in silent_connections]
        done, _ = await asyncio.wait(closes, return_when=asyncio.FIRST_COMPLETED)
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        writer.write(make_command(b"r1"))
        assert (await read_reply(reader)).startswith(b"$")  # the other frontend still accepts connections
        await asyncio.wait(closes)  # after the handshake timeout all of them are closed
        while True:  # a client sees the close before the server has removed the connection
            async with deployment.channel(certificates.credentials(), "gateway.test") as channel:
                try:
                    assert (await deployment.check(channel)).overall_code == OK
                    break
                except grpc.aio.AioRpcError:
                    pass
        for _, writer in silent_connections:
            writer.close()


@run_on_uvloop
async def test_reload_applies_rules_limits_and_keys_completely_or_not_at_all(tmp_path):
    (tmp_path / "key-1").write_bytes(os.urandom(32))
    (tmp_path / "key-2").write_bytes(os.urandom(32))
    async with GrpcDeployment(tmp_path) as deployment:
        program = await deployment.start_gateway()
        async with deployment.channel() as channel:
            assert not (await deployment.check(channel, plan="p")).response_headers_to_add
            keyed_settings = '[ratelimit]\ntoken_keys = ["key-1"]\noverride = "tighten"\n'
            deployment.write_settings(rules=keyed_settings + RULE + "token = true\n")
            assert b"ratelimit" in await deployment.reload(program)
            (header,) = (await deployment.check(channel, plan="p")).response_headers_to_add
            assert header.key == "x-calicomast-token"
            # Limit in the descriptor: four a minute, with a burst of one and one more every 15 s.
            codes = [
                (await deployment.check(channel, "00000000000000bb", "p", limit=(4, 2))).overall_code
                for _ in range(6)
            ]
            assert 1 <= codes.count(OK) <= 2
            deployment.write_settings(rules=keyed_settings.replace("key-1", "key-3") + RULE)
            assert b"rejected, the old settings stay in force" in await deployment.reload(program)
            deployment.write_settings(
                rules=keyed_settings + RULE.replace('"quota"', '"nothing"').replace("{plan}", "gold")
            )
            assert b"rejected, the old settings stay in force" in await deployment.reload(program)
            # The old settings are still in force.
            assert (await deployment.check(channel, plan="p")).response_headers_to_add
            deployment.write_settings(
                rules=keyed_settings.replace('"key-1"', '"key-2", "key-1"') + RULE + "token = true\n"
            )
            assert b"signed with another key" in await deployment.reload(program)
            reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
            token = f"t=p,d=3000,units=1,spread=1,first=0,tok={header.value}".encode()
            writer.write(make_command(b"r1", b"c=read," + token, customer=CUSTOMER.encode()))
            assert (await read_reply(reader)).startswith(b"$")
            writer.close()
            code, out, _ = await run_cli("ratelimit", "status", str(deployment.settings_file))
            issued_count = 2 + codes.count(OK)
            assert code == 0 and f"tokens: given {issued_count}, taken 1" in out and "ok " in out
            deployment.write_settings(rules=keyed_settings.replace("tighten", "refuse") + RULE)
            await deployment.reload(program)
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await deployment.check(channel, limit=(4, 2))
            assert raised.value.code() == grpc.StatusCode.INVALID_ARGUMENT


@run_on_uvloop
async def test_reload_adds_and_removes_the_listener(tmp_path):
    async with GrpcDeployment(tmp_path) as deployment:
        LocalDeployment.write_settings(deployment)
        program = await deployment.start_gateway()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", deployment.grpc_port)
        deployment.write_settings()
        # Changed plans require a restart.
        deployment.settings_file.write_text(deployment.settings_file.read_text().replace(QUOTA, ""))
        assert b"listeners" in await deployment.reload(program)
        async with deployment.channel() as channel:
            assert (await deployment.check(channel, plan="p")).overall_code == OK
            deployment.settings_file.write_text(
                deployment.settings_file.read_text().replace('protocol = "grpc"', 'protocol = "resp"')
            )
            assert b"rejected" in await deployment.reload(program)
            assert (await deployment.check(channel, plan="p")).overall_code == OK
            LocalDeployment.write_settings(deployment)
            assert b"listeners" in await deployment.reload(program)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", deployment.grpc_port)


@run_on_uvloop
async def test_external_service_is_used_by_settings_and_removed_by_a_reload(tmp_path):
    async with EmulatedRateLimitService({CUSTOMER: 0}) as service, GrpcDeployment(tmp_path) as deployment:
        ask_settings = (
            f'[ask]\naddress = "127.0.0.1:{service.port}"\nplans = ["p"]\ntimeout = 2.0\nshare = 1.0\n'
        )
        deployment.write_settings(rules=ask_settings + RULE)
        program = await deployment.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        writer.write(make_command(b"r1", customer=CUSTOMER.encode()))
        assert (await read_reply(reader)).startswith(b"-BUSY")
        code, out, _ = await run_cli("ratelimit", "status", str(deployment.settings_file), "--json")
        assert code == 0 and json.loads(out)["outer"]["counts"] == {"questions": 1, "no": 1}
        deployment.write_settings()
        assert b"ask" in await deployment.reload(program)
        writer.write(make_command(b"r2", customer=CUSTOMER.encode()))
        assert (await read_reply(reader)).startswith(b"$")
        writer.close()


@run_on_uvloop
async def test_gateway_uses_another_gateway_as_its_external_service_over_tls(tmp_path):
    """A gateway's rate limit service can be another gateway's external service: both quotas apply."""
    Certificates(tmp_path)
    external = GrpcDeployment(
        tmp_path, rules=TLS + RULE.replace('"plan"]', '"plan=*"]').replace("{plan}", "quota")
    )
    (tmp_path / "b").mkdir()
    async with external, LocalDeployment(tmp_path / "b") as deployment:
        await external.start_gateway()
        deployment.write_settings()
        ask_settings = (
            f'[ask]\naddress = "127.0.0.1:{external.grpc_port}"\nplans = ["p"]\ndomain = "roster"\n'
            f'timeout = 2.0\nshare = 1.0\n[ask.tls]\non = true\nca = "../ca.pem"\nname = "gateway.test"\n'
        )
        deployment.settings_file.write_text(deployment.settings_file.read_text() + ask_settings)
        await deployment.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        answers = []
        for n in range(25):
            writer.write(make_command(b"r%d" % n, customer=CUSTOMER.encode()))
            answers.append(await read_reply(reader))
        served = sum(answer.startswith(b"$") for answer in answers)
        assert 9 <= served <= 20 and answers[-1].startswith(b"-BUSY ")
        writer.close()


@run_on_uvloop
async def test_command_line_sends_one_check(tmp_path):
    async with GrpcDeployment(tmp_path) as deployment:
        await deployment.start_gateway()
        arguments = (
            "ratelimit",
            "ask",
            f"127.0.0.1:{deployment.grpc_port}",
            "--domain",
            "roster",
            f"customer={CUSTOMER}",
            "plan=quota",
        )
        code, out, _ = await run_cli(*arguments)
        assert code == 0 and out.startswith("ok\n") and "3 a minute (quota)" in out and " left" in out
        code, out, _ = await run_cli(*arguments, "--descriptor", f"customer={CUSTOMER},plan=p", "--json")
        response = json.loads(out)
        assert code == 0 and [status["code"] for status in response["statuses"]] == ["OK", "OK"]
        code, out, _ = await run_cli(*arguments, "--hits", "1000")
        assert code == 3 and out.startswith("over limit\n")
        code, _, err = await run_cli(
            "ratelimit", "ask", f"127.0.0.1:{free_port()}", "a=b", "--timeout", "0.3"
        )
        assert code == 1 and "DEADLINE_EXCEEDED" in err
        for invalid_arguments in (["nowhere", "a=b"], [arguments[2], "novalue"], [arguments[2]]):
            code, _, err = await run_cli("ratelimit", "ask", *invalid_arguments)
            assert code == 2 and err.startswith("api-gateway: ")


@run_on_uvloop
async def test_gateway_without_rate_limit_service_does_not_import_its_modules():
    code = (
        "import sys; {}; print([m for m in sys.modules if m.split('.')[0] in ('h2', 'hpack', 'envoy', "
        "'google', 'grpc', 'grpc_health', 'grpc_reflection') "
        "or m in ('apigateway.upstream.rpc', 'apigateway.frontends.grpc.frontend', "
        "'apigateway.frontends.grpc.tokens') "
        # The package and its settings module do not import gRPC.
        "or 'ratelimit' in m and m not in ('apigateway.external_ratelimit', "
        "'apigateway.external_ratelimit.settings')])"
    )
    for statement in ("import apigateway.daemon.platform", "import apigateway.daemon.serve"):
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code.format(statement), cwd=ROOT, stdout=subprocess.PIPE
        )
        assert (await program.communicate())[0] == b"[]\n", statement


@run_on_uvloop
async def test_workers_share_the_listener_and_report_their_own_counts(tmp_path):
    (tmp_path / "key-1").write_bytes(os.urandom(32))
    rules = '[ratelimit]\ntoken_keys = ["key-1"]\n' + RULE + "token = true\n"
    async with GrpcDeployment(tmp_path, rules=rules) as deployment:
        program = await deployment.start_gateway("--workers", "2", ready=False)
        await deployment.wait_for_log_line(program, b"workers listen on")
        tokens = []
        for _ in range(8):
            async with grpc.aio.insecure_channel(
                f"127.0.0.1:{deployment.grpc_port}", [("grpc.use_local_subchannel_pool", 1)]
            ) as channel:
                response = await deployment.check(channel, plan="p")
                tokens += [header.value for header in response.response_headers_to_add]
        assert len(tokens) == 8
        code, out, err = await run_cli("ratelimit", "status", str(deployment.settings_file))
        token_lines = [line for line in out.splitlines() if line.startswith("tokens: given ")]
        assert code == 0 and "worker-0:" in out and "worker-1:" in out, err
        assert sum(int(line.split()[2].rstrip(",")) for line in token_lines) == 8
        served = 0
        for n in range(8):  # either worker redeems a token, each at most once
            reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
            fields = f"c=read,t=p,d=3000,units=1,spread=1,first=0,tok={tokens[0]}".encode()
            writer.write(make_command(b"r%d" % n, fields, customer=CUSTOMER.encode()))
            served += (await read_reply(reader)).startswith(b"$")
            writer.close()
        assert served == 8  # the quota suffices for all; requests without a redeemed token use it
        code, out, err = await run_cli("ratelimit", "status", str(deployment.settings_file), "--json")
        redeemed_counts = [worker["tokens"].get("taken", 0) for worker in json.loads(out).values()]
        assert 1 <= sum(redeemed_counts) <= 2 and max(redeemed_counts) == 1
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
