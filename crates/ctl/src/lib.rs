//! The operator's command line.
//!
//! Manages configurations, shows the state of the fleet and explains the
//! routing of requests. The commands are methods of [`Session`], for use by
//! other tools and tests.
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
mod trace;

pub use command::command;
pub use config::{Applied, Revision, Submission};
pub use error::CtlError;
pub use fleet::Session;
pub use output::{Output, print};
pub use trace::Trace;
