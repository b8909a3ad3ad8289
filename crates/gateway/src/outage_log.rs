//! Logs when something that a host depends on fails, and when it works again:
//! not each failure between.

use std::fmt::Display;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::event_log::Event;
use crate::shared::Shared;

/// Failures of one dependency.
#[derive(Debug)]
pub(crate) struct OutageLog {
    name: &'static str,
    is_down: bool,
}

impl OutageLog {
    /// Of a dependency that works.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            is_down: false,
        }
    }

    /// Accepts a connection, with a pause after each failure of the system to do
    /// so.
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

    /// It failed.
    pub(crate) fn failed(&mut self, shared: &Shared, error: &dyn Display) {
        if !self.is_down {
            self.is_down = true;
            self.emit(shared, &error.to_string());
        }
    }

    /// It worked.
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
