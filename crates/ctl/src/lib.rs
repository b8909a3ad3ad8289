//! The operator's command line.
