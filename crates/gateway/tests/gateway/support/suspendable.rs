//! A gateway that a test can block, as a suspension of its host does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chalkrock_gateway::{HostClock, start};
use chalkrock_process::stop_pair;
use tokio::sync::mpsc;

use super::fleet::config;
use super::{Script, TestEdge, TestGateway, TestSource};

/// A boot-time clock to which the test adds suspensions.
#[derive(Debug)]
struct TestClock {
    started: Instant,
    suspended_ms: AtomicU64,
}

impl HostClock for TestClock {
    fn since_boot(&self) -> Duration {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        self.started.elapsed() + suspended
    }
}

/// A gateway on its own thread.
pub(crate) struct SuspendableGateway {
    pub(crate) gateway: TestGateway,
    clock: Arc<TestClock>,
    block_sender: mpsc::UnboundedSender<Duration>,
}

impl SuspendableGateway {
    /// Starts a gateway whose store is unavailable.
    pub(crate) async fn start(host: &str, seeds: Vec<SocketAddr>) -> Self {
        let source = TestSource::default();
        source.set_unavailable(true);
        Self::with_source(source, host, seeds).await
    }

    /// Starts a gateway with a store.
    pub(crate) async fn with_source(
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let clock = Arc::new(TestClock {
            started: Instant::now(),
            suspended_ms: AtomicU64::new(0),
        });
        let config = config("zone-a", host, seeds);
        let config = config.host_clock(clock.clone()).build();
        let (stop, stop_signal) = stop_pair();
        let (block_sender, mut blocks) = mpsc::unbounded_channel();
        let (started, running) = tokio::sync::oneshot::channel();
        let store = source.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = { runtime }.enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                let (_, reloads) = mpsc::channel(1);
                let gateway = start(config, Box::new(TestEdge), store, stop_signal, reloads).await;
                let _test_may_have_ended = started.send(gateway.expect("the gateway starts"));
                while let Some(duration) = blocks.recv().await {
                    // Blocks all tasks of the gateway.
                    std::thread::sleep(duration);
                }
            });
        });
        let gateway = TestGateway {
            running: running.await.expect("the gateway starts"),
            stop,
            source,
            endpoints: Vec::new(),
            script: Script::default(),
            _runtime: None,
        };
        Self {
            gateway,
            clock,
            block_sender,
        }
    }

    /// Blocks the gateway's thread for a time, which the steady clock counts.
    pub(crate) fn block_for(&self, duration: Duration) {
        let sent = self.block_sender.send(duration);
        sent.expect("the gateway runs");
    }

    /// Adds a suspension that the steady clock does not count.
    pub(crate) fn add_suspension(&self, duration: Duration) {
        let duration_ms = duration.as_millis() as u64;
        self.clock
            .suspended_ms
            .fetch_add(duration_ms, Ordering::Relaxed);
    }
}
