//! Shares of organisations in the requests in progress.

use chalkrock_core::OrganisationId;
use chalkrock_routing::Shares;
use googletest::prelude::*;

/// Shares with this many requests of each organisation.
fn shares(counts: &[(&str, usize)]) -> Shares {
    let mut shares = Shares::default();
    for (name, count) in counts {
        (0..*count).for_each(|_| shares.begin(&OrganisationId::from(*name)));
    }
    shares
}

#[test]
fn is_over_above_twice_the_equal_share() {
    let cases: [(&[(&str, usize)], bool); 5] = [
        (&[("a", 50)], false),
        (&[("a", 10), ("b", 10), ("c", 10)], false),
        (&[("a", 20), ("b", 10), ("c", 10)], false),
        (&[("a", 30), ("b", 5), ("c", 5)], true),
        (&[("a", 4), ("b", 1), ("c", 1)], false),
    ];
    for (counts, is_over) in cases {
        assert_that!(
            shares(counts).is_over(&"a".into()),
            eq(is_over),
            "{counts:?}"
        );
    }
}

#[test]
fn end_releases_the_share() {
    let mut shares = shares(&[("a", 30), ("b", 5), ("c", 5)]);
    (0..30).for_each(|_| shares.end(&"a".into()));
    assert_that!(shares.is_over(&"a".into()), eq(false));
    shares.end(&"a".into());
    assert_that!(shares.is_over(&"b".into()), eq(false));
}
