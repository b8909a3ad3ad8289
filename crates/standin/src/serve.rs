//! HTTP server on its own runtime. Dropping its handle breaks all connections, as
//! a crash of a process does.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// Worker threads per server.
const WORKER_THREADS: usize = 2;

/// A running HTTP server, stopped when dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl RunningServer {
    /// Serves `app` at an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr, app: Router) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        runtime.spawn(async move {
            if let Err(error) = serve(listener, app).await {
                log::error!(target: "standin", "Server ended: {error}.");
            }
        });
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(listener: std::net::TcpListener, app: Router) -> io::Result<()> {
    // Nagle's algorithm would hold small writes for 40 ms, until a delayed acknowledgement.
    let listener = TcpListener::from_std(listener)?.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "standin", "Can't set TCP_NODELAY: {error}.");
        }
    });
    axum::serve(listener, app).await
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
