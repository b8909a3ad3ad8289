//! Tokens: round trip, and rejection of foreign or altered ones.

use chalkrock_core::{ErrorKind, HomeHint, OrganisationId, StreamPlace, TokenKey};
use googletest::prelude::*;
use proptest::prelude::*;

fn home(organisation: &str) -> HomeHint {
    HomeHint {
        organisation: organisation.into(),
        endpoint: "engine-1".into(),
    }
}

#[test]
fn read_home_returns_the_signed_home() {
    let key = TokenKey::new(b"key");
    let token = key.sign_home(&home("a"));
    assert_that!(
        key.read_home(&token, &OrganisationId::new("a")),
        ok(eq(&home("a")))
    );
}

#[test]
fn read_refuses_foreign_tokens() {
    let key = TokenKey::new(b"key");
    let a = OrganisationId::new("a");
    let place = StreamPlace {
        organisation: a.clone(),
        request: "r".into(),
        endpoint: "engine-1".into(),
        base: 0,
    };
    let cases = [
        ("another organisation's", key.sign_home(&home("b"))),
        (
            "another fleet's",
            TokenKey::new(b"other").sign_home(&home("a")),
        ),
        ("of another kind", key.sign_place(&place)),
        ("without a signature", "abc".to_owned()),
        ("with an empty signature", "habc.".to_owned()),
        ("too long", "x".repeat(5_000)),
    ];
    for (name, token) in cases {
        let error = key.read_home(&token, &a).unwrap_err();
        assert_that!(error.kind(), eq(ErrorKind::InvalidToken), "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Unsigned text is rejected without a panic.
    #[test]
    fn read_refuses_any_other_text(text in ".{0,200}") {
        let key = TokenKey::new(b"key");
        prop_assert!(key.read_place(&text, &OrganisationId::new("a")).is_err());
    }

    /// A token with one altered byte is rejected.
    #[test]
    fn read_refuses_altered_tokens(at in 0usize..60, to in "[A-Za-z0-9]") {
        let key = TokenKey::new(b"key");
        let mut token = key.sign_home(&home("a"));
        prop_assume!(token.get(at..=at).is_some_and(|byte| byte != to && byte != "."));
        token.replace_range(at..=at, &to);
        prop_assert!(key.read_home(&token, &OrganisationId::new("a")).is_err());
    }
}
