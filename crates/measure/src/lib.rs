//! Load generation over HTTP and rollout simulation in virtual time.
//!
//! [`live`] measures the latency that a router adds to an engine and checks that
//! each caller receives its own complete answer. [`rollouts`] compares rollout
//! policies.
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
//!     concurrency: 4,
//!     tokens_per_answer: 16,
//!     stream: true,
//! };
//! assert!(load.concurrency <= load.requests);
//! ```

pub mod live;
pub mod rollouts;
