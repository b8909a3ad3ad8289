//! When rejected requests return, and which requests are such returns.

mod schedule;

pub use schedule::{
    MAX_EXPORTED_RETURNS, MAX_RESERVATIONS, RETURN_HORIZON_MS, RETURN_WINDOW_MS, ReservedReturn,
    ReturnSchedule,
};
