//! Load over HTTP, for real processes, and experiments on virtual time.
//!
//! Use [`live`] to see what a router adds to an engine's time, and whether each
//! caller gets the whole answer to its own request; [`rollouts`] to compare ways to
//! move a pool to another build.
//!
//! # Example
//!
//! ```
//! use chalkrock_measure::live::Load;
//!
//! let load = Load {
//!     target: "http://127.0.0.1:8080".to_owned(),
//!     key: "key-dispatch".to_owned(),
//!     model: "stand-in-7b".to_owned(),
//!     requests: 100,
//!     parallel: 4,
//!     tokens: 16,
//!     stream: true,
//! };
//! assert!(load.parallel <= load.requests);
//! ```

pub mod live;
pub mod rollouts;
