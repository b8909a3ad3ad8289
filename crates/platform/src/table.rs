//! The trait at the platform's edge and the shapes that cross it.

use std::future::Future;

use chalkrock_core::HostList;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;

/// The version of a row, set by the table at each write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its version.
    pub version: RowVersion,
    /// Its value, JSON text by convention.
    pub value: String,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// No row under the key.
    Absent,
    /// The row at this version.
    Version(RowVersion),
}

/// One write of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: String,
    /// Its new value.
    pub value: String,
    /// What it replaces.
    pub expect: Expect,
}

/// What became of one write of a batch: written, or the row in its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchAnswer {
    /// Written.
    Written(RowVersion),
    /// Not written: the row is as given.
    Conflict(Option<Row>),
}

/// The platform as chalkrock needs it.
pub trait Platform: Send + Sync + 'static {
    /// Reads a row.
    fn read_row(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Writes a row if it is as expected.
    fn write_row(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
    ) -> impl Future<Output = Result<RowVersion, PlatformError>> + Send;

    /// Writes rows, each on its own condition, as one write of the table.
    fn write_batch(
        &self,
        writes: Vec<RowWrite>,
    ) -> impl Future<Output = Result<Vec<BatchAnswer>, PlatformError>> + Send;

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

    /// Reads the lagging list of hosts and endpoints.
    fn read_hosts(&self) -> impl Future<Output = Result<HostList, PlatformError>> + Send;
}
