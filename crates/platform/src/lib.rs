//! The edge to the platform: tables, objects, hosts and weights.
//!
//! What must be agreed or kept goes through the platform's transactional
//! table and its object store. [`Platform`] is the one trait at this edge and
//! [`HttpPlatform`] its client; rows are guarded by HTTP's own conditional
//! requests (RFC 9110 section 13), objects are written once and never change.
//!
//! # Example
//!
//! ```no_run
//! use chalkrock_platform::{Expect, HttpPlatform, Platform};
//!
//! # async fn touch() -> Result<(), chalkrock_platform::PlatformError> {
//! let platform = HttpPlatform::new("http://127.0.0.1:7000")?;
//! let row = platform.read_row("config").await?;
//! println!("{row:?}");
//! platform.write_row("note", "hello", Expect::Absent).await?;
//! # Ok(())
//! # }
//! ```

mod config_store;
mod error;
mod http;
mod table;

pub use config_store::{Change, ConfigHead, ConfigStore, SubmitError};
pub use error::PlatformError;
pub use http::HttpPlatform;
pub use table::{Expect, Platform, Row, RowVersion, RowWrite, TaggedHosts, WriteResult};
