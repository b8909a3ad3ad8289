//! Guards against settings errors that name the wrong line or key.

use std::net::SocketAddr;

use chalkrock_process::parse_settings;
use googletest::prelude::*;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    listen: SocketAddr,
    zone: String,
    #[serde(default)]
    limits: Limits,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    drain_ms: u64,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    file: String,
    error: String,
}

#[test]
fn parse_error_names_file_line_key_and_expected_value() {
    let text = include_str!("data/bad_settings.yaml");
    let cases: Vec<Case> = serde_yaml_ng::from_str(text).unwrap();
    for case in cases {
        let error = parse_settings::<Settings>("s.yaml", &case.file).unwrap_err();
        assert_that!(
            error.to_string(),
            starts_with(case.error.as_str()),
            "{}",
            case.name
        );
    }
}

#[test]
fn parse_accepts_valid_settings() {
    let text = "listen: 127.0.0.1:80\nzone: a\nlimits: {drain_ms: 5}\n";
    let settings = parse_settings::<Settings>("s.yaml", text).unwrap();
    assert_that!(settings.listen.port(), eq(80));
    assert_that!(settings.zone, eq("a"));
    assert_that!(settings.limits.drain_ms, eq(5));
}
