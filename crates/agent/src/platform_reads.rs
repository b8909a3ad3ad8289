//! Reads the platform at set intervals and tells the view's keeper.

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::ConfigVersion;
use chalkrock_platform::{ConfigStore, Platform, PlatformError, TaggedHosts};
use chalkrock_process::Metrics;
use chalkrock_proto::ConfigBody;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::view::{AgentView, TakeConfig, TakeHosts, ViewKeeper};

const PART: &str = "agent.platform";

/// What the loops share.
#[derive(Clone)]
pub(crate) struct Reads<P> {
    pub(crate) platform: P,
    pub(crate) keeper: ActorRef<ViewKeeper>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) metrics: Metrics,
}

impl<P: Platform + Clone> Reads<P> {
    /// Follows the configuration, one read of the head row an interval.
    pub(crate) async fn follow_config(self, every: Duration) {
        let store = ConfigStore::new(self.platform.clone());
        let mut ticks = ticks(every);
        loop {
            ticks.tick().await;
            let in_force = self.view.borrow().config_version();
            match read_newer(&store, in_force).await {
                Ok(None) => self.count("config", "ok"),
                Ok(Some(body)) => {
                    self.count("config", "ok");
                    let _keeper_gone = self.keeper.tell(TakeConfig(body)).await;
                }
                Err(error) => self.failed("config", &error),
            }
        }
    }

    /// Follows the host list, one read an interval.
    pub(crate) async fn follow_hosts(self, every: Duration) {
        let mut ticks = ticks(every);
        let mut known: Option<TaggedHosts> = None;
        loop {
            ticks.tick().await;
            let tag = known.as_ref().and_then(|known| known.tag.clone());
            match self.platform.read_hosts(tag.as_deref()).await {
                Ok(read) => {
                    self.count("hosts", "ok");
                    known = read.or(known);
                    // A list that stays counts too: what it does not show
                    // departs after some lists.
                    if let Some(known) = &known {
                        let _keeper_gone = self.keeper.tell(TakeHosts(known.list.clone())).await;
                    }
                }
                Err(error) => self.failed("hosts", &error),
            }
        }
    }

    fn failed(&self, what: &str, error: &PlatformError) {
        log::debug!(target: PART, "Read of {what} failed: {error}.");
        self.count(what, "failed");
    }

    fn count(&self, what: &str, result: &str) {
        let labels = format!("what=\"{what}\",result=\"{result}\"");
        self.metrics.count("platform_reads_total", &labels, 1);
    }
}

fn ticks(every: Duration) -> tokio::time::Interval {
    let mut ticks = tokio::time::interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn read_newer<P: Platform>(
    store: &ConfigStore<P>,
    in_force: ConfigVersion,
) -> Result<Option<ConfigBody>, PlatformError> {
    let Some(head) = store.read_head().await? else {
        return Ok(None);
    };
    if head.version <= in_force {
        return Ok(None);
    }
    let json = store.read_body(&head).await?;
    Ok(Some(ConfigBody {
        version: head.version,
        json: json.into(),
    }))
}
