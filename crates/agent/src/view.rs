//! The view of one host, kept by an actor and watched by whoever serves it.

use std::convert::Infallible;
use std::sync::Arc;

use chalkrock_core::{ConfigVersion, EndpointId, FleetConfig, HostList, Incarnation, Membership};
use chalkrock_proto::{ConfigBody, HostsBody, KnownView, ViewUpdate};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::watch;

const PART: &str = "agent.view";

/// What an agent knows at one moment.
#[derive(Clone, Debug, Default)]
pub struct AgentView {
    /// The configuration in force here.
    pub config: Option<ConfigBody>,
    /// The same, parsed.
    pub parsed: Arc<FleetConfig>,
    /// Hosts and endpoints.
    pub hosts: Option<HostsBody>,
}

impl AgentView {
    /// The version in force, 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// What is newer here than at a router, or `None`.
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

/// Keeps the view. All changes go through this actor, one at a time, so that
/// a version can't be overtaken by an older one that arrives later.
pub(crate) struct ViewKeeper {
    members: Membership,
    hosts_number: u64,
    published: watch::Sender<Arc<AgentView>>,
}

impl Actor for ViewKeeper {
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

/// A configuration that was read or offered.
pub(crate) struct TakeConfig(pub(crate) ConfigBody);

impl Message<TakeConfig> for ViewKeeper {
    type Reply = ();

    async fn handle(&mut self, TakeConfig(body): TakeConfig, _: &mut Context<Self, ()>) {
        let in_force = self.published.borrow().config_version();
        if body.version <= in_force {
            return;
        }
        let parsed = match serde_json::from_str::<FleetConfig>(&body.json) {
            Ok(parsed) => Arc::new(parsed),
            Err(error) => {
                log::error!(target: PART, "Configuration {} can't be read: {error}.", body.version);
                return;
            }
        };
        log::info!(target: PART, "Configuration {} in force.", body.version);
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

/// A host list that was read.
pub(crate) struct TakeHosts(pub(crate) HostList);

impl Message<TakeHosts> for ViewKeeper {
    type Reply = ();

    async fn handle(&mut self, TakeHosts(list): TakeHosts, _: &mut Context<Self, ()>) {
        let first = self.published.borrow().hosts.is_none();
        if self.members.merge(&list) || first {
            self.publish_hosts();
        }
    }
}

/// An endpoint that was seen to leave.
pub(crate) struct SawLeaving {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
}

impl Message<SawLeaving> for ViewKeeper {
    type Reply = ();

    async fn handle(&mut self, seen: SawLeaving, _: &mut Context<Self, ()>) {
        if self.members.mark_leaving(&seen.endpoint, seen.incarnation) {
            log::info!(target: PART, "Endpoint {} leaves.", seen.endpoint);
            self.publish_hosts();
        }
    }
}

impl ViewKeeper {
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
