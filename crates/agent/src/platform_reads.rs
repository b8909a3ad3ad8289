//! Polls the platform and updates the view.

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::ConfigVersion;
use chalkrock_platform::{ConfigStore, Platform, PlatformError, TaggedHosts};
use chalkrock_process::Metrics;
use chalkrock_proto::ConfigBody;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::view::{AgentView, ApplyConfig, ApplyHosts, ViewActor};

const LOG_TARGET: &str = "agent.platform";

/// Polls the configuration and the host list.
#[derive(Clone)]
pub(crate) struct PlatformReader<P> {
    pub(crate) platform: P,
    pub(crate) view_actor: ActorRef<ViewActor>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) metrics: Metrics,
}

impl<P: Platform + Clone> PlatformReader<P> {
    /// Polls the head row and reads newer configurations.
    pub(crate) async fn follow_config(self, period: Duration) {
        let store = ConfigStore::new(self.platform.clone());
        let mut ticks = ticks(period);
        loop {
            ticks.tick().await;
            let current = self.view.borrow().config_version();
            match read_newer(&store, current).await {
                Ok(None) => self.count("config", "ok"),
                Ok(Some(body)) => {
                    self.count("config", "ok");
                    let _stopped = self.view_actor.tell(ApplyConfig(body)).await;
                }
                Err(error) => self.failed("config", &error),
            }
        }
    }

    /// Polls the host list.
    pub(crate) async fn follow_hosts(self, period: Duration) {
        let mut ticks = ticks(period);
        let mut known: Option<TaggedHosts> = None;
        loop {
            ticks.tick().await;
            let tag = known.as_ref().and_then(|known| known.tag.clone());
            match self.platform.read_hosts(tag.as_deref()).await {
                Ok(read) => {
                    self.count("hosts", "ok");
                    known = read.or(known);
                    // An unchanged list counts too: a missing member departs
                    // after several lists.
                    if let Some(known) = &known {
                        let _stopped = self.view_actor.tell(ApplyHosts(known.list.clone())).await;
                    }
                }
                Err(error) => self.failed("hosts", &error),
            }
        }
    }

    fn failed(&self, what: &str, error: &PlatformError) {
        log::debug!(target: LOG_TARGET, "Could not read {what}: {error}.");
        self.count(what, "failed");
    }

    fn count(&self, what: &str, result: &str) {
        let labels = format!("what=\"{what}\",result=\"{result}\"");
        self.metrics.count("platform_reads_total", &labels, 1);
    }
}

fn ticks(period: Duration) -> tokio::time::Interval {
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn read_newer<P: Platform>(
    store: &ConfigStore<P>,
    current: ConfigVersion,
) -> Result<Option<ConfigBody>, PlatformError> {
    let Some(head) = store.read_head().await? else {
        return Ok(None);
    };
    if head.version <= current {
        return Ok(None);
    }
    let json = store.read_body(&head).await?;
    Ok(Some(ConfigBody {
        version: head.version,
        json: json.into(),
    }))
}
