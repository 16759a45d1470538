//! Server and client of the feeds that entries provide in place of the store.
//!
//! HTTP on a separate port:
//! `GET /feed/TABLE?era=ERA&after=NUMBER&wait-ms=MS&rows=FORM` waits for a
//! change as the store's feed does, and also for the next time at which the
//! store confirms the copy. The response holds all rows if `after` is missing,
//! or if the changes since that version are not known. A missing era is era 0.
//! The form of the rows is a [`RowForm`]; a missing one is `plain`.
//! `GET /entries` returns the entries that this one knows.

use std::{
    fmt,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use chestnutreach_http::{
    Client, ClientError, ClientOptions, ReceivedRequest, Response,
    STALL_TIMEOUT, ServerOptions, serve_connection,
};
use chestnutreach_membership::roster::ListedEntry;
use chestnutreach_protocol::peers::{EntryList, FeedAnswer, RosterEntry};
use chestnutreach_site::StoreVersion;
use chestnutreach_telemetry::Port;
use futures_lite::FutureExt as _;
use prost::{DecodeError, Message as _};

use crate::{
    clock::now_ms,
    cluster::feeds::{Feed, RowForm, STALE_MS, UnknownRow},
    core::Core,
};

/// Path of the list of entries.
const ENTRIES_PATH: &str = "/entries";
/// Maximum time for which a poll of another entry is held.
const MAX_WAIT_MS: u64 = 2_000;
/// Longest wait for the source after it failed, while the copy is recent. All
/// entries ask each other then; without a wait they would do so in a loop.
const FAILING_WAIT_MS: u64 = 60;
/// Enough for the children in the trees of both feeds, for entries that start
/// or ask around, and for old connections that are not closed yet.
const MAX_CONNECTIONS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A configuration with 1,600 client accounts is far smaller.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Opens the second of the internal ports, or any free port if there is only
/// one.
pub(crate) fn open(core: &Core) -> std::io::Result<Async<TcpListener>> {
    let (first, last) = core.settings.internal_ports;
    let port = if last > first { first + 1 } else { 0 };
    Async::<TcpListener>::bind((core.settings.ip, port))
}

/// Serves feeds to other entries until the process exits.
pub(crate) async fn serve(core: Arc<Core>, listener: Async<TcpListener>) {
    let port = Port::new(listener, "feeds", MAX_CONNECTIONS);
    loop {
        let accepted = port.accept().await;
        let task_core = core.clone();
        let serve = async move {
            let _slot = accepted.slot;
            let options = ServerOptions::new();
            let respond = |received| handle(&task_core, received);
            // An error needs no handling: the peer connects again.
            let _ = serve_connection(accepted.socket, &options, respond).await;
        };
        core.executor.spawn(serve).detach();
    }
}

async fn handle(core: &Core, received: ReceivedRequest) -> Response {
    let url = received.request.url();
    let text = |name: &str| {
        let mut pairs = url.query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value)
    };
    let number = |name: &str| text(name)?.parse::<u64>().ok();
    let form = text("rows").as_deref().and_then(RowForm::from_name);
    let form = form.unwrap_or(RowForm::Plain);
    if url.path() == ENTRIES_PATH {
        return respond_with_entries(core);
    }
    let table = url.path().strip_prefix("/feed/").unwrap_or("");
    let Some(feed) = core.feeds.by_table(table) else {
        return Response::new(404);
    };
    let received_ms = now_ms();
    let era = number("era").unwrap_or(0);
    let after = number("after").map(|after| StoreVersion::new(era, after));
    let wait_ms = number("wait-ms").unwrap_or(0).min(MAX_WAIT_MS);
    wait_for_news(feed, after, received_ms + wait_ms).await;
    let waited_ms = now_ms() - received_ms;
    let Some(answer) = feed.response_after(after, form) else {
        return Response::new(503);
    };
    let answer = FeedAnswer { waited_ms, ..answer };
    let mut response = Response::new(200);
    response.set_body(answer.encode_to_vec());
    response
}

/// The other entries, unless this one has not read any list yet.
fn respond_with_entries(core: &Core) -> Response {
    if !core.peers.has_list() {
        return Response::new(503);
    }
    let list = entry_list(core);
    let mut response = Response::new(200);
    response.set_body(list.encode_to_vec());
    response
}

fn entry_list(core: &Core) -> EntryList {
    let entries = core.peers.known_entries();
    let Some((roster, roster_age_ms)) = core.peers.roster_list() else {
        return EntryList { entries, ..EntryList::default() };
    };
    let to_message = |listed: ListedEntry| RosterEntry {
        address: listed.address.to_string(),
        age_ms: listed.age_ms,
    };
    EntryList {
        entries,
        roster: roster.into_iter().map(to_message).collect(),
        roster_age_ms,
        has_roster: true,
    }
}

/// Waits until the copy has changes after a version, or any rows if there is
/// no version, or until the store has confirmed it again. So a copy at the end
/// of a row of entries is hardly older than that of the first one. The wait
/// ends when the source fails, and is short where it failed before.
async fn wait_for_news(
    feed: &Feed,
    after: Option<StoreVersion>,
    until_ms: u64,
) {
    let confirmed_ms = feed.confirmed_ms();
    let was_failing = feed.is_failing();
    let until_ms = match was_failing && feed.age_ms() < STALE_MS {
        true => until_ms.min(now_ms() + FAILING_WAIT_MS),
        false => until_ms,
    };
    let subscription = feed.changed.subscribe();
    loop {
        let has_changes = feed.version().is_some()
            && after.is_none_or(|after| feed.has_changes_after(after));
        let is_confirmed = feed.confirmed_ms() > confirmed_ms;
        let has_failed = feed.is_failing() && !was_failing;
        let left_ms = until_ms.saturating_sub(now_ms());
        if has_changes || is_confirmed || has_failed || left_ms == 0 {
            return;
        }
        let timeout = async {
            Timer::after(Duration::from_millis(left_ms)).await;
        };
        subscription.notified().or(timeout).await;
    }
}

/// Why another entry has no response.
#[derive(Debug)]
pub(crate) enum FetchError {
    Client(ClientError),
    /// Status other than 200: the entry has no copy yet.
    Status(u16),
    Malformed(DecodeError),
    /// Neither the short nor the compressed response can be used.
    UnknownRow(UnknownRow),
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Client(e) => e.fmt(f),
            FetchError::Status(status) => {
                write!(f, "the entry responded with status {status}")
            }
            FetchError::Malformed(e) => write!(f, "malformed response: {e}"),
            FetchError::UnknownRow(e) => e.fmt(f),
        }
    }
}

/// Response of another entry.
pub(crate) struct FetchedFeed {
    pub(crate) answer: FeedAnswer,
    pub(crate) bytes: usize,
    /// Earliest time at which the response can have been made.
    pub(crate) created_ms: u64,
}

/// Client of another entry's feed server.
pub(crate) struct FeedClient {
    client: Client,
}

impl FeedClient {
    pub(crate) fn new(address: SocketAddr) -> FeedClient {
        let options = ClientOptions::new()
            .connect_timeout(CONNECT_TIMEOUT)
            .stall_timeout(STALL_TIMEOUT)
            .max_response_bytes(MAX_RESPONSE_BYTES);
        FeedClient { client: Client::new(address, options) }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Fetches the list of the entries that the other one knows.
    pub(crate) async fn fetch_entries(
        &self,
        timeout: Duration,
    ) -> Result<EntryList, FetchError> {
        let body = self.get(ENTRIES_PATH, timeout).await?;
        EntryList::decode(body.as_slice()).map_err(FetchError::Malformed)
    }

    /// Body of a response with status 200.
    async fn get(
        &self,
        target: &str,
        timeout: Duration,
    ) -> Result<Vec<u8>, FetchError> {
        let request = self.client.get(target).expect("an absolute path");
        let sent = self.client.send(request, timeout).await;
        let (response, body) = sent.map_err(FetchError::Client)?;
        match u16::from(response.status()) {
            200 => Ok(body),
            status => Err(FetchError::Status(status)),
        }
    }

    /// Fetches the changes after a version, or all rows; the server waits this
    /// long for a change.
    pub(crate) async fn fetch(
        &self,
        table: &str,
        after: Option<StoreVersion>,
        form: RowForm,
        wait: Duration,
        timeout: Duration,
    ) -> Result<FetchedFeed, FetchError> {
        let sent_ms = now_ms();
        let mut target = format!(
            "/feed/{table}?wait-ms={}&rows={}",
            wait.as_millis(),
            form.name()
        );
        if let Some(after) = after {
            let (era, after) = (after.era(), after.number());
            target.push_str(&format!("&era={era}&after={after}"));
        }
        let body = self.get(&target, timeout).await?;
        let answer = FeedAnswer::decode(body.as_slice());
        let answer = answer.map_err(FetchError::Malformed)?;
        // The server held the request for `waited_ms`; the network delay of
        // request and response is not known.
        let created_ms = (sent_ms + answer.waited_ms).min(now_ms());
        Ok(FetchedFeed { answer, bytes: body.len(), created_ms })
    }
}
