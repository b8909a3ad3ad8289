//! One request's story, from the lines that all hosts wrote.
//!
//! Each host writes one JSON object a line. The story of a request is what was
//! said of it, and what its hosts believed shortly before: dependencies lost,
//! endpoints under suspicion, rules, stops. Lines may have other text before
//! the object, as collectors add; lines without an object are passed over.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

/// How long before a request's line its host's other lines still matter.
const BEFORE_MS: u64 = 5_000;
/// Events that tell what a host believed.
const OF_HOST: [&str; 7] = [
    "start",
    "stop",
    "rules",
    "endpoints",
    "dependency",
    "suspect",
    "reads",
];

/// A line of a host.
#[derive(Clone, Debug, PartialEq, Deserialize)]
struct Line {
    unix_ms: u64,
    host: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        serde_json::from_str(object).ok()
    }

    fn is_about(&self, request: &str) -> bool {
        self.fields.get("id").and_then(Value::as_str) == Some(request)
    }

    /// The endpoints that a request was sent to.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let attempts = self.fields.get("attempts").and_then(Value::as_array);
        let attempts = attempts.into_iter().flatten();
        attempts.filter_map(|attempt| attempt.get("endpoint")?.as_str())
    }
}

/// The story of one request.
///
/// # Example
///
/// ```
/// use chalkrockctl::Story;
///
/// let log = r#"{"unix_ms":7,"host":"host-1","event":"request","id":"r-1","status":200}"#;
/// let story = Story::of("r-1", log.lines());
/// assert_eq!(story.to_string(), "0 ms host-1 request id=\"r-1\" status=200\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story(Vec<Line>);

impl Story {
    /// Finds what hosts said of a request, and what they believed.
    pub fn of<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Self {
        let lines: Vec<Line> = lines.filter_map(Line::parse).collect();
        let about: Vec<&Line> = lines.iter().filter(|line| line.is_about(request)).collect();
        let endpoints: BTreeSet<&str> = about.iter().flat_map(|line| line.endpoints()).collect();
        let matters = |line: &&Line| {
            if line.is_about(request) {
                return true;
            }
            let is_before = |of: &&Line| {
                let began_ms = of.unix_ms.saturating_sub(BEFORE_MS);
                line.host == of.host && (began_ms..=of.unix_ms).contains(&line.unix_ms)
            };
            let named = line.fields.get("endpoint").and_then(Value::as_str);
            let is_of_its_endpoints = named.is_none_or(|named| endpoints.contains(named));
            OF_HOST.contains(&line.event.as_str())
                && is_of_its_endpoints
                && about.iter().any(is_before)
        };
        Self::in_order(lines.iter().filter(matters).cloned())
    }

    /// Finds what hosts said of the rollout of a pool: its orders, each stage that it
    /// came to with the evidence for it, and when the platform took no record.
    pub fn of_rollout<'a>(pool: &str, lines: impl Iterator<Item = &'a str>) -> Self {
        let text = |line: &Line, field: &str| {
            let value = line.fields.get(field).and_then(Value::as_str);
            value.map(str::to_owned)
        };
        let matters = |line: &Line| match line.event.as_str() {
            "rollout" | "rollout-order" => text(line, "pool").as_deref() == Some(pool),
            "dependency" => text(line, "name").as_deref() == Some("platform-rollouts"),
            _ => false,
        };
        Self::in_order(lines.filter_map(Line::parse).filter(matters))
    }

    fn in_order(lines: impl Iterator<Item = Line>) -> Self {
        let mut story: Vec<Line> = lines.collect();
        story.sort_by(|a, b| (a.unix_ms, &a.host).cmp(&(b.unix_ms, &b.host)));
        Self(story)
    }

    /// Whether nothing was said of the request.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start_ms = self.0.first().map_or(0, |line| line.unix_ms);
        for line in &self.0 {
            let after_ms = line.unix_ms - start_ms;
            write!(f, "{after_ms} ms {} {}", line.host, line.event)?;
            for (name, value) in &line.fields {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
