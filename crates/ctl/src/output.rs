//! Printing of results.

use serde::Serialize;

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// YAML, the default.
    #[default]
    Yaml,
    /// Indented JSON.
    Json,
}

/// Prints a value to standard output.
pub fn print(value: &impl Serialize, output: Output) {
    let text = match output {
        Output::Yaml => serde_yaml_ng::to_string(value).map_err(|error| error.to_string()),
        Output::Json => serde_json::to_string_pretty(value).map_err(|error| error.to_string()),
    };
    match text {
        Ok(text) => println!("{}", text.trim_end()),
        Err(error) => eprintln!("failed to serialize the result: {error}"),
    }
}
