//! A model engine: batches with a limited number of slots, caches prefixes,
//! streams, resumes, cancels, and reports its load with a lag.
//!
//! It speaks the OpenAI-style chat completions API. Beside it:
//!
//! - `GET /load`: the load report, as old as the set lag.
//! - `GET /v1/streams/{request}?offset=N`: a stream again, from an event on.
//! - `POST /leave`: take no new work, finish what runs.
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
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests that run at once.
    pub slots: usize,
    /// Limit of the prefix cache.
    pub cache_bytes: usize,
    /// Time to process one uncached prompt byte.
    pub prefill_us_per_byte: u64,
    /// Time from one token to the next.
    pub token_ms: u64,
    /// Age of the load report.
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

/// A running engine; it ends when this is dropped.
#[derive(Debug)]
pub struct EngineHandle {
    server: RunningServer,
    runs: Arc<Runs>,
    /// Its faults.
    pub faults: SharedFaults,
}

impl EngineHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it ran so far.
    pub fn counts(&self) -> EngineCounts {
        self.runs.counts()
    }

    /// How often it ran a request.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.runs.runs_of(request)
    }

    /// Takes no new work from now on.
    pub fn leave(&self) {
        self.runs.leave();
    }
}

/// Starts an engine.
///
/// # Errors
///
/// If its address can't be bound.
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
