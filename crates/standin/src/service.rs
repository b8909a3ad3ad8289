//! A plain service that counts runs by request id.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::faults::{Faults, SharedFaults};
use crate::serve::RunningServer;

/// Settings of a stand-in service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
        }
    }
}

type RunCounts = Arc<Mutex<HashMap<String, u32>>>;

/// Handle to a running service, which stops when the handle is dropped.
#[derive(Debug)]
pub struct ServiceHandle {
    server: RunningServer,
    runs: RunCounts,
    /// Faults of the service.
    pub faults: SharedFaults,
}

impl ServiceHandle {
    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of times a request ran.
    pub fn run_count(&self, request: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(request).copied().unwrap_or(0)
    }

    /// Total number of runs.
    pub fn total_runs(&self) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().sum()
    }
}

#[derive(Clone)]
struct Api {
    runs: RunCounts,
    faults: SharedFaults,
}

/// Starts a service.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_service(settings: ServiceSettings) -> io::Result<ServiceHandle> {
    let runs = RunCounts::default();
    let faults = SharedFaults::default();
    let app = Router::new()
        .route("/faults", post(set_faults))
        .route("/counts", get(counts))
        .route("/load", get(load))
        .fallback(any(run))
        .with_state(Api {
            runs: runs.clone(),
            faults: faults.clone(),
        });
    let server = RunningServer::start(settings.listen, app).await?;
    Ok(ServiceHandle {
        server,
        runs,
        faults,
    })
}

async fn set_faults(State(api): State<Api>, Json(faults): Json<Faults>) -> StatusCode {
    api.faults.set(faults);
    StatusCode::OK
}

async fn counts(State(api): State<Api>) -> Response {
    let runs = api
        .runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Json(runs).into_response()
}

async fn load(State(api): State<Api>) -> Response {
    if api.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(json!({"in_progress": 0, "slots": 1_000, "leaving": false})).into_response()
}

async fn run(State(api): State<Api>, uri: Uri, headers: HeaderMap, body: Bytes) -> Response {
    let faults = api.faults.get();
    if faults.down || faults.refuse {
        let refused = (StatusCode::SERVICE_UNAVAILABLE, [("x-not-started", "true")]);
        return refused.into_response();
    }
    let id = headers
        .get("x-request-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("unnamed");
    let run = {
        let mut runs = api.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    };
    api.faults.delay().await;
    if api.faults.get().lose_answers {
        // Simulates an answer lost after the request ran.
        std::future::pending::<()>().await;
    }
    let path = uri.path();
    Json(json!({"path": path, "request": id, "run": run, "body_bytes": body.len()})).into_response()
}
