//! Answering other entries in place of the store, and asking them.
//!
//! HTTP on a port of its own: `GET /feed/TABLE?after=VERSION&wait-ms=MS`
//! waits for a change as the store's feed does. Without `after` all rows are
//! answered, and also where it can't be told what changed since.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use chestnutreach_http::{
    Client, ClientOptions, ReceivedRequest, Response, ServerOptions,
    serve_connection,
};
use chestnutreach_protocol::peers::FeedAnswer;
use chestnutreach_telemetry::Port;
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{clock::now_ms, cluster::feeds::Feed, core::Core};

/// Longest wait that another entry is given.
const MOST_WAIT: Duration = Duration::from_millis(2_000);
/// Connections at once: entries of a data centre, with both feeds, while old
/// connections are not closed yet.
const MAX_CONNECTIONS: usize = 256;
/// Time for a connection within a data centre.
const DIAL: Duration = Duration::from_millis(200);
/// Longest answer: a configuration of 1,600 accounts is far below it.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Opens the port: the second of those for entries, or any where there is
/// only one.
pub(crate) fn open(core: &Core) -> std::io::Result<Async<TcpListener>> {
    let (first, last) = core.settings.internal_ports;
    let port = if last > first { first + 1 } else { 0 };
    Async::<TcpListener>::bind((core.settings.ip, port))
}

/// Answers other entries until the process ends.
pub(crate) async fn serve(core: Arc<Core>, listener: Async<TcpListener>) {
    let port = Port::new(listener, "feeds", MAX_CONNECTIONS);
    loop {
        let accepted = port.accept().await;
        let core_here = core.clone();
        let serve = async move {
            let _slot = accepted.slot;
            let options = ServerOptions::new();
            let answer = |received| answer(&core_here, received);
            // Who asked dials again, whatever became of this connection.
            let _ = serve_connection(accepted.socket, &options, answer).await;
        };
        core.executor.spawn(serve).detach();
    }
}

async fn answer(core: &Core, received: ReceivedRequest) -> Response {
    let url = received.request.url();
    let number = |name: &str| {
        let mut pairs = url.query_pairs();
        let pair = pairs.find(|(key, _)| key == name)?;
        pair.1.parse::<u64>().ok()
    };
    let table = url.path().strip_prefix("/feed/").unwrap_or("");
    let Some(feed) = core.feeds.of(table) else {
        return Response::new(404);
    };
    feed.note_asked();
    let asked_ms = now_ms();
    let after = number("after");
    if let Some(after) = after {
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
        wait_for_news(feed, after, wait.min(MOST_WAIT)).await;
    }
    let waited_ms = now_ms() - asked_ms;
    let Some(answer) = feed.answer(after) else {
        return Response::new(503);
    };
    let answer = FeedAnswer { waited_ms, ..answer };
    let mut response = Response::new(200);
    response.set_body(answer.encode_to_vec());
    response
}

async fn wait_for_news(feed: &Feed, after: u64, wait: Duration) {
    let listed = feed.changed.subscribe();
    if feed.version().is_some() && feed.has_news(after) {
        return;
    }
    let end = async {
        Timer::after(wait).await;
    };
    listed.notified().or(end).await;
}

/// What another entry answered.
pub(crate) struct Asked {
    pub(crate) answer: FeedAnswer,
    /// Before this the answer was surely not made.
    pub(crate) made_ms: u64,
}

/// Asks another entry for what changed.
pub(crate) struct Asker {
    client: Client,
}

impl Asker {
    /// Of the entry that answers at this address.
    pub(crate) fn new(address: SocketAddr) -> Asker {
        let options = ClientOptions::new()
            .connect_timeout(DIAL)
            .max_response_bytes(MAX_ANSWER_BYTES);
        Asker { client: Client::new(address, options) }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// What changed after a version within a wait.
    pub(crate) async fn ask(
        &self,
        table: &str,
        after: Option<u64>,
        wait: Duration,
        timeout: Duration,
    ) -> Option<Asked> {
        let asked_ms = now_ms();
        let target = match after {
            Some(after) => {
                let wait_ms = wait.as_millis();
                format!("/feed/{table}?after={after}&wait-ms={wait_ms}")
            }
            None => format!("/feed/{table}"),
        };
        let request = self.client.get(&target).ok()?;
        let sent = self.client.send(request, timeout).await;
        let (response, body) = sent.ok()?;
        if u16::from(response.status()) != 200 {
            return None;
        }
        let answer = FeedAnswer::decode(body.as_slice()).ok()?;
        // It was made that long after it was asked for, at least; how long
        // either was on its way is not known.
        let made_ms = (asked_ms + answer.waited_ms).min(now_ms());
        Some(Asked { answer, made_ms })
    }
}
