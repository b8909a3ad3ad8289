//! How results are printed.

use serde::Serialize;

/// The form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// For people.
    #[default]
    Yaml,
    /// For programs.
    Json,
}

/// Prints a value.
pub fn print(value: &impl Serialize, output: Output) {
    let text = match output {
        Output::Yaml => serde_yaml_ng::to_string(value).map_err(|error| error.to_string()),
        Output::Json => serde_json::to_string_pretty(value).map_err(|error| error.to_string()),
    };
    match text {
        Ok(text) => println!("{}", text.trim_end()),
        Err(error) => eprintln!("the result can't be printed: {error}"),
    }
}
