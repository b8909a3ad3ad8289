//! Starts a router and stops it after its requests have ended.

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

const LOG_TARGET: &str = "router";

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
    /// Returns the address of the callers' API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the operators' API.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Refuses new requests and waits for those in progress, up to the drain
    /// limit.
    pub async fn stop(mut self) {
        self.stop.stop();
        if tokio::time::timeout(self.drain_max, &mut self.callers)
            .await
            .is_err()
        {
            log::warn!(target: LOG_TARGET, "Aborted requests after the drain limit.");
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
            log::error!(target: LOG_TARGET, "Operators' server failed: {error}.");
        }
    });
    let callers = tokio::spawn(serve_callers(listener, api::app(state.clone()), stop));
    log::info!(target: LOG_TARGET, "Host {} listens on {address}.", state.settings.host);
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
                log::debug!(target: LOG_TARGET, "Cannot set TCP_NODELAY: {error}.");
            }
        });
    let serving =
        axum::serve(listener, app).with_graceful_shutdown(async move { stop.requested().await });
    if let Err(error) = serving.await {
        log::error!(target: LOG_TARGET, "Callers' server failed: {error}.");
    }
}
