//! HTTP calls to one of the platform's services.
//!
//! A call that times out or loses its connection closes all idle connections
//! too. If a device on the network path has lost the state of one connection,
//! it has often lost the others, and each would cost another timeout.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnutreach_http::{Client, ClientError, ClientOptions};
use http_types::{Method, Request};

/// Maximum time to open a connection.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(500);

/// A complete response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// One request.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    /// Path and query of the URL, already escaped.
    pub(crate) target: &'a str,
    pub(crate) headers: &'a [(&'static str, &'a str)],
    pub(crate) body: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct Transport {
    address: SocketAddr,
    /// Limit on the wait for the head of a response, and on pauses after it.
    timeout: Duration,
    client: Mutex<Arc<Client>>,
}

impl Transport {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Transport {
        let client = Mutex::new(new_client(address, timeout));
        Transport { address, timeout, client }
    }

    /// Sends a call. A response with any status is a success.
    pub(crate) async fn send(
        &self,
        call: Call<'_>,
    ) -> Result<Response, ClientError> {
        let client = self
            .client
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone();
        let url = client.url(call.target).map_err(|e| {
            let detail = format!("target {:?}: {e}", call.target);
            let address = self.address;
            let source = std::io::Error::other(detail);
            ClientError::NotSent { address, source }
        })?;
        let mut request = Request::new(call.method, url);
        request.set_body(call.body);
        for (name, value) in call.headers {
            request.insert_header(*name, *value);
        }
        match client.send(request, self.timeout).await {
            Ok((response, body)) => {
                Ok(Response { status: u16::from(response.status()), body })
            }
            Err(e) => {
                self.discard_connections(&client);
                Err(e)
            }
        }
    }

    fn discard_connections(&self, failed: &Arc<Client>) {
        let mut client = self
            .client
            .lock()
            .expect("no thread panics while it holds the lock");
        if Arc::ptr_eq(&client, failed) {
            *client = new_client(self.address, self.timeout);
        }
    }
}

fn new_client(address: SocketAddr, timeout: Duration) -> Arc<Client> {
    let options = ClientOptions::new()
        .connect_timeout(MAX_CONNECT_TIME.min(timeout))
        .stall_timeout(timeout);
    Arc::new(Client::new(address, options))
}
