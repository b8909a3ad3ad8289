//! Signed tokens that callers carry for us: a chat's home, a stream's place.
//!
//! Hosts keep nothing, so what must outlive a router travels with the caller.
//! A token is `base64url(fields) . base64url(HMAC-SHA256)`. It names the
//! organisation, and another organisation's token is refused.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use crate::error::{Error, ErrorKind};
use crate::ids::{EndpointId, OrganisationId, RequestId};

/// Longest token that is read at all.
const TOKEN_MAX_BYTES: usize = 1_024;
/// Bytes of the signature that travel: forging one takes 2^128 tries.
const SIGNATURE_BYTES: usize = 16;

/// Signs and reads tokens with the fleet's key.
#[derive(Clone)]
pub struct TokenKey(Hmac<Sha256>);

impl std::fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenKey")
    }
}

/// A chat's home: the engine that most likely holds its prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct HomeHint {
    /// Whose chat it is.
    pub organisation: OrganisationId,
    /// The engine that served it last.
    pub endpoint: EndpointId,
}

/// Where a stream runs, so that any router can go on with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct StreamPlace {
    /// Whose request it is.
    pub organisation: OrganisationId,
    /// The request.
    pub request: RequestId,
    /// The engine that runs it.
    pub endpoint: EndpointId,
    /// The caller's number of the engine's first event: above 0 if another
    /// engine began the stream.
    pub base: u64,
}

impl TokenKey {
    /// A key from the fleet's secret.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes any length"))
    }

    /// Signs a home.
    pub fn sign_home(&self, home: &HomeHint) -> String {
        self.sign("h", home)
    }

    /// Reads a home.
    ///
    /// # Errors
    ///
    /// If the token is not ours or belongs to another organisation.
    pub fn read_home(&self, token: &str, caller: &OrganisationId) -> Result<HomeHint, Error> {
        let home: HomeHint = self.read("h", token)?;
        if home.organisation != *caller {
            return Err(refused("a token of the caller's own organisation"));
        }
        Ok(home)
    }

    /// Signs a stream's place.
    pub fn sign_place(&self, place: &StreamPlace) -> String {
        self.sign("s", place)
    }

    /// Reads a stream's place.
    ///
    /// # Errors
    ///
    /// If the token is not ours or belongs to another organisation.
    pub fn read_place(&self, token: &str, caller: &OrganisationId) -> Result<StreamPlace, Error> {
        let place: StreamPlace = self.read("s", token)?;
        if place.organisation != *caller {
            return Err(refused("a token of the caller's own organisation"));
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
        if token.len() > TOKEN_MAX_BYTES {
            return Err(refused("at most 1,024 bytes"));
        }
        let (body, signature) = token
            .split_once('.')
            .ok_or_else(|| refused("two parts with a dot between"))?;
        let signature = URL_SAFE_NO_PAD
            .decode(signature)
            .map_err(|_| refused("a base64url signature"))?;
        if signature.len() != SIGNATURE_BYTES {
            return Err(refused("a signature of 16 bytes"));
        }
        let mut mac = self.0.clone();
        mac.update(body.as_bytes());
        mac.verify_truncated_left(&signature)
            .map_err(|_| refused("this fleet's signature"))?;
        let fields = body
            .strip_prefix(kind)
            .ok_or_else(|| refused("a token of this kind"))?;
        let json = URL_SAFE_NO_PAD
            .decode(fields)
            .map_err(|_| refused("base64url fields"))?;
        serde_json::from_slice(&json).map_err(|_| refused("known fields"))
    }

    fn signature(&self, body: &str) -> Vec<u8> {
        let mut mac = self.0.clone();
        mac.update(body.as_bytes());
        mac.finalize().into_bytes()[..SIGNATURE_BYTES].to_vec()
    }
}

fn refused(expected: &str) -> Error {
    Error::new(ErrorKind::Token, "token", expected)
}
