//! YAML settings files, with errors that locate the invalid key.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

/// Why a settings file was rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// Reading the file failed.
    Unreadable {
        /// The path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content is not valid.
    Invalid {
        /// The path of the file.
        file: String,
        /// The line number, starting at 1.
        line: usize,
        /// The path of the key, such as `logs.level`.
        key: String,
        /// What is wrong and what is expected.
        expected: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { file, source } => write!(f, "{file}: {source}"),
            SettingsError::Invalid {
                file,
                line,
                key,
                expected,
            } => {
                write!(f, "{file}:{line}: {key}: {expected}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Loads settings from a file.
///
/// # Errors
///
/// Returns [`SettingsError`] if the file is unreadable or not valid.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse_settings(&file, &text),
        Err(source) => Err(SettingsError::Unreadable { file, source }),
    }
}

/// Parses settings from text; errors name `file` as the source.
///
/// # Errors
///
/// Returns [`SettingsError`] if the text is not valid.
pub fn parse_settings<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let parser = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(parser).map_err(|error| {
        let path = error.path().to_string();
        let cause = error.into_inner();
        let line = cause.location().map_or(1, |location| location.line());
        SettingsError::Invalid {
            file: file.to_owned(),
            line: key_line(text, &path).unwrap_or(line),
            key: if path == "." {
                "settings".to_owned()
            } else {
                path
            },
            expected: strip_location(&cause.to_string()),
        }
    })
}

/// Finds the line of the last key of a path in the text, because the YAML
/// library reports only the start of the enclosing mapping.
fn key_line(text: &str, path: &str) -> Option<usize> {
    let mut found = None;
    let mut next_line = 0;
    for key in path
        .split('.')
        .map(|part| part.split('[').next().unwrap_or(part))
    {
        let prefix = format!("{key}:");
        let rest = text.lines().enumerate().skip(next_line);
        let matching = rest
            .map(|(i, line)| (i, line.trim_start().trim_start_matches("- ")))
            .find(|(_, line)| line.starts_with(&prefix));
        let (i, _) = matching?;
        found = Some(i + 1);
        next_line = i + 1;
    }
    found
}

/// Removes the library's ` at line …` suffix and leading key path.
fn strip_location(message: &str) -> String {
    let end = message.rfind(" at line ").unwrap_or(message.len());
    let message = &message[..end];
    match message.split_once(": ") {
        Some((head, rest)) if !head.contains(' ') => rest.to_owned(),
        _ => message.to_owned(),
    }
}
