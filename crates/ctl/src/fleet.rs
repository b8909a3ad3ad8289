//! Looking at the fleet: hosts, endpoints, routers, and single requests.

use std::time::Duration;

use chalkrock_core::{ConfigVersion, HostList};
use chalkrock_platform::{ConfigStore, HttpPlatform, Platform};
use reqwest::Client;
use serde_json::Value;
use tokio::time::Instant;

use crate::error::CtlError;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// What commands talk to.
#[derive(Clone, Debug)]
pub struct Session {
    platform: HttpPlatform,
    routers: Vec<String>,
    operator_key: Option<String>,
    client: Client,
}

impl Session {
    /// A session with a platform and the operators' URLs of routers.
    ///
    /// # Errors
    ///
    /// If the platform's address is not a URL.
    pub fn new(
        platform_url: &str,
        routers: Vec<String>,
        operator_key: Option<String>,
    ) -> Result<Self, CtlError> {
        let client = Client::builder().no_proxy().timeout(CALL_TIMEOUT).build();
        let client = client.map_err(|error| CtlError::Router {
            url: "none".to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self {
            platform: HttpPlatform::new(platform_url)?,
            routers,
            operator_key,
            client,
        })
    }

    pub(crate) fn store(&self) -> ConfigStore<HttpPlatform> {
        ConfigStore::new(self.platform.clone())
    }

    /// Hosts and endpoints as the platform lists them.
    ///
    /// # Errors
    ///
    /// If the platform fails.
    pub async fn hosts(&self) -> Result<HostList, CtlError> {
        let read = self.platform.read_hosts(None).await?;
        Ok(read.map(|read| read.list).unwrap_or_default())
    }

    /// The explanation of a request, from whichever router keeps it.
    ///
    /// # Errors
    ///
    /// If no router keeps it, with what the last one said.
    pub async fn explain(&self, request: &str) -> Result<Value, CtlError> {
        let mut failed = CtlError::Router {
            url: "none".to_owned(),
            reason: "name routers with --router URL".to_owned(),
        };
        for router in &self.routers {
            match self.explain_at(router, request).await {
                Ok(explanation) => return Ok(explanation),
                Err(error) => failed = error,
            }
        }
        Err(failed)
    }

    async fn explain_at(&self, router: &str, request: &str) -> Result<Value, CtlError> {
        let error = |reason: String| CtlError::Router {
            url: router.to_owned(),
            reason,
        };
        let call = self
            .client
            .get(format!("{router}/debug/requests/{request}"));
        let call = match &self.operator_key {
            Some(key) => call.bearer_auth(key),
            None => call,
        };
        let response = call.send().await.map_err(|e| error(e.to_string()))?;
        let is_success = response.status().is_success();
        let body: Value = response.json().await.map_err(|e| error(e.to_string()))?;
        if is_success {
            return Ok(body);
        }
        Err(error(
            body["error"]["message"]
                .as_str()
                .unwrap_or("refused")
                .to_owned(),
        ))
    }

    /// Waits until a version, or a later one, is in force at all routers.
    ///
    /// # Errors
    ///
    /// If it is not in time.
    pub async fn wait_in_force(
        &self,
        version: ConfigVersion,
        limit: Duration,
    ) -> Result<(), CtlError> {
        let start = Instant::now();
        loop {
            let mut in_force = 0;
            for router in &self.routers {
                in_force += usize::from(self.version_at(router).await >= Some(version));
            }
            if in_force == self.routers.len() {
                return Ok(());
            }
            if start.elapsed() >= limit {
                let routers = self.routers.len();
                let waited_s = limit.as_secs();
                return Err(CtlError::NotInForce {
                    version,
                    in_force,
                    routers,
                    waited_s,
                });
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    }

    async fn version_at(&self, router: &str) -> Option<ConfigVersion> {
        let response = self
            .client
            .get(format!("{router}/metrics"))
            .send()
            .await
            .ok()?;
        let text = response.text().await.ok()?;
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with("chalkrock_config_version{"))?;
        line.rsplit(' ').next()?.parse().ok().map(ConfigVersion)
    }
}
