//! Graceful shutdown: a stop request that all components observe.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Observes a stop request; clones observe the same one.
#[derive(Clone, Debug)]
pub struct Stop(watch::Receiver<bool>);

/// Requests a stop.
#[derive(Debug)]
pub struct StopHandle(watch::Sender<bool>);

/// Creates a handle and its observer.
pub fn stop_pair() -> (StopHandle, Stop) {
    let (tx, rx) = watch::channel(false);
    (StopHandle(tx), Stop(rx))
}

impl StopHandle {
    /// Requests that all observers stop.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Returns whether a stop was requested.
    pub fn is_requested(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits for a stop request; dropping the handle counts as one.
    pub async fn requested(&self) {
        let mut rx = self.0.clone();
        let _handle_dropped = rx.wait_for(|requested| *requested).await;
    }
}

/// Requests a stop on the first SIGTERM or SIGINT.
pub fn stop_on_signal(handle: StopHandle) {
    tokio::spawn(async move {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        match (terminate, interrupt) {
            (Ok(mut terminate), Ok(mut interrupt)) => {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                log::info!(target: "process", "Received SIGTERM or SIGINT, stopping.");
                handle.stop();
            }
            (Err(error), _) | (_, Err(error)) => {
                log::error!(target: "process", "Failed to install signal handlers: {error}.");
                std::future::pending::<()>().await;
            }
        }
    });
}
