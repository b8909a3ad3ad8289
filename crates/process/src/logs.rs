//! Logging with log4rs to standard error, as text or JSON.
//!
//! The target of a record names a component, such as `agent.config`.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde::Deserialize;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t}: {m}{n}";
const APPENDER: &str = "stderr";
/// Libraries whose records below `warn` are dropped.
const NOISY_LIBRARIES: [&str; 5] = ["hyper", "tarpc", "reqwest", "opentelemetry", "h2"];

/// The format of log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text per record.
    #[default]
    Text,
    /// One JSON object per record.
    Json,
}

/// The `logs` section of the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The minimum level that is logged.
    pub level: LevelFilter,
    /// The record format.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Text,
        }
    }
}

/// Initialises logging for the process. Later calls have no effect, so several
/// components embedded in one process can each call it.
pub fn start_logs(settings: &LogSettings) {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let mut config =
        Config::builder().appender(Appender::builder().build(APPENDER, Box::new(appender)));
    for name in NOISY_LIBRARIES {
        config = config.logger(Logger::builder().build(name, LevelFilter::Warn));
    }
    let root = Root::builder().appender(APPENDER).build(settings.level);
    if let Ok(config) = config.build(root) {
        let _already_started = log4rs::init_config(config);
    }
}
