//! A model engine with limited batch slots, a prefix cache, resumable streams,
//! cancellation and delayed load reports.
//!
//! It serves the OpenAI-style chat completions API and:
//!
//! - `GET /load`: the load report, delayed by the configured lag.
//! - `GET /v1/streams/{request}?offset=N`: resumes a stream at event `N`.
//! - `POST /leave`: rejects new requests and finishes those in progress.
//! - `GET /counts`, `POST /faults`: for tests.

mod answer;
mod api;
mod runs;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use self::runs::EngineCounts;
use self::runs::Runs;
use crate::faults::SharedFaults;
use crate::serve::RunningServer;

/// Settings of a stand-in engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of requests running concurrently.
    pub slots: usize,
    /// Capacity of the prefix cache.
    pub cache_bytes: usize,
    /// Processing time per uncached prompt byte.
    pub prefill_us_per_byte: u64,
    /// Interval between tokens.
    pub token_ms: u64,
    /// Delay of the load report.
    pub report_lag_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            slots: 64,
            cache_bytes: 64 * 1024 * 1024,
            prefill_us_per_byte: 0,
            token_ms: 0,
            report_lag_ms: 0,
        }
    }
}

/// Handle to a running engine, which stops when the handle is dropped.
#[derive(Debug)]
pub struct EngineHandle {
    server: RunningServer,
    runs: Arc<Runs>,
    /// Faults of the engine.
    pub faults: SharedFaults,
}

impl EngineHandle {
    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counts since the engine started.
    pub fn counts(&self) -> EngineCounts {
        self.runs.counts()
    }

    /// Number of times a request ran.
    pub fn run_count(&self, request: &str) -> u32 {
        self.runs.run_count(request)
    }

    /// Makes the engine reject new requests.
    pub fn leave(&self) {
        self.runs.leave();
    }
}

/// Starts an engine.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_engine(settings: EngineSettings) -> io::Result<EngineHandle> {
    let faults = SharedFaults::default();
    let listen = settings.listen;
    let runs = Runs::new(settings);
    let app = api::app(runs.clone(), faults.clone());
    let server = RunningServer::start(listen, app).await?;
    Ok(EngineHandle {
        server,
        runs,
        faults,
    })
}
