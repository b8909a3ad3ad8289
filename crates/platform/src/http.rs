//! The HTTP client of the platform; table writes are conditional requests.

use std::time::Duration;

use reqwest::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, Response, StatusCode, Url};
use serde::de::DeserializeOwned;

use crate::error::PlatformError;
use crate::table::{Expect, Platform, Row, RowVersion, RowWrite, TaggedHosts, WriteResult};

/// After this, the response counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: Url,
    client: Client,
}

impl HttpPlatform {
    /// Creates a client of the platform at a base URL.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is not a URL or the client can't be built.
    pub fn new(base: &str) -> Result<Self, PlatformError> {
        let invalid = || PlatformError::InvalidUrl(base.to_owned());
        let base = Url::parse(base).map_err(|_| invalid())?;
        if base.cannot_be_a_base() {
            return Err(invalid());
        }
        let client = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(|e| PlatformError::Unavailable(e.to_string()))?;
        Ok(Self { base, client })
    }

    fn url(&self, segments: &[&str]) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().push("v1").extend(segments);
        }
        url
    }
}

/// Classifies a transport error: without a connection, nothing was sent.
fn transport_error(error: reqwest::Error) -> PlatformError {
    if error.is_connect() || error.is_builder() {
        return PlatformError::Unavailable(error.to_string());
    }
    PlatformError::OutcomeUnknown(error.to_string())
}

/// Classifies a status that the request does not handle itself.
fn status_error(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled,
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable(status.to_string()),
        _ => PlatformError::OutcomeUnknown(status.to_string()),
    }
}

async fn json<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    let bytes = response.bytes().await.map_err(transport_error)?;
    serde_json::from_slice(&bytes).map_err(|e| PlatformError::Malformed(e.to_string()))
}

fn row_version(response: &Response) -> Result<RowVersion, PlatformError> {
    let tag = response
        .headers()
        .get(ETAG)
        .and_then(|tag| tag.to_str().ok())
        .unwrap_or_default();
    tag.trim_matches('"')
        .parse()
        .map(RowVersion)
        .map_err(|_| PlatformError::Malformed(format!("ETag {tag:?}")))
}

impl Platform for HttpPlatform {
    async fn read_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let request = self.client.get(self.url(&["table", key]));
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => {
                let version = row_version(&response)?;
                let value = response.text().await.map_err(transport_error)?;
                Ok(Some(Row { version, value }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    async fn write_row(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
    ) -> Result<RowVersion, PlatformError> {
        let request = self
            .client
            .put(self.url(&["table", key]))
            .body(value.to_owned());
        let request = match expect {
            Expect::Absent => request.header(IF_NONE_MATCH, "*"),
            Expect::Version(RowVersion(v)) => request.header(IF_MATCH, format!("\"{v}\"")),
        };
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => row_version(&response),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict(json(response).await?)),
            status => Err(status_error(status)),
        }
    }

    async fn write_batch(&self, writes: Vec<RowWrite>) -> Result<Vec<WriteResult>, PlatformError> {
        let request = self.client.post(self.url(&["table-batch"])).json(&writes);
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => json(response).await,
            status => Err(status_error(status)),
        }
    }

    async fn read_object(&self, key: &str) -> Result<Option<String>, PlatformError> {
        let request = self.client.get(self.url(&["objects", key]));
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => response.text().await.map(Some).map_err(transport_error),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    async fn write_object(&self, key: &str, body: String) -> Result<(), PlatformError> {
        let request = self.client.put(self.url(&["objects", key])).body(body);
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(status_error(status)),
        }
    }

    async fn read_hosts(&self, etag: Option<&str>) -> Result<Option<TaggedHosts>, PlatformError> {
        let mut request = self.client.get(self.url(&["hosts"]));
        if let Some(tag) = etag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => {
                let tag = response
                    .headers()
                    .get(ETAG)
                    .and_then(|tag| tag.to_str().ok());
                let tag = tag.map(str::to_owned);
                Ok(Some(TaggedHosts {
                    list: json(response).await?,
                    tag,
                }))
            }
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(status_error(status)),
        }
    }
}
