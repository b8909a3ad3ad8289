//! A request's story out of the lines of several hosts.

use chalkrockctl::Story;
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
fn story_holds_the_request_and_what_its_host_believed() {
    let story = Story::of("r-1", LOG.lines()).to_string();
    let lines: Vec<&str> = story.lines().collect();
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
fn story_of_a_request_that_no_one_saw_is_empty() {
    assert_that!(Story::of("r-9", LOG.lines()).is_empty(), eq(true));
}
