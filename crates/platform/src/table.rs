//! The interface of the platform and its types.

use std::future::Future;

use chalkrock_core::HostList;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;

/// The version of a row, assigned by the table on each write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The version.
    pub version: RowVersion,
    /// The value, JSON text by convention.
    pub value: String,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// The key has no row.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// One conditional write of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The key of the row.
    pub key: String,
    /// The new value.
    pub value: String,
    /// The condition.
    pub expect: Expect,
}

/// The result of one write of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteResult {
    /// Written at this version.
    Written(RowVersion),
    /// Not written; holds the current row.
    Conflict(Option<Row>),
}

/// A host list with its entity tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedHosts {
    /// The host list.
    pub list: HostList,
    /// The entity tag, if the platform sends one.
    pub tag: Option<String>,
}

/// The operations of the platform that chalkrock uses.
pub trait Platform: Send + Sync + 'static {
    /// Reads a row.
    fn read_row(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Writes a row if it matches the condition.
    fn write_row(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
    ) -> impl Future<Output = Result<RowVersion, PlatformError>> + Send;

    /// Writes rows, each on its own condition, in one request.
    fn write_batch(
        &self,
        writes: Vec<RowWrite>,
    ) -> impl Future<Output = Result<Vec<WriteResult>, PlatformError>> + Send;

    /// Reads an object.
    fn read_object(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<String>, PlatformError>> + Send;

    /// Writes an object.
    fn write_object(
        &self,
        key: &str,
        body: String,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads the list of hosts and endpoints, which may lag; `None` if its entity
    /// tag is still `etag`. At 370 hosts and 690 engines the list is 136 KB; reading it anew
    /// each second would cost a host 27 times its traffic budget.
    fn read_hosts(
        &self,
        etag: Option<&str>,
    ) -> impl Future<Output = Result<Option<TaggedHosts>, PlatformError>> + Send;
}
