//! Settings files: YAML, checked, with errors that say where and what.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

/// Why a settings file was not accepted.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not what the program expects.
    Invalid {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The path of the key, as `logs.level`.
        key: String,
        /// What was found and what was expected.
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

/// Reads a program's settings from a file.
///
/// # Errors
///
/// If the file can't be read or is not valid; see [`SettingsError`].
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse_settings(&file, &text),
        Err(source) => Err(SettingsError::Unreadable { file, source }),
    }
}

/// Reads settings from text; `file` is named in errors.
///
/// # Errors
///
/// If the text is not valid; see [`SettingsError`].
pub fn parse_settings<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let parser = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(parser).map_err(|error| {
        let path = error.path().to_string();
        let cause = error.into_inner();
        let line = cause.location().map_or(1, |place| place.line());
        SettingsError::Invalid {
            file: file.to_owned(),
            line: key_line(text, &path).unwrap_or(line),
            key: if path == "." {
                "settings".to_owned()
            } else {
                path
            },
            expected: without_place(&cause.to_string()),
        }
    })
}

/// The line of the last key of a path. The YAML library reports a wrong
/// value at the place where its enclosing mapping starts, so we look the key
/// up below the keys that enclose it.
fn key_line(text: &str, path: &str) -> Option<usize> {
    let mut found = None;
    let mut from = 0;
    for key in path
        .split('.')
        .map(|part| part.split('[').next().unwrap_or(part))
    {
        let prefix = format!("{key}:");
        let rest = text.lines().enumerate().skip(from);
        let hit = rest
            .map(|(i, line)| (i, line.trim_start().trim_start_matches("- ")))
            .find(|(_, line)| line.starts_with(&prefix));
        let (i, _) = hit?;
        found = Some(i + 1);
        from = i + 1;
    }
    found
}

/// The message without the library's own ` at line …` and leading path.
fn without_place(message: &str) -> String {
    let end = message.rfind(" at line ").unwrap_or(message.len());
    let message = &message[..end];
    match message.split_once(": ") {
        Some((head, rest)) if !head.contains(' ') => rest.to_owned(),
        _ => message.to_owned(),
    }
}
