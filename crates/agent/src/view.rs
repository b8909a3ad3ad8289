//! The view of one host, updated by an actor.

use std::convert::Infallible;
use std::sync::Arc;

use chalkrock_core::{ConfigVersion, EndpointId, FleetConfig, HostList, Incarnation, Membership};
use chalkrock_proto::{ConfigBody, HostsBody, KnownView, ViewUpdate};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::watch;

const LOG_TARGET: &str = "agent.view";

/// A snapshot of the fleet as the agent knows it.
#[derive(Clone, Debug, Default)]
pub struct AgentView {
    /// The current configuration.
    pub config: Option<ConfigBody>,
    /// The current configuration, parsed.
    pub parsed: Arc<FleetConfig>,
    /// Hosts and endpoints.
    pub hosts: Option<HostsBody>,
}

impl AgentView {
    /// Returns the current configuration version, or 0 without one.
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Returns the parts that are newer than those a router knows, if any.
    pub fn newer_than(&self, known: KnownView) -> Option<ViewUpdate> {
        let config = self
            .config
            .clone()
            .filter(|config| config.version > known.config_version);
        let hosts = self
            .hosts
            .clone()
            .filter(|hosts| hosts.number != known.hosts_number);
        if config.is_none() && hosts.is_none() {
            return None;
        }
        Some(ViewUpdate { config, hosts })
    }
}

/// Updates the view. The actor serialises changes, so that an older version
/// cannot replace a newer one.
pub(crate) struct ViewActor {
    members: Membership,
    hosts_number: u64,
    published: watch::Sender<Arc<AgentView>>,
}

impl Actor for ViewActor {
    type Args = watch::Sender<Arc<AgentView>>;
    type Error = Infallible;

    async fn on_start(published: Self::Args, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            members: Membership::default(),
            hosts_number: 0,
            published,
        })
    }
}

/// Applies a configuration from the platform or a peer.
pub(crate) struct ApplyConfig(pub(crate) ConfigBody);

impl Message<ApplyConfig> for ViewActor {
    type Reply = ();

    async fn handle(&mut self, ApplyConfig(body): ApplyConfig, _: &mut Context<Self, ()>) {
        let current = self.published.borrow().config_version();
        if body.version <= current {
            return;
        }
        let parsed = match serde_json::from_str::<FleetConfig>(&body.json) {
            Ok(parsed) => Arc::new(parsed),
            Err(error) => {
                log::error!(target: LOG_TARGET, "Invalid configuration {}: {error}.", body.version);
                return;
            }
        };
        log::info!(target: LOG_TARGET, "Applied configuration {}.", body.version);
        self.published.send_modify(|view| {
            let hosts = view.hosts.clone();
            *view = Arc::new(AgentView {
                config: Some(body),
                parsed,
                hosts,
            });
        });
    }
}

/// Applies a host list from the platform.
pub(crate) struct ApplyHosts(pub(crate) HostList);

impl Message<ApplyHosts> for ViewActor {
    type Reply = ();

    async fn handle(&mut self, ApplyHosts(list): ApplyHosts, _: &mut Context<Self, ()>) {
        let first = self.published.borrow().hosts.is_none();
        if self.members.merge(&list) || first {
            self.publish_hosts();
        }
    }
}

/// Marks an endpoint as leaving.
pub(crate) struct MarkLeaving {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
}

impl Message<MarkLeaving> for ViewActor {
    type Reply = ();

    async fn handle(&mut self, seen: MarkLeaving, _: &mut Context<Self, ()>) {
        if self.members.mark_leaving(&seen.endpoint, seen.incarnation) {
            log::info!(target: LOG_TARGET, "Endpoint {} is leaving.", seen.endpoint);
            self.publish_hosts();
        }
    }
}

impl ViewActor {
    fn publish_hosts(&mut self) {
        self.hosts_number += 1;
        let hosts = HostsBody {
            number: self.hosts_number,
            list: self.members.list(),
        };
        self.published.send_modify(|view| {
            let mut next = AgentView::clone(view);
            next.hosts = Some(hosts);
            *view = Arc::new(next);
        });
    }
}
