//! Traces of requests and rollouts, extracted from the logs of all hosts.
//!
//! Each log line holds one JSON object, which may follow a prefix added by a
//! log collector; other lines are skipped. The trace of a request also includes
//! events that its hosts logged shortly before.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

/// Window before a request's record in which context events are included.
const CONTEXT_WINDOW_MS: u64 = 5_000;
/// Events that show the state of a host.
const CONTEXT_EVENTS: [&str; 7] = [
    "start",
    "stop",
    "rules",
    "endpoints",
    "dependency",
    "suspect",
    "reads",
];

/// One record of a host's log.
#[derive(Clone, Debug, PartialEq, Deserialize)]
struct LogRecord {
    unix_ms: u64,
    host: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogRecord {
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        serde_json::from_str(object).ok()
    }

    fn has_id(&self, request: &str) -> bool {
        self.fields.get("id").and_then(Value::as_str) == Some(request)
    }

    /// Iterates over the endpoints that a request was sent to.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let attempts = self.fields.get("attempts").and_then(Value::as_array);
        let attempts = attempts.into_iter().flatten();
        attempts.filter_map(|attempt| attempt.get("endpoint")?.as_str())
    }
}

/// The log records of one request or rollout, in order of time.
///
/// # Example
///
/// ```
/// use chalkrockctl::Trace;
///
/// let log = r#"{"unix_ms":7,"host":"host-1","event":"request","id":"r-1","status":200}"#;
/// let trace = Trace::for_request("r-1", log.lines());
/// assert_eq!(trace.to_string(), "0 ms host-1 request id=\"r-1\" status=200\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace(Vec<LogRecord>);

impl Trace {
    /// Collects the records of a request and the recent events of its hosts.
    pub fn for_request<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Self {
        let records: Vec<LogRecord> = lines.filter_map(LogRecord::parse).collect();
        let own: Vec<&LogRecord> = records.iter().filter(|r| r.has_id(request)).collect();
        let endpoints: BTreeSet<&str> = own.iter().flat_map(|r| r.endpoints()).collect();
        let is_relevant = |record: &&LogRecord| {
            if record.has_id(request) {
                return true;
            }
            let is_recent = |own: &&LogRecord| {
                let start_ms = own.unix_ms.saturating_sub(CONTEXT_WINDOW_MS);
                record.host == own.host && (start_ms..=own.unix_ms).contains(&record.unix_ms)
            };
            let endpoint = record.fields.get("endpoint").and_then(Value::as_str);
            let is_related = endpoint.is_none_or(|endpoint| endpoints.contains(endpoint));
            CONTEXT_EVENTS.contains(&record.event.as_str())
                && is_related
                && own.iter().any(is_recent)
        };
        Self::sorted(records.iter().filter(is_relevant).cloned())
    }

    /// Collects the records of a pool's rollout: orders, stages with their evidence,
    /// and changes in the availability of the platform's rollout records.
    pub fn for_rollout<'a>(pool: &str, lines: impl Iterator<Item = &'a str>) -> Self {
        let text = |record: &LogRecord, field: &str| {
            let value = record.fields.get(field).and_then(Value::as_str);
            value.map(str::to_owned)
        };
        let is_relevant = |record: &LogRecord| match record.event.as_str() {
            "rollout" | "rollout-order" => text(record, "pool").as_deref() == Some(pool),
            "dependency" => text(record, "name").as_deref() == Some("platform-rollouts"),
            _ => false,
        };
        Self::sorted(lines.filter_map(LogRecord::parse).filter(is_relevant))
    }

    fn sorted(records: impl Iterator<Item = LogRecord>) -> Self {
        let mut sorted: Vec<LogRecord> = records.collect();
        sorted.sort_by(|a, b| (a.unix_ms, &a.host).cmp(&(b.unix_ms, &b.host)));
        Self(sorted)
    }

    /// Returns whether no record matches.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start_ms = self.0.first().map_or(0, |record| record.unix_ms);
        for record in &self.0 {
            let elapsed_ms = record.unix_ms - start_ms;
            write!(f, "{elapsed_ms} ms {} {}", record.host, record.event)?;
            for (name, value) in &record.fields {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
