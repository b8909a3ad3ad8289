//! Probes the endpoints that this host owns: their load, and whether they
//! leave. No other host probes them.

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
use crate::view::{AgentView, SawLeaving, ViewKeeper};

const PART: &str = "agent.probes";
/// A probe without an answer by then tells nothing.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint's load report.
#[derive(Debug, Deserialize)]
struct LoadReport {
    in_progress: u32,
    leaving: bool,
}

/// What probing needs.
pub(crate) struct Probes {
    pub(crate) slots: Arc<Slots>,
    pub(crate) keeper: ActorRef<ViewKeeper>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) every: Duration,
}

impl Probes {
    /// Probes until dropped, and takes each new view over as it comes.
    pub(crate) async fn run(mut self) {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(PROBE_TIMEOUT)
            .build();
        let client = match client {
            Ok(client) => client,
            Err(error) => {
                log::error!(target: PART, "No client: {error}.");
                return;
            }
        };
        let mut ticks = tokio::time::interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut owned = Vec::new();
        loop {
            tokio::select! {
                changed = self.view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = self.view.borrow_and_update().clone();
                    owned = self.slots.take_view(&view);
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
        let report = match fetch(client, endpoint).await {
            Ok(report) => report,
            Err(error) => {
                log::debug!(target: PART, "Probe of {} failed: {error}.", endpoint.name);
                return;
            }
        };
        self.slots.report(endpoint, report.in_progress);
        if report.leaving {
            let seen = SawLeaving {
                endpoint: endpoint.name.clone(),
                incarnation: endpoint.incarnation,
            };
            let _keeper_gone = self.keeper.tell(seen).await;
        }
    }
}

async fn fetch(client: &reqwest::Client, endpoint: &Endpoint) -> reqwest::Result<LoadReport> {
    let url = format!("http://{}/load", endpoint.address);
    client
        .get(url)
        .send()
        .await?
        .error_for_status()?
        .json()
        .await
}
