"""Traces of finished requests: the spans of one trace, and reopening a file that was moved away."""

import json

from linkhaven.stage.fleet import LICENSING, SimFleet
from linkhaven.traces import TraceWriter


def test_a_finished_request_is_one_trace_with_a_span_for_each_step(tmp_path):
    fleet = SimFleet(LICENSING, 1).start()
    router = fleet.routers["edge-1"]
    writer = TraceWriter(
        str(tmp_path / "traces.jsonl"), router.name, wall_ns=lambda: 1_700_000_000_000_000_000
    )
    router.node.on_end.append(writer.write)
    asked = fleet.ask("audit-digest", [router.address])
    fleet.world.run_for(20_000_000)
    writer.close()
    assert asked.how == "done"
    spans = [
        span
        for line in (tmp_path / "traces.jsonl").read_text().splitlines()
        for resource in json.loads(line)["resourceSpans"]
        for scope in resource["scopeSpans"]
        for span in scope["spans"]
    ]
    root = next(span for span in spans if span["name"] == "request")
    assert {"queued", "attempt"} <= {span["name"] for span in spans}
    assert {span["traceId"] for span in spans} == {root["traceId"]}
    assert all(span.get("parentSpanId") == root["spanId"] for span in spans if span is not root)
    span_us = (int(root["endTimeUnixNano"]) - int(root["startTimeUnixNano"])) // 1_000
    assert 0 <= asked.ended_us - asked.asked_us - span_us < 20_000


def test_a_log_and_a_trace_file_that_were_moved_away_are_reopened(tmp_path):
    from linkhaven.router.request import Request
    from linkhaven.wire.log import make_log

    request = Request("edge-1-1-1", None, 1_000_000)
    request.outcome = "done"
    log_file, trace_file = tmp_path / "log", tmp_path / "traces"
    log, traces = make_log("edge-1", file=str(log_file)), TraceWriter(str(trace_file), "edge-1")
    for rotation in range(2):
        log(1001)
        assert log.flush(timeout_seconds=10)
        traces.write(request, 2_000_000)
        log_file.rename(tmp_path / f"log.{rotation}")
        trace_file.rename(tmp_path / f"traces.{rotation}")
    traces.close()
    for rotation in range(2):
        assert (tmp_path / f"log.{rotation}").read_text().count("LH1001") == 1
        assert (tmp_path / f"traces.{rotation}").read_text().count("edge-1-1-1") == 1
