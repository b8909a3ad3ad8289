//! Load and experiments: decisions on virtual time, live load over HTTP.
