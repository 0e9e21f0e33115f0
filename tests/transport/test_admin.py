"""Admin port and the commands that talk to it, against the platform's stand-in."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession
from attrs import evolve
from click.testing import CliRunner
from orjson import dumps, loads

from basilwick.cli.main import main
from basilwick.core.assignment import BlockDocument, Ownership, block_key
from basilwick.core.configuration import DOCUMENT_PREFIXES, Configuration
from basilwick.core.records import (
    DataCentreRecord,
    ServerRecord,
    ServerState,
    ServiceRecord,
    encode_record,
)
from basilwick.core.routing import Location, Peer
from basilwick.fakes.platform import FakePlatform
from basilwick.platform.http import HttpPlatformClient
from basilwick.transport.admin import AdminPort

SERVER = ServerRecord("clue-1", "clue", "dc-a", "127.0.0.1:7001")
PATH = "/records/server/clue-1"
KEY = "records/server/clue-1"


class _View:
    """Instance that serves one block from one server."""

    def __init__(self):
        self.configuration = Configuration()
        self.schema_max = {"a-1": 2}
        self.routing = self
        self.self_peer = Peer("a-1", "i1", "dc-a", "127.0.0.1:1")

    def get_status(self):
        return {"ready": True}

    def list_schema_max(self):
        return self.schema_max

    def announce(self, entry):
        self.configuration.apply_entries([entry])

    def get_service(self, name):
        return self.configuration.services.get(name)

    def locate(self, service, key, now):
        return Location(
            "clue", 0, ("clue", 0), 5, "dc-a", 1, 1, SERVER, now + 0.5, self.self_peer
        )

    def get_permission_end(self, block, generation, now):
        return 0.0


@asynccontextmanager
async def _run(shared_key=""):
    fake = FakePlatform()
    for kept in (ServiceRecord("clue"), SERVER, DataCentreRecord("dc-a")):
        fake.store_record(loads(encode_record(kept)))
    document = BlockDocument(
        "clue", 0, 1, "dc-a", {0: Ownership("clue-1", 1), 1: Ownership("clue-2", 1)}
    )
    fake.store.write(block_key("clue", 0), document.encode().decode())
    await fake.start()
    platform = HttpPlatformClient(fake.address)
    await platform.start()
    view = _View()
    view.configuration.apply(await platform.list_entries(DOCUMENT_PREFIXES))
    admin = AdminPort(view, platform, "127.0.0.1:0", shared_key)
    await admin.start()
    session = ClientSession(f"http://{admin.address}")
    try:
        yield fake, view, admin, session
    finally:
        await session.close()
        await admin.close()
        await platform.close()
        await fake.close()


async def _put(session, record, expected, path=PATH, schema=2):
    data = encode_record(record, schema)
    async with session.put(
        path, params={"expected": str(expected)}, data=data
    ) as answer:
        return answer.status, await answer.json()


async def _get(session, path):
    async with session.get(path) as answer:
        return answer.status, await answer.json()


async def _command(admin, *arguments, **kwargs):
    arguments = [*arguments, "--admin", admin.address]
    return await asyncio.to_thread(CliRunner().invoke, main, arguments, **kwargs)


async def test_of_racing_operators_one_wins_and_the_other_gets_revision_and_diff():
    # Guards against a put that overwrites what another operator just decided.
    async with _run() as (fake, view, _, session):
        revision = view.configuration.get_entry(KEY).revision
        changes = [evolve(SERVER, slots=n) for n in (7, 9)]
        results = await asyncio.gather(
            *[_put(session, change, revision) for change in changes]
        )
        assert sorted(status for status, _ in results) == [200, 409]
        (winner,) = [answer for status, answer in results if status == 200]
        (loser,) = [answer for status, answer in results if status == 409]
        slots = loads(fake.store.read(KEY).value)["slots"]
        assert loser["error"] == "conflict"
        assert loser["revision"] == winner["revision"]
        assert loser["diff"] == [f"slots: {slots} -> {16 - slots}"]
        assert view.configuration.servers["clue-1"].slots == slots


async def test_outage_refuses_puts_and_reads_fall_back_to_the_known_record():
    # Guards against a put that is acknowledged without being stored.
    async with _run() as (fake, view, admin, session):
        fake.faults.down = True
        status, answer = await _put(session, evolve(SERVER, slots=9), 2)
        assert (status, answer["error"]) == (503, "platform_unavailable")
        assert view.configuration.servers["clue-1"].slots == SERVER.slots
        _, answer = await _get(session, PATH)
        assert answer["consistent"] is False
        result = await _command(admin, "record", "history", "server", "clue-1")
        assert result.exit_code == 4


async def test_put_checks_schema_and_ownership():
    # Guards against a record that some instance can't read, and against a second
    # process under the name of a server that still owns shards.
    async with _run() as (fake, view, _, session):
        view.schema_max["b-1"] = 1
        status, answer = await _put(session, evolve(SERVER, slots=9), 2)
        assert (status, answer["faults"][0][:6]) == (400, "schema")
        status, _ = await _put(session, evolve(SERVER, slots=9), 2, schema=1)
        assert status == 200
        view.schema_max["b-1"] = 2
        out = evolve(SERVER, state=ServerState.OUT)
        _, answer = await _put(session, out, fake.store.read(KEY).revision)
        moved = evolve(SERVER, address="127.0.0.1:7002")
        status, answer = await _put(session, moved, answer["revision"])
        assert (status, answer["faults"][0][:7]) == (400, "address")
        status, _ = await _put(session, SERVER, 0, "/records/server/other")
        assert status == 400
        data = dumps(loads(encode_record(SERVER)) | {"schema": 3, "kind": "server"})
        fake.store.write(KEY, data.decode())
        status, answer = await _put(session, SERVER, fake.revision)
        assert "schema 3" in answer["faults"][0]


async def test_predecessor_autonomy_is_stored_with_the_record():
    # Guards against an instance that starts later and takes the blocks too early.
    async with _run() as (fake, view, _, session):
        path, revision = "/records/data_centre/dc-a", 3
        for autonomy_s in (900.0, 60.0):
            record = DataCentreRecord("dc-a", autonomy_s=autonomy_s)
            _, answer = await _put(session, record, revision, path)
            revision = answer["revision"]
        stored = loads(fake.store.read("records/data_centre/dc-a").value)
        assert stored["replaced_autonomy_s"] == 900.0
        assert view.configuration.autonomy_s["dc-a"] == 900.0


async def test_history_is_bounded_and_repaired():
    # Guards against a history that outgrows the platform's values, and against a gap
    # after an outage between the write of the record and that of its history.
    async with _run() as (fake, _, admin, session):
        fake.store.after_write = lambda key: setattr(
            fake.faults, "down", key.startswith("records/")
        )
        revisions = [2]
        status, answer = await _put(session, evolve(SERVER, slots=5), 2)
        assert status == 200
        fake.store.after_write = None
        fake.faults.down = False
        revisions.append(answer["revision"])
        for slots in range(6, 66):
            _, answer = await _put(session, evolve(SERVER, slots=slots), revisions[-1])
            revisions.append(answer["revision"])
            if slots == 6:
                _, answer = await _get(session, f"{PATH}/history")
                assert [x["revision"] for x in answer["history"]] == revisions[:0:-1]
        _, answer = await _get(session, f"{PATH}/history")
        assert [x["revision"] for x in answer["history"]] == revisions[:-51:-1]
        assert answer["history"][0]["diff"] == ["slots: 64 -> 65"]
        result = await _command(admin, "record", "history", "server", "clue-1")
        assert result.stdout.count("revision") == 50


@pytest.mark.parametrize("path", ["/metrics", "/status", "/records", f"{PATH}/history"])
async def test_shared_key_is_required_when_set(path, tmp_path):
    # Guards against a route that was left open.
    async with _run("correct-key-of-16") as (_, _, admin, session):
        for header in ({}, {"Authorization": "Bearer wrong"}):
            async with session.get(path, headers=header) as answer:
                assert answer.status == 401
        header = {"Authorization": "Bearer correct-key-of-16"}
        async with session.get(path, headers=header) as answer:
            assert answer.status == 200
        assert (await _command(admin, "status")).exit_code == 6
        (tmp_path / "key").write_text("correct-key-of-16\n")
        result = await _command(admin, "status", "--key-file", str(tmp_path / "key"))
        assert (result.exit_code, "ready: True" in result.stdout) == (0, True)


async def test_put_command_shows_what_moves_before_it_asks(tmp_path):
    # Guards against an operator who empties a server without knowing, and against a put
    # on a record that changed since it was read.
    async with _run() as (fake, _, admin, _):
        file = tmp_path / "server.json"
        file.write_bytes(encode_record(evolve(SERVER, state=ServerState.DRAINING)))
        put = ["record", "put", str(file)]
        result = await _command(admin, *put, input="n\n")
        assert result.exit_code == 7
        assert "state: active -> draining" in result.stdout
        assert "will move: 1 shards and 0 hot keys of 1 blocks" in result.stdout
        assert "warning: no other active server" in result.stdout
        assert fake.store.read(KEY).revision == 2
        result = await _command(admin, *put, "--yes", "--expected", "1")
        assert (result.exit_code, "conflict" in result.stderr) == (3, False)
        assert "has revision 2, not 1" in result.stderr
        result = await _command(admin, *put, "--yes", "--json")
        assert loads(result.stdout)["moves"]["shards"] == 1
        result = await _command(admin, *put, "--yes")
        assert (result.exit_code, "no change" in result.stdout) == (0, True)
        result = await _command(admin, "record", "get", "server", "none", "--json")
        assert (result.exit_code, loads(result.stdout)["error"]) == (5, "not_found")


async def test_record_commands_read_what_put_wrote():
    async with _run() as (_, _, admin, _):
        result = await _command(admin, "record", "list", "server")
        assert result.stdout == "server/clue-1 revision 2\n"
        result = await _command(admin, "record", "get", "server", "clue-1")
        assert loads(result.stdout)["address"] == SERVER.address
        assert result.stderr == "revision 2\n"


async def test_explanation_says_what_a_request_waits_for():
    # Guards against an operator who can't tell a missing permission from a lost owner.
    async with _run() as (_, _, admin, _):
        result = await _command(admin, "explain", "clue", "gate/7", "--json")
        answer = loads(result.stdout)
        assert (answer["key"], answer["owner"]["name"]) == ("gate/7", "clue-1")
        assert "the owner becomes active in 0.50 s" in answer["waits"]
        assert "no permission" in answer["waits"][1]
        result = await _command(admin, "explain", "none", "a")
        assert result.exit_code == 5


async def test_requests_that_fit_no_route_get_an_error_in_the_usual_form():
    # Guards against a command that takes an oversized record for an outage.
    async with _run() as (_, _, _, session):
        async with session.put(
            PATH, params={"expected": "2"}, data=b" " * 70_000
        ) as answer:
            assert (answer.status, "remedy" in await answer.json()) == (413, True)
        assert (await _get(session, "/nothing"))[0] == 404


async def test_lost_answer_of_a_put_is_an_acknowledged_put():
    # Guards against an operator who puts again what is already in force.
    async with _run() as (fake, view, _, session):
        fake.faults.lose_write_answers = True
        status, _ = await _put(session, evolve(SERVER, slots=9), 2)
        assert status == 200
        assert view.configuration.servers["clue-1"].slots == 9
