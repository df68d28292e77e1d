"""Tests of the records of finished requests."""

import json
import threading

from plugins.plugin_fakes import ScriptedPlugin, make_harness, make_runner

from apigateway import messages
from apigateway.plugins.interfaces import Phase, Proposal, RequestView
from apigateway.plugins.proposals import RequestEffects
from apigateway.plugins.records import RequestRecorder, parse_record, read_records


def test_records_contain_the_results_of_the_tagged_requests(tmp_path):
    file = tmp_path / "records.jsonl"
    recorder = RequestRecorder(str(file), "export", 10**6, 100)
    responses = {
        Phase.REQUEST: lambda view: [Proposal("tag", "export", "1")] if view.request_id == "a" else [],
        Phase.ATTEMPT: lambda view: [Proposal("tag", "host", view.endpoint_id)],
    }
    harness = make_harness(
        make_runner(ScriptedPlugin(lambda phase, view: responses.get(phase, lambda _: [])(view))),
        recorder=recorder,
    )
    for request_id in "ab":
        harness.submit(request_id, [messages.ForwardRequest(request_id, "h1")])
        harness.module.next_actions = [messages.ForwardRequest(request_id, "h2")]
        harness.upstream.sent[-1].end("full")
        harness.upstream.sent[-1].end("ok")
    harness.manager.close()
    ((line_number, record),) = read_records(str(file))
    assert (line_number, record["id"], record["outcome"], record["tags"]) == (
        1,
        "a",
        "served",
        {"export": "1"},
    )
    assert record["attempts"] == [
        {"host": "h1", "tags": {"host": "h1"}},
        {"host": "h2", "tags": {"host": "h2"}},
    ]
    assert parse_record(record).service_class == "read"


def test_recorder_rotates_and_drops_and_reader_skips_an_incomplete_line(tmp_path):
    file = tmp_path / "r.jsonl"
    recorder = RequestRecorder(str(file), "", 2000, 1000)
    for n in range(20):
        recorder.record(RequestView(str(n)), RequestEffects(), [])
    recorder.close()
    assert recorder.written == 20 and file.stat().st_size <= 2000 and (tmp_path / "r.jsonl.1").exists()
    complete = list(read_records(str(file)))
    with open(file, "a") as out:
        out.write('{"id": "cut')
    assert list(read_records(str(file))) == complete and json.loads(file.read_text().splitlines()[0])
    full_recorder = RequestRecorder(str(file), "", 10**6, 1)
    full_recorder.thread.join(0)
    full_recorder._write = lambda record: blocked.wait()  # a hanging disk
    blocked = threading.Event()
    for n in range(10):
        full_recorder.record(RequestView(str(n)), RequestEffects(), [])
    assert full_recorder.dropped >= 8
    blocked.set()
    full_recorder.close()


# Guards against an end mark that found the queue full: the thread and its file stayed open for ever.
def test_recorder_that_finishes_with_a_full_queue_writes_it_and_ends(tmp_path):
    file = tmp_path / "r.jsonl"
    recorder = RequestRecorder(str(file), "", 10**6, 2)
    write = recorder._write
    is_writing, may_write = threading.Event(), threading.Event()

    def blocked_write(record):
        is_writing.set()
        may_write.wait()
        write(record)

    recorder._write = blocked_write
    recorder.record(RequestView("first"), RequestEffects(), [])
    is_writing.wait()
    for number in range(3):
        recorder.record(RequestView(str(number)), RequestEffects(), [])
    assert recorder.dropped == 1
    recorder.finish()
    may_write.set()
    recorder.thread.join(30)
    assert not recorder.thread.is_alive() and recorder._file.closed
    assert [record["id"] for _, record in read_records(str(file))] == ["first", "0", "1"]
