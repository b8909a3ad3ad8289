//! Logs the start and the end of a dependency's outage, not each failure.

use std::fmt::Display;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::event_log::Event;
use crate::shared::Shared;

/// Whether one dependency is down.
#[derive(Debug)]
pub(crate) struct OutageLog {
    name: &'static str,
    is_down: bool,
}

impl OutageLog {
    /// Starts with a dependency that works.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            is_down: false,
        }
    }

    /// Accepts a connection, with a pause after each failure.
    pub(crate) async fn accept(
        &mut self,
        shared: &Shared,
        listener: &TcpListener,
        pause: Duration,
    ) -> TcpStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.worked(shared);
                    return stream;
                }
                Err(error) => {
                    self.failed(shared, &error);
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Records a failure.
    pub(crate) fn failed(&mut self, shared: &Shared, error: &dyn Display) {
        if !self.is_down {
            self.is_down = true;
            self.emit(shared, &error.to_string());
        }
    }

    /// Records a success.
    pub(crate) fn worked(&mut self, shared: &Shared) {
        if self.is_down {
            self.is_down = false;
            self.emit(shared, "");
        }
    }

    fn emit(&self, shared: &Shared, detail: &str) {
        shared.event_log.emit(&Event::Dependency {
            name: self.name,
            is_up: !self.is_down,
            detail,
        });
    }
}
