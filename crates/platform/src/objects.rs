//! Objects by path, as in the published S3 path-style API.
//!
//! Objects here are named by the digest of their content or written once, so
//! that a put may be repeated and needs no condition.

use std::{error, fmt, net::SocketAddr, time::Duration};

use chestnutreach_http::ClientError;
use http_types::Method;

use crate::transport::{Answer, Call, Transport};

/// Name of the bucket unless another is set.
pub const DEFAULT_BUCKET: &str = "chestnutreach";

/// Why a call to the object store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectError {
    /// No answer, or one that it is down; a put may have been applied.
    Unavailable {
        /// What went wrong.
        detail: String,
    },
    /// The call is wrong.
    Protocol {
        /// What went wrong.
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
                write!(f, "the object store refused a call: {detail}")
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
    /// A client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> ObjectClient {
        let transport = Transport::new(address, timeout);
        ObjectClient { transport, bucket: DEFAULT_BUCKET.to_owned() }
    }

    /// Uses another bucket.
    pub fn bucket(mut self, name: &str) -> ObjectClient {
        name.clone_into(&mut self.bucket);
        self
    }

    /// Sets an object. Keys are letters, digits and `/ - _ .`.
    ///
    /// # Errors
    ///
    /// See [`ObjectError`].
    pub async fn put(
        &self,
        key: &str,
        body: &[u8],
    ) -> Result<(), ObjectError> {
        let answer = self.call(Method::Put, key, body.to_vec()).await?;
        match answer.status {
            200 => Ok(()),
            _ => Err(error_of(key, &answer)),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// See [`ObjectError`].
    pub async fn read(
        &self,
        key: &str,
    ) -> Result<Option<Vec<u8>>, ObjectError> {
        let answer = self.call(Method::Get, key, Vec::new()).await?;
        match answer.status {
            200 => Ok(Some(answer.body)),
            404 => Ok(None),
            _ => Err(error_of(key, &answer)),
        }
    }

    async fn call(
        &self,
        method: Method,
        key: &str,
        body: Vec<u8>,
    ) -> Result<Answer, ObjectError> {
        check_key(key)?;
        let target = format!("/{}/{key}", self.bucket);
        let call = Call { method, target: &target, headers: &[], body };
        let answer = self.transport.send(call).await;
        answer.map_err(|e: ClientError| {
            let detail = e.to_string();
            ObjectError::Unavailable { detail }
        })
    }
}

fn check_key(key: &str) -> Result<(), ObjectError> {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"/-_.".contains(&b);
    if !key.is_empty() && key.bytes().all(is_plain) {
        return Ok(());
    }
    let detail = format!("{key:?} is no key of an object");
    Err(ObjectError::Protocol { detail })
}

fn error_of(key: &str, answer: &Answer) -> ObjectError {
    let detail = format!("status {} for {key:?}", answer.status);
    match answer.status {
        429 | 500.. => ObjectError::Unavailable { detail },
        _ => ObjectError::Protocol { detail },
    }
}
