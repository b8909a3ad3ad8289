//! Starts a router's parts, and ends them without cutting a request off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_process::{Stop, StopHandle, stop_pair};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::follow::follow;
use crate::settings::RouterSettings;
use crate::state::State;
use crate::{api, operators};

const PART: &str = "router";

/// A running router.
pub struct RunningRouter {
    address: SocketAddr,
    operator_address: SocketAddr,
    stop: StopHandle,
    drain_max: Duration,
    callers: JoinHandle<()>,
    _tasks: JoinSet<()>,
}

impl RunningRouter {
    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Stops as planned: takes no new requests, and waits for those in
    /// progress up to the set limit.
    pub async fn stop(mut self) {
        self.stop.stop();
        if tokio::time::timeout(self.drain_max, &mut self.callers)
            .await
            .is_err()
        {
            log::warn!(target: PART, "Requests cut off after the drain limit.");
            self.callers.abort();
        }
    }
}

/// Starts a router.
///
/// # Errors
///
/// If an address can't be bound.
pub async fn start_router(settings: RouterSettings) -> eyre::Result<RunningRouter> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let operator_listener = TcpListener::bind(settings.operator_listen).await?;
    let operator_address = operator_listener.local_addr()?;
    let drain_max = Duration::from_millis(settings.drain_max_ms);
    let (stop_handle, stop) = stop_pair();
    let state = Arc::new(State::new(settings, stop.clone())?);

    let mut tasks = JoinSet::new();
    tasks.spawn(follow(state.clone()));
    tasks.spawn(state.owners.clone().return_slots());
    let operators = operators::app(state.clone());
    tasks.spawn(async move {
        if let Err(error) = axum::serve(operator_listener, operators).await {
            log::error!(target: PART, "Operators' server ended: {error}.");
        }
    });
    let callers = tokio::spawn(serve_callers(listener, api::app(state.clone()), stop));
    log::info!(target: PART, "Host {} listens on {address}.", state.settings.host);
    Ok(RunningRouter {
        address,
        operator_address,
        stop: stop_handle,
        drain_max,
        callers,
        _tasks: tasks,
    })
}

async fn serve_callers(listener: TcpListener, app: axum::Router, stop: Stop) {
    let listener =
        axum::serve::ListenerExt::tap_io(listener, |stream: &mut tokio::net::TcpStream| {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!(target: PART, "No nodelay: {error}.");
            }
        });
    let serving =
        axum::serve(listener, app).with_graceful_shutdown(async move { stop.requested().await });
    if let Err(error) = serving.await {
        log::error!(target: PART, "Callers' server ended: {error}.");
    }
}
