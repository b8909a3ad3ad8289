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
pub enum WriteResult {
    /// Written.
    Written(RowVersion),
    /// Not written: the row is as given.
    Conflict(Option<Row>),
}

/// A host list with the tag that names this state of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedHosts {
    /// The list.
    pub list: HostList,
    /// Its tag, if the platform gives one.
    pub tag: Option<String>,
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

    /// Reads the lagging list of hosts and endpoints; `None` if it is still
    /// the one with the tag `known`. At 370 hosts and 690 engines the list is
    /// 136 KB, and reading it anew each second would cost a host 27 times its
    /// budget.
    fn read_hosts(
        &self,
        known: Option<&str>,
    ) -> impl Future<Output = Result<Option<TaggedHosts>, PlatformError>> + Send;
}
