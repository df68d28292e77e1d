"""The rate limit service of a gateway as an operator runs it: `api-gateway serve` in a process of its own,
asked by foreign clients (grpcio, with the messages, health and reflection of the package registry)."""

import asyncio
import json
import os
import signal
import subprocess
import sys

import grpc
import pytest
import trustme
from envoy.service.ratelimit.v3 import rls_pb2 as pb
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

from apigateway.emulators.checks import Checks
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.ratelimit import EmulatedRateLimitService

NAME = "envoy.service.ratelimit.v3.RateLimitService"
RULE = """[[ratelimit.rules]]
domain = "roster"
entries = ["customer", "plan"]
customer = "{customer}"
plan = "{plan}"
class = "read"
"""
QUOTA = "[plans.quota]\nrate = 0.05\nburst = 10.0\n"
A = "00000000000000aa"
OK, OVER = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT


class GrpcSite(LocalDeployment):
    """A site whose gateway has the service too."""

    def __init__(self, path, rules=RULE, **kw):
        super().__init__(path, **kw)
        self.checks, self.rules = free_port(), rules

    def write_settings(self, ports=None, rules=None, **tables):
        super().write_settings(ports, **tables)
        text = self.settings_file.read_text()
        listener = f'[[listeners]]\nprotocol = "grpc"\naddress = "127.0.0.1:{self.checks}"\n'
        self.settings_file.write_text(listener + text + QUOTA + (rules or self.rules))

    def channel(self, credentials=None, name=None):
        target = f"127.0.0.1:{self.checks}"
        if credentials is None:
            return grpc.aio.insecure_channel(target)
        options = [("grpc.ssl_target_name_override", name)] if name else []
        return grpc.aio.secure_channel(target, credentials, options)

    async def ask(self, channel, customer=A, plan="quota", timeout=5.0, limit=None, **kw):
        call = channel.unary_unary(
            f"/{NAME}/ShouldRateLimit", pb.RateLimitRequest.SerializeToString, pb.RateLimitResponse.FromString
        )
        request = pb.RateLimitRequest(domain="roster", **kw)
        descriptor = request.descriptors.add()
        for key, value in (("customer", customer), ("plan", plan)):
            descriptor.entries.add(key=key, value=value)
        if limit is not None:
            descriptor.limit.requests_per_unit, descriptor.limit.unit = limit
        return await call(request, timeout=timeout)

    async def reload(self, program):
        program.send_signal(signal.SIGHUP)
        return await self.wait_for_log_line(program, b"reload:")


async def run(*arguments):
    program = await asyncio.create_subprocess_exec(
        *GATEWAY_COMMAND, *arguments, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    out, err = await program.communicate()
    return program.returncode, out.decode(), err.decode()


@run_on_uvloop
async def test_checks_and_requests_spend_of_one_store_and_both_ports_serve(tmp_path):
    async with GrpcSite(tmp_path) as site:
        program = await site.start_gateway()
        async with site.channel() as channel:
            told = [(await site.ask(channel)).overall_code for _ in range(25)]
            assert 9 <= told.count(OK) <= 20 and told[-1] == OVER
            reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
            writer.write(
                make_command(b"r1", make_fields(t="quota"), customer=A.encode()) + make_command(b"r2")
            )
            assert (await read_reply(reader)).startswith(b"-BUSY")
            assert (await read_reply(reader)).startswith(b"$")
            writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_health_and_reflection_as_grpc_users_expect(tmp_path):
    async with GrpcSite(tmp_path) as site:
        program = await site.start_gateway()
        async with site.channel() as channel:
            health = health_pb2_grpc.HealthStub(channel)
            request = health_pb2.HealthCheckRequest
            told = health_pb2.HealthCheckResponse
            serving, ending = told.SERVING, told.NOT_SERVING
            for name in ("", NAME):
                assert (await health.Check(request(service=name))).status == serving
            with pytest.raises(grpc.aio.AioRpcError) as told:
                await health.Check(request(service="nobody"))
            assert told.value.code() == grpc.StatusCode.NOT_FOUND
            assert set((await health.List(health_pb2.HealthListRequest())).statuses) == {"", NAME}
            unknown = health.Watch(request(service="nobody"))
            assert (await unknown.read()).status == health_pb2.HealthCheckResponse.SERVICE_UNKNOWN
            unknown.cancel()
            await asyncio.to_thread(self_described, site.checks)
            watch = health.Watch(request(service=NAME))
            assert (await watch.read()).status == serving
            program.send_signal(signal.SIGTERM)
            assert (await watch.read()).status == ending
            with pytest.raises(grpc.aio.AioRpcError) as told:
                await watch.read()
            assert told.value.code() == grpc.StatusCode.UNAVAILABLE
        assert await program.wait() == 0


def self_described(port):
    """A client that knows no message learns them from the server."""
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        found = ProtoReflectionDescriptorDatabase(channel)
        assert {NAME, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection"} <= set(
            found.get_services()
        )
        pool = DescriptorPool(found)
        service = pool.FindServiceByName(NAME)
        assert service.methods_by_name["ShouldRateLimit"].input_type.name == "RateLimitRequest"
        again = pool.FindServiceByName("grpc.reflection.v1.ServerReflection")
        assert again.methods[0].input_type.full_name == "grpc.reflection.v1.ServerReflectionRequest"
        with pytest.raises(KeyError):
            pool.FindServiceByName("no.such.Service")


@run_on_uvloop
async def test_a_stop_and_a_hand_over_in_the_middle_of_checks_fail_none(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with GrpcSite(tmp_path, ledger=ledger) as site:
        first = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            checks = Checks(ledger, {"g": ("127.0.0.1", site.checks)})
            over = False

            async def line():
                while not over:
                    await checks.ask("g", A, "p", timeout=3.0)

            lines = [asyncio.ensure_future(line()) for _ in range(4)]
            for _ in range(2):
                second = await site.start_gateway("--take-over")
                assert await first.wait() == 0
                first = second
                before = checks.counts["ok"]
                while checks.counts["ok"] < before + 20:
                    await load.wait_for_served(1)
            over = True
            await asyncio.gather(*lines)
            await checks.close()
            assert set(checks.counts) == {"ok"}, checks.failures
        first.send_signal(signal.SIGTERM)
        assert await first.wait() == 0


class Certificates:
    def __init__(self, path):
        self.path, self.ca, self.other = path, trustme.CA(), trustme.CA()
        self.ca.cert_pem.write_to_path(path / "ca.pem")
        self.issue("server", "gateway.test")

    def issue(self, name, host, ca=None):
        made = (ca or self.ca).issue_cert(host)
        (self.path / f"{name}.pem").write_bytes(b"".join(p.bytes() for p in made.cert_chain_pems))
        made.private_key_pem.write_to_path(self.path / f"{name}.key")
        return made

    def credentials(self, client=None, ca=None):
        root = (ca or self.ca).cert_pem.bytes()
        if client is None:
            return grpc.ssl_channel_credentials(root)
        return grpc.ssl_channel_credentials(
            root, client.private_key_pem.bytes(), b"".join(p.bytes() for p in client.cert_chain_pems)
        )


TLS = '[ratelimit.tls]\ncert = "server.pem"\nkey = "server.key"\n'


@run_on_uvloop
async def test_tls_and_other_certificates_by_a_reload(tmp_path):
    made = Certificates(tmp_path)
    async with GrpcSite(tmp_path, rules=TLS + RULE) as site:
        program = await site.start_gateway()
        async with site.channel(made.credentials(), "gateway.test") as channel:
            assert (await site.ask(channel)).overall_code == OK
            for wrong in (made.credentials(ca=made.other), None):
                async with site.channel(wrong, "gateway.test") as odd:
                    with pytest.raises(grpc.aio.AioRpcError) as told:
                        await site.ask(odd, timeout=2.0)
                    assert told.value.code() in (
                        grpc.StatusCode.UNAVAILABLE,
                        grpc.StatusCode.DEADLINE_EXCEEDED,
                    )
            (tmp_path / "server.key").write_text("no key")
            assert b"rejected, the old settings stay in force" in await site.reload(program)
            async with site.channel(made.credentials(), "gateway.test") as again:
                assert (await site.ask(again)).overall_code == OK
            made.issue("server", "renewed.test")
            assert b"certificates or keys reloaded" in await site.reload(program)
            async with site.channel(made.credentials(), "renewed.test") as again:
                assert (await site.ask(again)).overall_code == OK
            assert (await site.ask(channel)).overall_code == OK  # a connection from before goes on
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_mutual_tls_asks_clients_for_a_certificate_of_the_named_authority(tmp_path):
    made = Certificates(tmp_path)
    known, stranger = made.issue("client", "client.test"), made.issue("odd", "client.test", made.other)
    async with GrpcSite(tmp_path, rules=TLS + 'client_ca = "ca.pem"\n' + RULE) as site:
        await site.start_gateway()
        async with site.channel(made.credentials(known), "gateway.test") as channel:
            assert (await site.ask(channel)).overall_code == OK
        for client in (None, stranger):
            async with site.channel(made.credentials(client), "gateway.test") as channel:
                with pytest.raises(grpc.aio.AioRpcError) as told:
                    await site.ask(channel)
                assert told.value.code() == grpc.StatusCode.UNAVAILABLE
        code, out, err = await run(
            "ratelimit",
            "ask",
            f"127.0.0.1:{site.checks}",
            "--domain",
            "roster",
            f"customer={A}",
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
async def test_who_says_nothing_before_tls_holds_no_more_than_its_part(tmp_path):
    made = Certificates(tmp_path)
    async with GrpcSite(tmp_path, rules=TLS + RULE) as site:
        site.settings_file.write_text(
            site.settings_file.read_text().replace("sockets = 1024", "sockets = 128")
        )
        await site.start_gateway()
        lines = []
        for _ in range(60):
            lines.append(await asyncio.open_connection("127.0.0.1", site.checks))
        # Of 64 places half are clients', and half of those this front's: more are closed at once.
        ends = [asyncio.ensure_future(reader.read()) for reader, _ in lines]
        done, _ = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_command(b"r1"))
        assert (await read_reply(reader)).startswith(b"$")  # the other front has room
        await asyncio.wait(ends)  # and after their time for a handshake so are all
        while True:  # a client hears of an end before the server has cleared it away
            async with site.channel(made.credentials(), "gateway.test") as channel:
                try:
                    assert (await site.ask(channel)).overall_code == OK
                    break
                except grpc.aio.AioRpcError:
                    pass
        for _, writer in lines:
            writer.close()


@run_on_uvloop
async def test_rules_limits_and_keys_by_a_reload_whole_or_not_at_all(tmp_path):
    (tmp_path / "key-1").write_bytes(os.urandom(32))
    (tmp_path / "key-2").write_bytes(os.urandom(32))
    async with GrpcSite(tmp_path) as site:
        program = await site.start_gateway()
        async with site.channel() as channel:
            assert not (await site.ask(channel, plan="p")).response_headers_to_add
            keyed = '[ratelimit]\ntoken_keys = ["key-1"]\noverride = "tighten"\n'
            site.write_settings(rules=keyed + RULE + "token = true\n")
            assert b"ratelimit" in await site.reload(program)
            (header,) = (await site.ask(channel, plan="p")).response_headers_to_add
            assert header.key == "x-calicomast-token"
            # its own limit: four a minute, of which one may come at once and one more each 15 s
            codes = [
                (await site.ask(channel, "00000000000000bb", "p", limit=(4, 2))).overall_code
                for _ in range(6)
            ]
            assert 1 <= codes.count(OK) <= 2
            site.write_settings(rules=keyed.replace("key-1", "key-3") + RULE)
            assert b"rejected, the old settings stay in force" in await site.reload(program)
            site.write_settings(rules=keyed + RULE.replace('"quota"', '"nothing"').replace("{plan}", "gold"))
            assert b"rejected, the old settings stay in force" in await site.reload(program)
            assert (await site.ask(channel, plan="p")).response_headers_to_add  # as before
            site.write_settings(rules=keyed.replace('"key-1"', '"key-2", "key-1"') + RULE + "token = true\n")
            assert b"signed with another key" in await site.reload(program)
            reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
            token = f"t=p,d=3000,units=1,spread=1,first=0,tok={header.value}".encode()
            writer.write(make_command(b"r1", b"c=read," + token, customer=A.encode()))
            assert (await read_reply(reader)).startswith(b"$")
            writer.close()
            code, out, _ = await run("ratelimit", "status", str(site.settings_file))
            given = 2 + codes.count(OK)
            assert code == 0 and f"tokens: given {given}, taken 1" in out and "ok " in out
            site.write_settings(rules=keyed.replace("tighten", "refuse") + RULE)
            await site.reload(program)
            with pytest.raises(grpc.aio.AioRpcError) as told:
                await site.ask(channel, limit=(4, 2))
            assert told.value.code() == grpc.StatusCode.INVALID_ARGUMENT


@run_on_uvloop
async def test_the_listener_comes_and_goes_by_a_reload(tmp_path):
    async with GrpcSite(tmp_path) as site:
        LocalDeployment.write_settings(site)
        program = await site.start_gateway()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", site.checks)
        site.write_settings()
        site.settings_file.write_text(
            site.settings_file.read_text().replace(QUOTA, "")
        )  # plans wait for a restart
        assert b"listeners" in await site.reload(program)
        async with site.channel() as channel:
            assert (await site.ask(channel, plan="p")).overall_code == OK
            site.settings_file.write_text(
                site.settings_file.read_text().replace('protocol = "grpc"', 'protocol = "resp"')
            )
            assert b"rejected" in await site.reload(program)
            assert (await site.ask(channel, plan="p")).overall_code == OK
            LocalDeployment.write_settings(site)
            assert b"listeners" in await site.reload(program)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", site.checks)


@run_on_uvloop
async def test_asking_an_outer_service_by_settings_and_no_more_by_a_reload(tmp_path):
    async with EmulatedRateLimitService({A: 0}) as service, GrpcSite(tmp_path) as site:
        ask = f'[ask]\naddress = "127.0.0.1:{service.port}"\nplans = ["p"]\ntimeout = 2.0\nshare = 1.0\n'
        site.write_settings(rules=ask + RULE)
        program = await site.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_command(b"r1", customer=A.encode()))
        assert (await read_reply(reader)).startswith(b"-BUSY")
        code, out, _ = await run("ratelimit", "status", str(site.settings_file), "--json")
        assert code == 0 and json.loads(out)["outer"]["counts"] == {"questions": 1, "no": 1}
        site.write_settings()
        assert b"ask" in await site.reload(program)
        writer.write(make_command(b"r2", customer=A.encode()))
        assert (await read_reply(reader)).startswith(b"$")
        writer.close()


@run_on_uvloop
async def test_a_gateway_asks_another_over_tls(tmp_path):
    """Its own service is one that another gateway can ask: both quotas hold."""
    Certificates(tmp_path)
    asked = GrpcSite(tmp_path, rules=TLS + RULE.replace('"plan"]', '"plan=*"]').replace("{plan}", "quota"))
    (tmp_path / "b").mkdir()
    async with asked, LocalDeployment(tmp_path / "b") as site:
        await asked.start_gateway()
        site.write_settings()
        ask = (
            f'[ask]\naddress = "127.0.0.1:{asked.checks}"\nplans = ["p"]\ndomain = "roster"\n'
            f'timeout = 2.0\nshare = 1.0\n[ask.tls]\non = true\nca = "../ca.pem"\nname = "gateway.test"\n'
        )
        site.settings_file.write_text(site.settings_file.read_text() + ask)
        await site.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        answers = []
        for n in range(25):
            writer.write(make_command(b"r%d" % n, customer=A.encode()))
            answers.append(await read_reply(reader))
        served = sum(a.startswith(b"$") for a in answers)
        assert 9 <= served <= 20 and answers[-1].startswith(b"-BUSY ")
        writer.close()


@run_on_uvloop
async def test_the_command_line_asks_once(tmp_path):
    async with GrpcSite(tmp_path) as site:
        await site.start_gateway()
        at = (
            "ratelimit",
            "ask",
            f"127.0.0.1:{site.checks}",
            "--domain",
            "roster",
            f"customer={A}",
            "plan=quota",
        )
        code, out, _ = await run(*at)
        assert code == 0 and out.startswith("ok\n") and "3 a minute (quota)" in out and " left" in out
        code, out, _ = await run(*at, "--descriptor", f"customer={A},plan=p", "--json")
        told = json.loads(out)
        assert code == 0 and [s["code"] for s in told["statuses"]] == ["OK", "OK"]
        code, out, _ = await run(*at, "--hits", "1000")
        assert code == 3 and out.startswith("over limit\n")
        code, _, err = await run("ratelimit", "ask", f"127.0.0.1:{free_port()}", "a=b", "--timeout", "0.3")
        assert code == 1 and "DEADLINE_EXCEEDED" in err
        for odd in (["nowhere", "a=b"], [at[2], "novalue"], [at[2]]):
            code, _, err = await run("ratelimit", "ask", *odd)
            assert code == 2 and err.startswith("api-gateway: ")


@run_on_uvloop
async def test_a_gateway_without_it_loads_nothing_of_it():
    code = (
        "import sys; {}; print([m for m in sys.modules if m.split('.')[0] in ('h2', 'hpack', 'envoy', "
        "'google', 'grpc', 'grpc_health', 'grpc_reflection') "
        "or m in ('apigateway.upstream.rpc', 'apigateway.frontends.grpc.frontend', "
        "'apigateway.frontends.grpc.tokens') "
        # The package and its settings are plain data.
        "or 'ratelimit' in m and m not in ('apigateway.external_ratelimit', "
        "'apigateway.external_ratelimit.settings')])"
    )
    for what in ("import apigateway.daemon.platform", "import apigateway.daemon.serve"):
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code.format(what), cwd=ROOT, stdout=subprocess.PIPE
        )
        assert (await program.communicate())[0] == b"[]\n", what


@run_on_uvloop
async def test_workers_share_the_listener_and_each_tells_of_its_own(tmp_path):
    (tmp_path / "key-1").write_bytes(os.urandom(32))
    rules = '[ratelimit]\ntoken_keys = ["key-1"]\n' + RULE + "token = true\n"
    async with GrpcSite(tmp_path, rules=rules) as site:
        program = await site.start_gateway("--workers", "2", ready=False)
        await site.wait_for_log_line(program, b"workers listen on")
        tokens = []
        for _ in range(8):
            async with grpc.aio.insecure_channel(
                f"127.0.0.1:{site.checks}", [("grpc.use_local_subchannel_pool", 1)]
            ) as channel:
                response = await site.ask(channel, plan="p")
                tokens += [header.value for header in response.response_headers_to_add]
        assert len(tokens) == 8
        code, out, err = await run("ratelimit", "status", str(site.settings_file))
        told = [line for line in out.splitlines() if line.startswith("tokens: given ")]
        assert code == 0 and "worker-0:" in out and "worker-1:" in out, err
        assert sum(int(line.split()[2].rstrip(",")) for line in told) == 8
        served = 0
        for n in range(8):  # a token is taken by either worker, and once by each at most
            reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
            terms_told = f"c=read,t=p,d=3000,units=1,spread=1,first=0,tok={tokens[0]}".encode()
            writer.write(make_command(b"r%d" % n, terms_told, customer=A.encode()))
            served += (await read_reply(reader)).startswith(b"$")
            writer.close()
        assert served == 8  # there is quota for all; those without a token pay
        code, out, err = await run("ratelimit", "status", str(site.settings_file), "--json")
        taken = [worker["tokens"].get("taken", 0) for worker in json.loads(out).values()]
        assert 1 <= sum(taken) <= 2 and max(taken) == 1
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
