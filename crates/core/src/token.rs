//! Signed tokens with a chat's home or a stream's position.
//!
//! Hosts store no such state: callers return it, to any router. A token is
//! `base64url(fields) . base64url(HMAC-SHA256)` and valid only for the
//! organisation in its fields.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use crate::error::{Error, ErrorKind};
use crate::ids::{EndpointId, OrganisationId, RequestId};

/// Tokens longer than this are rejected unparsed.
const MAX_TOKEN_BYTES: usize = 1_024;
/// Length of the truncated HMAC in a token.
/// Forging a signature of this length takes 2^128 attempts.
const SIGNATURE_BYTES: usize = 16;

/// Signs and verifies tokens with the fleet's key.
#[derive(Clone)]
pub struct TokenKey(Hmac<Sha256>);

impl std::fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenKey")
    }
}

/// A chat's home: the engine that most likely caches its prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct HomeHint {
    /// The organisation of the chat.
    pub organisation: OrganisationId,
    /// The engine that last served the chat.
    pub endpoint: EndpointId,
}

/// Where a stream runs; lets any router resume it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct StreamPlace {
    /// The organisation of the request.
    pub organisation: OrganisationId,
    /// The ID of the request.
    pub request: RequestId,
    /// The engine that runs the request.
    pub endpoint: EndpointId,
    /// The number, in the caller's stream, of this engine's first event; above 0
    /// if another engine began the stream.
    pub base: u64,
}

impl TokenKey {
    /// Creates a key from the fleet's secret.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes any length"))
    }

    /// Signs a chat's home.
    pub fn sign_home(&self, home: &HomeHint) -> String {
        self.sign("h", home)
    }

    /// Verifies a token and returns the chat's home.
    ///
    /// # Errors
    ///
    /// If the token is invalid or belongs to another organisation.
    pub fn read_home(&self, token: &str, caller: &OrganisationId) -> Result<HomeHint, Error> {
        let home: HomeHint = self.read("h", token)?;
        if home.organisation != *caller {
            return Err(token_error("a token of the caller's own organisation"));
        }
        Ok(home)
    }

    /// Signs a stream's position.
    pub fn sign_place(&self, place: &StreamPlace) -> String {
        self.sign("s", place)
    }

    /// Verifies a token and returns the stream's position.
    ///
    /// # Errors
    ///
    /// If the token is invalid or belongs to another organisation.
    pub fn read_place(&self, token: &str, caller: &OrganisationId) -> Result<StreamPlace, Error> {
        let place: StreamPlace = self.read("s", token)?;
        if place.organisation != *caller {
            return Err(token_error("a token of the caller's own organisation"));
        }
        Ok(place)
    }

    fn sign<T: Serialize>(&self, kind: &str, fields: &T) -> String {
        let json = serde_json::to_vec(fields).unwrap_or_default();
        let body = format!("{kind}{}", URL_SAFE_NO_PAD.encode(json));
        let signature = self.signature(&body);
        format!("{body}.{}", URL_SAFE_NO_PAD.encode(signature))
    }

    fn read<T: DeserializeOwned>(&self, kind: &str, token: &str) -> Result<T, Error> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(token_error("at most 1,024 bytes"));
        }
        let (body, signature) = token
            .split_once('.')
            .ok_or_else(|| token_error("two parts with a dot between"))?;
        let signature = URL_SAFE_NO_PAD
            .decode(signature)
            .map_err(|_| token_error("a base64url signature"))?;
        if signature.len() != SIGNATURE_BYTES {
            return Err(token_error("a signature of 16 bytes"));
        }
        let mut mac = self.0.clone();
        mac.update(body.as_bytes());
        mac.verify_truncated_left(&signature)
            .map_err(|_| token_error("this fleet's signature"))?;
        let fields = body
            .strip_prefix(kind)
            .ok_or_else(|| token_error("a token of this kind"))?;
        let json = URL_SAFE_NO_PAD
            .decode(fields)
            .map_err(|_| token_error("base64url fields"))?;
        serde_json::from_slice(&json).map_err(|_| token_error("known fields"))
    }

    fn signature(&self, body: &str) -> Vec<u8> {
        let mut mac = self.0.clone();
        mac.update(body.as_bytes());
        mac.finalize().into_bytes()[..SIGNATURE_BYTES].to_vec()
    }
}

fn token_error(expected: &str) -> Error {
    Error::new(ErrorKind::InvalidToken, "token", expected)
}
