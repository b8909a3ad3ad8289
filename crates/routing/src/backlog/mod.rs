//! Admission and placement by outstanding work, for pools of engines that are overrun.
//!
//! Use it for pools with more slots than hosts, whose requests say how many tokens there are
//! to read. No host sees all requests of such a pool: each decides by its own requests and by
//! sums of the others that are some hundred milliseconds old. [`Overrun`] says whether the
//! pool is overrun; as long as it is not, nothing here decides. [`decide`] sends a request,
//! holds it or rejects it, [`choose_in_overrun`] places it, and [`WaitLine`] keeps the order
//! of the requests that a host holds.

mod decision;
mod overrun;
mod placement;
mod wait_line;

pub use decision::{BacklogDecision, BacklogRequest, admit_fraction, decide, return_ms};
pub use overrun::{Overrun, PoolBacklog};
pub use placement::choose_in_overrun;
pub use wait_line::{LineTicket, MAX_WAITING, WaitLine, WaitOrder};
