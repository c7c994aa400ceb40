import json

from linkhaven.stage.fleet import LICENSING, SimFleet
from linkhaven.traces import TraceWriter


def test_an_ended_request_is_one_trace_with_a_span_for_each_step(tmp_path):
    fleet = SimFleet(LICENSING, 1).start()
    router = fleet.routers["edge-1"]
    writer = TraceWriter(str(tmp_path / "traces.jsonl"), router.name, wall_ns=lambda: 1_700_000_000_000_000_000)
    router.node.on_end.append(writer.write)
    asked = fleet.ask("audit-digest", [router.address])
    fleet.world.run_for(20_000_000)
    writer.close()
    assert asked.how == "done"
    spans = [
        span
        for line in (tmp_path / "traces.jsonl").read_text().splitlines()
        for resource in json.loads(line)["resourceSpans"] for scope in resource["scopeSpans"] for span in scope["spans"]
    ]
    whole = next(span for span in spans if span["name"] == "request")
    assert {"queued", "shot"} <= {span["name"] for span in spans}
    assert {span["traceId"] for span in spans} == {whole["traceId"]}
    assert all(span.get("parentSpanId") == whole["spanId"] for span in spans if span is not whole)
    span_us = (int(whole["endTimeUnixNano"]) - int(whole["startTimeUnixNano"])) // 1_000
    assert 0 <= asked.ended_us - asked.asked_us - span_us < 20_000
