//! Probes the load and leaving state of the endpoints that this host owns.

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::Endpoint;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::actor::ActorRef;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::slots::Slots;
use crate::view::{AgentView, MarkLeaving, ViewActor};

const LOG_TARGET: &str = "agent.probes";
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint's load report.
#[derive(Debug, Deserialize)]
struct LoadReport {
    in_progress: u32,
    leaving: bool,
}

/// Probes the endpoints that this host owns.
pub(crate) struct Prober {
    pub(crate) slots: Arc<Slots>,
    pub(crate) view_actor: ActorRef<ViewActor>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) period: Duration,
}

impl Prober {
    /// Probes and applies new views until dropped.
    pub(crate) async fn run(mut self) {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(PROBE_TIMEOUT)
            .build();
        let client = match client {
            Ok(client) => client,
            Err(error) => {
                log::error!(target: LOG_TARGET, "Cannot build the HTTP client: {error}.");
                return;
            }
        };
        let mut ticks = tokio::time::interval(self.period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut owned = Vec::new();
        loop {
            tokio::select! {
                changed = self.view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = self.view.borrow_and_update().clone();
                    owned = self.slots.apply_view(&view);
                }
                _ = ticks.tick() => self.probe_all(&client, &owned).await,
            }
        }
    }

    async fn probe_all(&self, client: &reqwest::Client, owned: &[Endpoint]) {
        let probes: FuturesUnordered<_> = owned
            .iter()
            .map(|endpoint| self.probe(client, endpoint))
            .collect();
        probes.collect::<()>().await;
    }

    async fn probe(&self, client: &reqwest::Client, endpoint: &Endpoint) {
        let report = match fetch_load(client, endpoint).await {
            Ok(report) => report,
            Err(error) => {
                log::debug!(target: LOG_TARGET, "Could not probe {}: {error}.", endpoint.name);
                return;
            }
        };
        self.slots.record_load(endpoint, report.in_progress);
        if report.leaving {
            let message = MarkLeaving {
                endpoint: endpoint.name.clone(),
                incarnation: endpoint.incarnation,
            };
            let _stopped = self.view_actor.tell(message).await;
        }
    }
}

async fn fetch_load(client: &reqwest::Client, endpoint: &Endpoint) -> reqwest::Result<LoadReport> {
    let url = format!("http://{}/load", endpoint.address);
    client
        .get(url)
        .send()
        .await?
        .error_for_status()?
        .json()
        .await
}
