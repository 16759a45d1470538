//! Client of the object store, for path-style requests of the S3 API.
//!
//! Object keys contain the digest of the content or are written only once, so
//! a put can be repeated and needs no condition.

use std::{error, fmt, net::SocketAddr, time::Duration};

use chestnutreach_http::ClientError;
use http_types::Method;

use crate::transport::{Call, Response, Transport};

/// Default name of the bucket.
pub const DEFAULT_BUCKET: &str = "chestnutreach";

/// Why a call to the object store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectError {
    /// No response, or a response that the service is unavailable; a put may
    /// have been applied.
    Unavailable {
        /// Cause of the failure.
        detail: String,
    },
    /// The call is invalid or was rejected.
    Protocol {
        /// Cause of the failure.
        detail: String,
    },
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectError::Unavailable { detail } => {
                write!(f, "the object store is unavailable: {detail}")
            }
            ObjectError::Protocol { detail } => {
                write!(f, "rejected call to the object store: {detail}")
            }
        }
    }
}

impl error::Error for ObjectError {}

/// A client of the object store.
#[derive(Debug)]
pub struct ObjectClient {
    transport: Transport,
    bucket: String,
}

impl ObjectClient {
    /// Creates a client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> ObjectClient {
        let transport = Transport::new(address, timeout);
        ObjectClient { transport, bucket: DEFAULT_BUCKET.to_owned() }
    }

    /// Sets the name of the bucket.
    pub fn bucket(mut self, name: &str) -> ObjectClient {
        name.clone_into(&mut self.bucket);
        self
    }

    /// Writes an object. A key consists of letters, digits and `/ - _ .`.
    ///
    /// # Errors
    ///
    /// See [`ObjectError`].
    pub async fn put(
        &self,
        key: &str,
        body: &[u8],
    ) -> Result<(), ObjectError> {
        let response = self.call(Method::Put, key, body.to_vec()).await?;
        match response.status {
            200 => Ok(()),
            _ => Err(status_error(key, &response)),
        }
    }

    /// Reads an object, or returns none if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`ObjectError`].
    pub async fn read(
        &self,
        key: &str,
    ) -> Result<Option<Vec<u8>>, ObjectError> {
        let response = self.call(Method::Get, key, Vec::new()).await?;
        match response.status {
            200 => Ok(Some(response.body)),
            404 => Ok(None),
            _ => Err(status_error(key, &response)),
        }
    }

    async fn call(
        &self,
        method: Method,
        key: &str,
        body: Vec<u8>,
    ) -> Result<Response, ObjectError> {
        check_key(key)?;
        let target = format!("/{}/{key}", self.bucket);
        let call = Call { method, target: &target, headers: &[], body };
        let response = self.transport.send(call).await;
        response.map_err(|e: ClientError| {
            let detail = e.to_string();
            ObjectError::Unavailable { detail }
        })
    }
}

fn check_key(key: &str) -> Result<(), ObjectError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"/-_.".contains(&b);
    if !key.is_empty() && key.bytes().all(is_allowed) {
        return Ok(());
    }
    let detail = format!("{key:?} is not a valid object key");
    Err(ObjectError::Protocol { detail })
}

fn status_error(key: &str, response: &Response) -> ObjectError {
    let detail = format!("status {} for {key:?}", response.status);
    match response.status {
        429 | 500.. => ObjectError::Unavailable { detail },
        _ => ObjectError::Protocol { detail },
    }
}
