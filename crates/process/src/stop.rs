//! A clean stop: asked for once, seen by every part.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Sees a stop that was asked for. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Stop(watch::Receiver<bool>);

/// Asks for a stop.
#[derive(Debug)]
pub struct StopHandle(watch::Sender<bool>);

/// A handle and what sees it.
pub fn stop_pair() -> (StopHandle, Stop) {
    let (tx, rx) = watch::channel(false);
    (StopHandle(tx), Stop(rx))
}

impl StopHandle {
    /// Asks every part to stop.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Whether a stop was asked for.
    pub fn is_requested(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until a stop is asked for. A handle that is gone asks too.
    pub async fn requested(&self) {
        let mut rx = self.0.clone();
        let _handle_gone = rx.wait_for(|requested| *requested).await;
    }
}

/// Asks for a stop at the first SIGTERM or SIGINT.
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
                log::info!(target: "process", "Stop asked by signal.");
                handle.stop();
            }
            (Err(error), _) | (_, Err(error)) => {
                log::error!(target: "process", "No signals: {error}.");
                std::future::pending::<()>().await;
            }
        }
    });
}
