//! Guards against traces with unrelated records or in the wrong order.

use chalkrockctl::Trace;
use googletest::prelude::*;

const LOG: &str = r#"
not a line of ours
   31.8 host-1 {"unix_ms":1000,"host":"host-1","event":"dependency","name":"platform-rules","is_up":false}
{"unix_ms":9000,"host":"host-1","event":"suspect","endpoint":"i-1","end":"silent"}
{"unix_ms":9001,"host":"host-1","event":"suspect","endpoint":"i-9","end":"silent"}
{"unix_ms":9002,"host":"host-2","event":"suspect","endpoint":"i-1","end":"silent"}
{"unix_ms":9500,"host":"host-1","event":"request","id":"r-2","status":200}
{"unix_ms":9900,"host":"host-1","event":"request","id":"r-1","status":504,"attempts":[{"endpoint":"i-1","load":3,"at_ms":0,"end":"silent"}]}
{"unix_ms":9800,"host":"host-1","event":"reads","has_turn":true}
{"unix_ms":9990,"host":"host-1","event":"rules","version":9,"from":"peer"}
{"unix_ms":99
"#;

#[test]
fn request_trace_includes_recent_events_of_its_host() {
    let trace = Trace::for_request("r-1", LOG.lines()).to_string();
    let lines: Vec<&str> = trace.lines().collect();
    assert_that!(
        lines,
        elements_are![
            starts_with("0 ms host-1 suspect end=\"silent\" endpoint=\"i-1\""),
            starts_with("800 ms host-1 reads has_turn=true"),
            starts_with("900 ms host-1 request"),
        ]
    );
}

#[test]
fn rollout_trace_includes_stages_and_evidence() {
    const LOG: &str = r#"
{"unix_ms":100,"host":"host-1","event":"rollout-order","pool":"chat","build":"v2","within_ms":12000,"is_withdrawn":false,"from":"platform"}
{"unix_ms":3000,"host":"host-2","event":"rollout","pool":"chat","build":"v2","stage":"rolled-back","reason":"bad","evidence":{"failures":4}}
{"unix_ms":200,"host":"host-1","event":"rollout","pool":"chat","build":"v2","stage":"canary","reason":"ordered"}
{"unix_ms":250,"host":"host-1","event":"rollout","pool":"other","build":"v2","stage":"canary","reason":"ordered"}
{"unix_ms":300,"host":"host-1","event":"request","id":"r-1","status":200}
"#;
    let trace = Trace::for_rollout("chat", LOG.lines()).to_string();
    let lines: Vec<&str> = trace.lines().collect();
    assert_that!(
        lines,
        elements_are![
            starts_with("0 ms host-1 rollout-order"),
            contains_substring("100 ms host-1 rollout build=\"v2\""),
            contains_substring("evidence={\"failures\":4}"),
        ]
    );
}

#[test]
fn trace_of_an_unknown_request_is_empty() {
    assert_that!(Trace::for_request("r-9", LOG.lines()).is_empty(), eq(true));
}
