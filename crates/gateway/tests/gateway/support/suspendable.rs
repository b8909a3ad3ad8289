//! A gateway that can be made to stand still, as when its machine is suspended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chalkrock_gateway::{HostClock, start};
use chalkrock_process::stop_pair;
use tokio::sync::mpsc;

use super::fleet::config;
use super::{Script, TestEdge, TestGateway, TestSource};

/// A clock that counts suspensions, which the test makes.
#[derive(Debug)]
struct SuspendedClock {
    started: Instant,
    suspended_ms: AtomicU64,
}

impl HostClock for SuspendedClock {
    fn since_boot(&self) -> Duration {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        self.started.elapsed() + suspended
    }
}

/// A gateway on a thread of its own.
pub(crate) struct SuspendableGateway {
    pub(crate) gateway: TestGateway,
    clock: Arc<SuspendedClock>,
    stand_still: mpsc::UnboundedSender<Duration>,
}

impl SuspendableGateway {
    /// Starts one whose platform answers nothing.
    pub(crate) async fn start(host: &str, seeds: Vec<SocketAddr>) -> Self {
        let source = TestSource::default();
        source.set_down(true);
        let clock = Arc::new(SuspendedClock {
            started: Instant::now(),
            suspended_ms: AtomicU64::new(0),
        });
        let config = config("zone-a", host, seeds);
        let config = config.host_clock(clock.clone()).build();
        let (stop, asked) = stop_pair();
        let (stand_still, mut still) = mpsc::unbounded_channel();
        let (started, running) = tokio::sync::oneshot::channel();
        let of_thread = source.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = { runtime }.enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                let (_, reloads) = mpsc::channel(1);
                let gateway = start(config, Box::new(TestEdge), of_thread, asked, reloads).await;
                let _the_test_may_be_over = started.send(gateway.expect("the gateway starts"));
                while let Some(length) = still.recv().await {
                    // Holds up all tasks of the gateway.
                    std::thread::sleep(length);
                }
            });
        });
        let gateway = TestGateway {
            running: running.await.expect("the gateway starts"),
            stop,
            source,
            endpoints: Vec::new(),
            script: Script::default(),
        };
        Self {
            gateway,
            clock,
            stand_still,
        }
    }

    /// Stands still for so long from now on; the steady clock counts it.
    pub(crate) fn stop_for(&self, length: Duration) {
        let sent = self.stand_still.send(length);
        sent.expect("the gateway runs");
    }

    /// The steady clock does not count so much of a time in which it stands still.
    pub(crate) fn suspend_for(&self, length: Duration) {
        let length_ms = length.as_millis() as u64;
        self.clock
            .suspended_ms
            .fetch_add(length_ms, Ordering::Relaxed);
    }
}
