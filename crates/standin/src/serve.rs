//! Starts an HTTP server and ends it when its handle is dropped.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A server that listens until this is dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `app` at an address; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(listen: SocketAddr, app: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        // Without this, small writes wait 40 ms for a delayed acknowledgement.
        let listener = listener.tap_io(|stream| {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!(target: "standin", "No nodelay: {error}.");
            }
        });
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, app).await {
                log::error!(target: "standin", "Server ended: {error}.");
            }
        });
        Ok(Self { address, task })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
