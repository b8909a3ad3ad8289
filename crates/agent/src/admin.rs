//! Admin API: health, readiness and metrics.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;

use crate::peers::PeerContext;

pub(crate) fn app(shared: Arc<PeerContext>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<PeerContext>>) -> (StatusCode, &'static str) {
    let view = shared.view.borrow();
    match (&view.config, &view.hosts) {
        (Some(_), Some(_)) => (StatusCode::OK, "ready"),
        (None, _) => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
        (_, None) => (StatusCode::SERVICE_UNAVAILABLE, "no host list yet"),
    }
}

async fn metrics(State(shared): State<Arc<PeerContext>>) -> String {
    let version = shared.view.borrow().config_version();
    shared.metrics.gauge("config_version", "", version.0 as f64);
    for (labels, bytes) in shared.traffic.bytes_by_label() {
        shared
            .metrics
            .gauge("control_bytes_total", &labels, bytes as f64);
    }
    for (engine, load) in shared.slots.engine_loads() {
        shared.metrics.gauge(
            "engine_load",
            &format!("engine=\"{engine}\""),
            f64::from(load),
        );
    }
    for (pool, mean) in shared.slots.mean_loads() {
        shared
            .metrics
            .gauge("pool_mean_load", &format!("pool=\"{pool}\""), mean);
    }
    shared.metrics.render()
}
