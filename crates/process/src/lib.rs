//! Settings, logging, tracing, metrics and shutdown for chalkrock's programs.
//!
//! Each program is a `clap` command built by [`program`] and run by [`run`],
//! which loads the YAML settings. Invalid settings end the process with exit
//! code 2 and an error with file, line, key and expected value.
//!
//! # Example
//!
//! ```
//! use serde::Deserialize;
//!
//! #[derive(Deserialize)]
//! #[serde(deny_unknown_fields)]
//! struct Settings {
//!     listen: std::net::SocketAddr,
//! }
//!
//! let text = "listen: 127.0.0.1:80\nlisten_port: 80\n";
//! let error = chalkrock_process::parse_settings::<Settings>("a.yaml", text).err().unwrap();
//! assert!(error.to_string().starts_with("a.yaml:2:"));
//! ```

mod cli;
mod logs;
mod metrics;
mod settings;
mod spans;
mod stop;

pub use cli::{EXIT_FAILURE, EXIT_SETTINGS, program, run};
pub use logs::{LogFormat, LogSettings, start_logs};
pub use metrics::{Histogram, Metrics};
pub use settings::{SettingsError, load_settings, parse_settings};
pub use spans::{SpanSettings, inject_trace_context, set_remote_parent, start_spans, trace_id};
pub use stop::{Stop, StopHandle, stop_on_signal, stop_pair};
