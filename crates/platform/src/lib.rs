//! The client of the platform: its table, object store and host list.
//!
//! Shared and durable state is kept in the platform's transactional table and
//! its object store. [`Platform`] is the interface and [`HttpPlatform`] its HTTP
//! client. Rows are written with conditional requests (RFC 9110 section 13);
//! objects are immutable.
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
