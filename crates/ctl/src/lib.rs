//! The operator's command line.
//!
//! Operators submit configurations, look at them and at the fleet, and ask
//! why a request went where it went. The commands are functions of a
//! [`Session`], so that other tools and tests can call them.
//!
//! # Example
//!
//! ```no_run
//! use chalkrockctl::Session;
//!
//! # async fn show() -> Result<(), chalkrockctl::CtlError> {
//! let session = Session::new("http://127.0.0.1:7000", vec![], None)?;
//! let current = session.current().await?;
//! println!("{:?}", current.map(|current| current.head.version));
//! # Ok(())
//! # }
//! ```

mod command;
mod config;
mod error;
mod fleet;
mod output;
mod story;

pub use command::command;
pub use config::{Applied, Submission, VersionedConfig};
pub use error::CtlError;
pub use fleet::Session;
pub use output::{Output, print};
pub use story::Story;
