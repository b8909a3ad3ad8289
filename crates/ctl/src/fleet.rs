//! Queries of the fleet: hosts, endpoints, routers and requests.

use std::time::Duration;

use chalkrock_core::{ConfigVersion, HostList};
use chalkrock_platform::{ConfigStore, HttpPlatform, Platform};
use reqwest::Client;
use serde_json::Value;
use tokio::time::Instant;

use crate::error::CtlError;

const HTTP_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Connections to the platform and the routers.
#[derive(Clone, Debug)]
pub struct Session {
    platform: HttpPlatform,
    routers: Vec<String>,
    operator_key: Option<String>,
    client: Client,
}

impl Session {
    /// Creates a session from the platform URL and the operator URLs of routers.
    ///
    /// # Errors
    ///
    /// Returns an error if `platform_url` is not a URL or the client can't be built.
    pub fn new(
        platform_url: &str,
        routers: Vec<String>,
        operator_key: Option<String>,
    ) -> Result<Self, CtlError> {
        let client = Client::builder().no_proxy().timeout(HTTP_TIMEOUT).build();
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

    /// Returns the hosts and endpoints that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails.
    pub async fn hosts(&self) -> Result<HostList, CtlError> {
        let read = self.platform.read_hosts(None).await?;
        Ok(read.map(|read| read.list).unwrap_or_default())
    }

    /// Returns the explanation of a request from the first router that has it.
    ///
    /// # Errors
    ///
    /// Returns the error of the last router if no router has it.
    pub async fn explain(&self, request: &str) -> Result<Value, CtlError> {
        let mut last_error = CtlError::Router {
            url: "none".to_owned(),
            reason: "specify a router with --router URL".to_owned(),
        };
        for router in &self.routers {
            match self.explain_at(router, request).await {
                Ok(explanation) => return Ok(explanation),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn explain_at(&self, router: &str, request_id: &str) -> Result<Value, CtlError> {
        let error = |reason: String| CtlError::Router {
            url: router.to_owned(),
            reason,
        };
        let request = self
            .client
            .get(format!("{router}/debug/requests/{request_id}"));
        let request = match &self.operator_key {
            Some(key) => request.bearer_auth(key),
            None => request,
        };
        let response = request.send().await.map_err(|e| error(e.to_string()))?;
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

    /// Waits until a version or a later one is in force at all routers.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::NotInForce`] after `timeout`.
    pub async fn wait_in_force(
        &self,
        version: ConfigVersion,
        timeout: Duration,
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
            if start.elapsed() >= timeout {
                let routers = self.routers.len();
                let waited_s = timeout.as_secs();
                return Err(CtlError::NotInForce {
                    version,
                    in_force,
                    routers,
                    waited_s,
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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
