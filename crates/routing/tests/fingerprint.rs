//! Request fingerprints: equal for repeated requests, distinct for all others.

use chalkrock_core::OrganisationId;
use chalkrock_routing::{RequestContent, RequestFingerprint};
use googletest::prelude::*;

fn fingerprint(host: &str, target: &str, organisation: Option<&str>, body: &str) -> u64 {
    let organisation = organisation.map(OrganisationId::from);
    let content = RequestContent {
        host,
        target,
        organisation: organisation.as_ref(),
        body: body.as_bytes(),
    };
    RequestFingerprint::of(&content).0
}

#[test]
fn fingerprint_differs_with_each_part() {
    let first = fingerprint("a.example", "/ask/", Some("dispatch"), "where?");
    let same = fingerprint("a.example", "/ask/", Some("dispatch"), "where?");
    assert_that!(same, eq(first));
    let others = [
        (
            "another host",
            fingerprint("b.example", "/ask/", Some("dispatch"), "where?"),
        ),
        (
            "another path",
            fingerprint("a.example", "/ask/2", Some("dispatch"), "where?"),
        ),
        (
            "another caller",
            fingerprint("a.example", "/ask/", Some("shops"), "where?"),
        ),
        (
            "no caller",
            fingerprint("a.example", "/ask/", None, "where?"),
        ),
        (
            "another body",
            fingerprint("a.example", "/ask/", Some("dispatch"), "when?"),
        ),
        (
            "a different split of the same bytes",
            fingerprint("a.example", "/ask/dis", Some("patch"), "where?"),
        ),
    ];
    for (case, other) in others {
        assert_that!(other, not(eq(first)), "{case}");
    }
}

#[test]
fn fingerprint_is_displayed_as_sixteen_digits() {
    assert_that!(RequestFingerprint(0xab).to_string(), eq("00000000000000ab"));
}
