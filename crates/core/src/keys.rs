//! Digests of callers' keys, which are stored in place of the keys.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of a key as 64 lower-case hexadecimal digits.
///
/// # Example
///
/// ```
/// assert!(chalkrock_core::key_digest("abc").starts_with("ba7816bf"));
/// ```
pub fn key_digest(key: &str) -> String {
    use std::fmt::Write;
    let mut digits = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        let _ = write!(digits, "{byte:02x}");
    }
    digits
}
