//! Hosts of one fleet with links of their own to its endpoints.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use chalkrock_routing::RulesDocument;
use chalkrock_soak::{LinkMode, Proxy};

use super::{Behaviour, Script, ScriptedEndpoint, TestGateway, TestSource, metric, until};

/// A fleet whose links between hosts and endpoints a test can cut one by one.
pub(crate) struct PartitionFleet {
    pub(crate) hosts: Vec<TestGateway>,
    pub(crate) endpoints: Vec<ScriptedEndpoint>,
    /// By host and endpoint.
    links: Vec<Vec<Proxy>>,
    link_ip: IpAddr,
}

/// A loopback address of one fleet. A link that refuses connections does not listen, and on a
/// shared address a stand-in of another test may take its port.
fn next_link_ip() -> IpAddr {
    const FIRST_BYTE: u8 = 100;
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, FIRST_BYTE + high % FIRST_BYTE, low, number).into()
}

impl PartitionFleet {
    /// Starts endpoints, and hosts that know each other.
    pub(crate) async fn start(rules: RulesDocument, hosts: usize, endpoints: usize) -> Self {
        let source = TestSource::default();
        source.set_rules(rules);
        let mut fleet = Self {
            hosts: Vec::new(),
            endpoints: Vec::new(),
            links: Vec::new(),
            link_ip: next_link_ip(),
        };
        for i in 0..endpoints {
            let name = format!("endpoint-{i}");
            let script = Script::default();
            let endpoint = ScriptedEndpoint::start(&name, "pool", Behaviour::Answer, script).await;
            source.list(endpoint.endpoint.clone());
            fleet.endpoints.push(endpoint);
        }
        for i in 0..hosts {
            fleet.add_host(&source, &format!("host-{i}")).await;
        }
        for host in &fleet.hosts {
            until(async || metric(host, "peers_heard").await == (hosts - 1) as f64).await;
        }
        fleet
    }

    async fn add_host(&mut self, source: &TestSource, name: &str) {
        let any_port = SocketAddr::new(self.link_ip, 0);
        let mut links = Vec::new();
        let mut addresses = Vec::new();
        for scripted in &self.endpoints {
            let endpoint = &scripted.endpoint;
            let link = Proxy::start(any_port, endpoint.address).await;
            let link = link.expect("a proxy");
            addresses.push((endpoint.name.clone(), link.address()));
            links.push(link);
        }
        let source = source.with_links(addresses.into_iter().collect());
        let host = TestGateway::start(source, name, Vec::new()).await;
        host.ready().await;
        self.hosts.push(host);
        self.links.push(links);
    }

    /// Sets the links of a host to all endpoints.
    pub(crate) fn set_links(&self, host: usize, mode: LinkMode) {
        self.set_some_links(host, 0..self.endpoints.len(), mode);
    }

    /// Sets the links of a host to some endpoints.
    pub(crate) fn set_some_links(
        &self,
        host: usize,
        endpoints: std::ops::Range<usize>,
        mode: LinkMode,
    ) {
        for link in &self.links[host][endpoints] {
            link.set_mode(mode);
        }
    }

    /// Returns how many times a request arrived at the endpoints.
    pub(crate) fn run_count(&self, id: &str) -> usize {
        self.endpoints.iter().map(|e| e.run_count(id)).sum()
    }

    /// Sends requests to a host for a time, whatever becomes of them.
    pub(crate) async fn load(&self, host: usize, path: &str, duration: Duration) {
        const INTERVAL: Duration = Duration::from_millis(40);
        let until = tokio::time::Instant::now() + duration;
        let mut calls = tokio::task::JoinSet::new();
        let front = self.hosts[host].running.front_address();
        while tokio::time::Instant::now() < until {
            let call = super::Call::post(path, b"x").id("load");
            calls.spawn(async move { call.exchange(front).await });
            tokio::time::sleep(INTERVAL).await;
        }
        calls.abort_all();
    }
}
