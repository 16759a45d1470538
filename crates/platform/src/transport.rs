//! Calls to one of the platform's services.
//!
//! A call that timed out or broke throws away every kept connection: when
//! something between the two ends has lost track of one of them, it has
//! often lost the others too, and each would cost one more timeout.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnutreach_http::{Client, ClientError, ClientOptions};
use http_types::{Method, Request};

/// Longest part of a call's time that dialling may take.
const MAX_DIAL: Duration = Duration::from_millis(500);

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// One request.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    /// Target "/path"; characters of URLs only.
    pub(crate) target: &'a str,
    pub(crate) headers: &'a [(&'static str, &'a str)],
    pub(crate) body: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct Transport {
    address: SocketAddr,
    timeout: Duration,
    client: Mutex<Arc<Client>>,
}

impl Transport {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Transport {
        let client = Mutex::new(new_client(address, timeout));
        Transport { address, timeout, client }
    }

    /// Any status is an answer.
    pub(crate) async fn send(
        &self,
        call: Call<'_>,
    ) -> Result<Answer, ClientError> {
        let client = self.client.lock().expect("no holder panics").clone();
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
                Ok(Answer { status: u16::from(response.status()), body })
            }
            Err(e) => {
                self.forget_connections(&client);
                Err(e)
            }
        }
    }

    fn forget_connections(&self, failed: &Arc<Client>) {
        let mut client = self.client.lock().expect("no holder panics");
        if Arc::ptr_eq(&client, failed) {
            *client = new_client(self.address, self.timeout);
        }
    }
}

fn new_client(address: SocketAddr, timeout: Duration) -> Arc<Client> {
    let options = ClientOptions::new().connect_timeout(MAX_DIAL.min(timeout));
    Arc::new(Client::new(address, options))
}
