//! Catalogue of the logged events.
//!
//! The number of an event never changes and is never reused, so that alerts
//! and searches can rely on it. The first digit is the area: 1 the process, 2
//! the manifest and the platform, 3 links between processes, 4 requests at an
//! entry, 5 work at a side process, 6 backend servers, 7 drains, 8 the ports
//! of the process, 9 requests that an entry sends to engines directly and the
//! state that it holds of these engines.

use std::{fmt::Display, panic::Location};

use log::{
    Level::{Debug, Error, Info, Warn},
    Record,
    kv::Value,
};

/// Log target of all events.
pub const TARGET: &str = "chestnutreach";

/// Catalogue entry of an event.
struct CatalogueEntry {
    number: u32,
    name: &'static str,
    level: log::Level,
    fields: &'static [&'static str],
    description: &'static str,
}

/// Generates the enum, the list of all events and their catalogue entries from
/// one row per event, so that they cannot diverge.
macro_rules! events {
    ($($variant:ident = $number:literal, $name:literal, $level:ident,
        [$($field:literal),*], $description:literal;)*) => {
        /// Event that is logged for operators.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        #[non_exhaustive]
        pub enum Event {
            $(#[doc = $description] $variant,)*
        }

        impl Event {
            /// All events, in the order of the catalogue.
            pub const ALL: &[Event] = &[$(Event::$variant),*];

            fn catalogue_entry(self) -> CatalogueEntry {
                match self {
                    $(Event::$variant => CatalogueEntry {
                        number: $number,
                        name: $name,
                        level: $level,
                        fields: &[$($field),*],
                        description: $description,
                    },)*
                }
            }
        }
    };
}

events! {
    DaemonStarted = 101, "daemon_started", Info,
        ["role", "vm", "data_centre", "boot_id"],
        "The process has started and listens.";
    DaemonStopping = 102, "daemon_stopping", Info,
        ["cause", "in_flight"],
        "The process was told to stop and drains.";
    DaemonStopped = 103, "daemon_stopped", Info,
        ["cut", "elapsed_ms"],
        "The process ends.";
    SettingsRefused = 104, "settings_refused", Error,
        ["findings"],
        "The settings are wrong; the process does not start.";
    TaskFailed = 105, "task_failed", Error,
        ["task", "error"],
        "A lasting task of the process ended and is started again.";
    TimeJumped = 106, "time_jumped", Warn,
        ["paused_ms"],
        "The process stood still; what depends on time is checked again.";

    ManifestInForce = 201, "manifest_in_force", Info,
        ["generation", "submission", "source", "elapsed_ms"],
        "A new generation of the manifest is in force here.";
    ManifestFetchFailed = 202, "manifest_fetch_failed", Warn,
        ["generation", "source", "error"],
        "A newer generation is known but could not be fetched.";
    ManifestUnusable = 203, "manifest_unusable", Error,
        ["generation", "findings"],
        "An accepted manifest could not be read; the old one stays in force.";
    StoreUnavailable = 204, "store_unavailable", Warn,
        ["store", "error"],
        "A service of the platform does not answer.";
    StoreBack = 205, "store_back", Info,
        ["store", "down_ms"],
        "A service of the platform answers again.";
    LeaseTaken = 206, "lease_taken", Info,
        ["service", "fence"],
        "This process holds the lease that plans a service's orders.";
    LeaseLost = 207, "lease_lost", Warn,
        ["service", "fence", "cause"],
        "This process stopped planning a service's orders.";
    OrderSent = 208, "order_sent", Info,
        ["service", "backend", "order", "fence"],
        "A backend server was given an order.";
    OrderRefused = 209, "order_refused", Warn,
        ["backend", "order", "fence", "reason", "layers", "orders_expected",
         "orders_begun"],
        "An order was refused, by a newer fencing number or a backend server.";
    VmLeaving = 210, "vm_leaving", Info,
        ["vm", "source"],
        "A VM is leaving and gets no new work.";
    StandIn = 211, "stand_in", Warn,
        ["stands_in"],
        "This process gives the orders that need no lease, or no longer does.";

    LinkOpened = 301, "link_opened", Info,
        ["peer_vm", "peer_address", "peer_boot_id"],
        "A link to another process is open.";
    LinkLost = 302, "link_lost", Warn,
        ["peer_vm", "peer_address", "cause", "in_flight"],
        "A link to another process ended or went silent.";
    LinkRefused = 303, "link_refused", Warn,
        ["peer_address", "reason"],
        "Two processes could not agree on a link.";
    PeerRestarted = 304, "peer_restarted", Info,
        ["peer_vm", "old_boot_id", "boot_id"],
        "Another process has started anew, with an empty memory.";

    RequestEnded = 401, "request_ended", Debug,
        ["request", "service", "account", "outcome", "reason", "attempts",
         "tokens", "elapsed_ms"],
        "A request has its one outcome.";
    RequestRefused = 402, "request_refused", Debug,
        ["request", "service", "account", "reason", "retry_after_ms"],
        "A request was not run.";
    AttemptFailed = 403, "attempt_failed", Warn,
        ["request", "attempt", "backend", "reason", "detail"],
        "An attempt began and could not go on.";
    RequestResumed = 404, "request_resumed", Info,
        ["request", "attempt", "position", "recovery_ms"],
        "A request goes on after a failure, from its last position.";
    ClaimUnsettled = 405, "claim_unsettled", Warn,
        ["request", "account", "error"],
        "Whether a claim of a key was written is not known.";
    OutcomeUnknown = 406, "outcome_unknown", Warn,
        ["request", "service", "account", "detail"],
        "A non-idempotent request may or may not have run.";
    CallerGone = 407, "caller_gone", Debug,
        ["request", "position"],
        "A caller hung up; its request is cancelled.";
    RetryBudgetSpent = 408, "retry_budget_spent", Warn,
        ["service", "request", "own_requests", "own_retries", "entries",
         "heard", "oldest_report_ms", "age_ms"],
        "A service has no retries left; failures go to callers.";

    StepRefused = 501, "step_refused", Warn,
        ["request", "attempt", "position", "expected_position", "reason"],
        "A step that is not the next of its attempt was refused.";
    RunOnceTableFull = 502, "run_once_table_full", Error,
        ["capacity"],
        "The run-once table is full; new work is refused.";
    RequestOrphaned = 503, "request_orphaned", Info,
        ["request", "attempt", "entry_vm"],
        "The entry of a running request was lost.";
    AttemptFenced = 504, "attempt_fenced", Info,
        ["request", "attempt", "newest_attempt"],
        "Work of an older attempt was stopped.";

    BackendDown = 601, "backend_down", Error,
        ["backend", "error", "in_flight"],
        "A backend server does not answer.";
    BackendBack = 602, "backend_back", Info,
        ["backend", "down_ms"],
        "A backend server answers again.";
    BackendMismatch = 603, "backend_mismatch", Error,
        ["backend", "expected", "found"],
        "A backend server does not hold what the manifest says.";

    DrainStarted = 701, "drain_started", Info,
        ["backend", "cause", "in_flight", "limit_ms"],
        "New work is refused while the work in progress ends.";
    DrainEnded = 702, "drain_ended", Info,
        ["backend", "elapsed_ms"],
        "The work in progress has ended.";
    DrainCut = 703, "drain_cut", Error,
        ["backend", "in_flight", "limit_ms"],
        "The limit of a drain has passed and work in progress was cut.";
    DrainCancelled = 704, "drain_cancelled", Info,
        ["backend"],
        "An operator ended a drain; new work is taken again.";

    HttpConnectionFailed = 801, "http_connection_failed", Debug,
        ["port", "peer_address", "error"],
        "An HTTP connection broke.";
    AcceptFailed = 802, "accept_failed", Warn,
        ["port", "error"],
        "A port could not take a connection.";
    ConnectionLimitReached = 803, "connection_limit_reached", Warn,
        ["port", "limit"],
        "A port has all the connections it may have.";
    ControlCallRefused = 804, "control_call_refused", Warn,
        ["peer_address", "call", "reason"],
        "A control call was refused.";
    ControlConnectionFailed = 805, "control_connection_failed", Debug,
        ["peer_address", "error"],
        "A control connection broke or went silent.";
    ControlTaskPanicked = 806, "control_task_panicked", Error,
        ["peer_address"],
        "A call or its handler panicked; its connection ended.";

    RelayEnded = 901, "relay_ended", Info,
        ["request", "route", "account", "outcome", "status", "reason",
         "attempts", "changes", "events", "first_ms", "max_gap_ms",
         "elapsed_ms", "configuration", "configuration_age_ms"],
        "A request that was passed to engines has its outcome.";
    RelaySent = 902, "relay_sent", Info,
        ["request", "attempt", "backends", "tokens", "waited_ms", "left_ms",
         "last_event", "cause"],
        "A request was sent to engines.";
    RelayAnswered = 903, "relay_answered", Info,
        ["request", "attempt", "backend", "status", "at", "is_not_run",
         "elapsed_ms"],
        "A backend server refused or failed a request.";
    RelayBroken = 904, "relay_broken", Warn,
        ["request", "attempt", "backend", "error", "suspects", "last_event",
         "gap_ms", "fingerprint", "parts", "begun_ms", "attempt_events"],
        "The answer of a backend server broke off.";
    PathChanged = 905, "path_changed", Info,
        ["request", "without", "backends", "result", "gap_ms"],
        "The first engine of a stream uses other engines from here on.";
    StreamStalled = 906, "stream_stalled", Info,
        ["request", "gap_ms", "expected_ms", "backends"],
        "A stream has paused for longer than its pace explains.";
    BackendSuspected = 907, "backend_suspected", Warn,
        ["backend", "address", "evidence", "error", "quiet_ms"],
        "A backend server seems dead or out of reach and gets no work.";
    BackendCleared = 908, "backend_cleared", Info,
        ["backend", "address", "suspected_ms"],
        "A suspected backend server answers again.";
    BackendListed = 909, "backend_listed", Info,
        ["backend", "address", "started_unix_ms", "state", "layers",
         "row_version"],
        "The list of backend servers has a new or changed entry.";
    BackendGone = 910, "backend_gone", Info,
        ["backend", "address", "row_version", "held_back_ms"],
        "A backend server has left the list.";
    BackendSlow = 911, "backend_slow", Info,
        ["backend", "slowness", "age_ms"],
        "A backend server reported another pace.";
    ConfigurationInForce = 912, "configuration_in_force", Info,
        ["version", "era", "row_version", "findings", "source", "bytes",
         "received_bytes", "fetch_ms", "parse_ms"],
        "A new configuration is in force here.";
    ConfigurationFinding = 913, "configuration_finding", Error,
        ["version", "place", "message"],
        "A part of the configuration is wrong and was left out.";
    FeedLost = 914, "feed_lost", Warn,
        ["table", "error", "confirmed_age_ms"],
        "A feed of the store does not answer.";
    FeedBack = 915, "feed_back", Info,
        ["table", "down_ms", "row_version"],
        "A feed of the store answers again.";
    KeysStale = 916, "keys_stale", Warn,
        ["confirmed_age_ms", "limit_ms"],
        "Whether keys still hold is not known; they are refused until it is.";
    SettingsReloaded = 917, "settings_reloaded", Info,
        ["cause", "findings"],
        "The settings file was read again.";
    PeerFound = 918, "peer_found", Info,
        ["peers", "count", "known"],
        "Other entries tell what they know, or do so after a new start.";
    PeerLost = 919, "peer_lost", Info,
        ["peers", "count", "known"],
        "Other entries are silent and are no longer counted.";
    LinesDropped = 920, "lines_dropped", Warn,
        ["count"],
        "The buffer of the logs was full and lines were dropped.";
    CoverChanged = 921, "cover_changed", Info,
        ["service", "cover"],
        "How many engines hold each layer, by data centre, has changed.";
    PathAwaited = 922, "path_awaited", Info,
        ["request", "account", "tokens", "urgency", "waiting", "waited_ms",
         "result"],
        "A stream waited for a path in the queue of its service.";
    MetricsPortTaken = 923, "metrics_port_taken", Warn,
        ["port", "error"],
        "The metrics can't be had at the port that was asked for.";
    BackendRowUnusable = 924, "backend_row_unusable", Warn,
        ["backend", "row_version", "error"],
        "A row of the list names no backend server; the others hold.";
    RoomRefused = 925, "room_refused", Info,
        ["request", "account", "tokens", "tokens_before", "tokens_per_s",
         "expected_ms", "in_time_ms", "busy_for_ms"],
        "A stream was refused at once: it would have begun too late.";
    PathRefused = 926, "path_refused", Info,
        ["request", "without", "backends", "refused_by", "result", "gap_ms",
         "again_ms"],
        "The first engine of a stream refused to use other engines.";
    FeedSourceChanged = 927, "feed_source_changed", Info,
        ["table", "source", "peer_boot_id", "age_ms", "row_version"],
        "This entry asks another one, or the store itself, for a table.";
    BackendsRead = 928, "backends_read", Info,
        ["row_version", "backends", "new", "draining", "without_layers"],
        "The whole list of backend servers was read.";
    RequestSuspected = 929, "request_suspected", Warn,
        ["request", "fingerprint", "parts", "backend", "begun_ms", "attempt_events",
         "is_in_trial", "crashes"],
        "A backend server crashed under a request that had just begun there.";
    RequestQuarantined = 930, "request_quarantined", Error,
        ["fingerprint", "crashes", "left_ms", "source"],
        "A request that crashes backend servers is refused from here on.";
    RequestCleared = 931, "request_cleared", Info,
        ["request", "fingerprint", "crashes", "cause"],
        "Crashes under a request no longer count.";
    QuarantineRefused = 932, "quarantine_refused", Info,
        ["request", "fingerprint", "part", "left_ms"],
        "A request was refused since it crashes backend servers.";
    TrialBegun = 933, "trial_begun", Info,
        ["request", "fingerprint", "part", "backend", "crashes", "waited_ms"],
        "A suspect runs, apart from other suspects.";
    LimitNamed = 934, "limit_named", Info,
        ["backend", "limit_per_s", "request", "source", "answer_age_ms",
         "sent_4s"],
        "An answer of a backend server named a limit on its requests.";
    LimitEnded = 935, "limit_ended", Info,
        ["backend", "limit_per_s", "request", "source", "named_age_ms",
         "sent_4s"],
        "A backend server no longer names a limit.";
    PermitSought = 936, "permit_sought", Info,
        ["request", "backend", "limit_per_s", "named_age_ms", "issuer",
         "waited_ms", "result"],
        "A request looked for a permit of a backend server with a limit.";
    RestAsked = 937, "rest_asked", Info,
        ["backend", "request", "rest_ms", "left_ms", "answer_age_ms"],
        "A backend server turned a request away and wants nothing for a time.";
    LeavingTold = 938, "leaving_told", Info,
        ["backend", "request", "source", "listed_leaving_ms"],
        "A backend server said in an answer that it leaves.";
    StoreVersionFell = 939, "store_version_fell", Warn,
        ["table", "source", "era", "row_version", "known_era",
         "known_row_version"],
        "A table was read at a lower version than before.";
    ConfigurationNotNewer = 940, "configuration_not_newer", Info,
        ["version", "era", "row_version", "in_force"],
        "A configuration that was read is not newer than the one in force.";
    StoreHistoryReplaced = 941, "store_history_replaced", Warn,
        ["table", "source", "era_before", "row_version_before", "era",
         "row_version", "rows_before", "rows_missing"],
        "The store was restored from an older copy; the table was read anew.";
    BackendRowDeferred = 942, "backend_row_deferred", Info,
        ["backend", "row_version", "era", "wait_ms"],
        "A row is older than what is known of its backend server and waits.";
    ExitCounted = 943, "exit_counted", Info,
        ["request", "backend", "evidence", "lasted_ms", "is_removed",
         "is_replaced", "has_connection_ended", "is_checked", "checked_ms"],
        "A backend server counts as exited for the limit of a request.";
    SharesShort = 944, "shares_short", Info,
        ["service", "fill", "shares", "asked_tokens_per_s",
         "started_tokens_per_s", "capacity_tokens", "accounts", "heard"],
        "Streams of a service are admitted in part: more is asked than fits.";
    ShareRefused = 945, "share_refused", Info,
        ["request", "account", "class", "urgency", "tokens", "share", "fill",
         "account_limit", "shares_age_ms"],
        "A stream was refused at once by the shares in force.";
    BackendsChanged = 946, "backends_changed", Info,
        ["row_version", "rows", "unlogged"],
        "Many rows of the list of backend servers changed in one read.";
    FeedPollFailed = 947, "feed_poll_failed", Warn,
        ["table", "source", "error", "elapsed_ms", "age_ms", "unlogged"],
        "A poll of a table brought nothing.";
    ConfigurationOutdated = 948, "configuration_outdated", Warn,
        ["version", "lacking_ms", "limit_ms", "confirmed_age_ms"],
        "Other entries have a newer configuration; requests are refused until it arrives.";
    ConnectionsLeft = 949, "connections_left", Warn,
        ["count", "limit", "in_flight", "lag_ms", "link_percent"],
        "New connections were closed unread while the entry was overloaded.";
    ResponseCut = 950, "response_cut", Warn,
        ["request", "backend", "error", "held_bytes"],
        "A backend server sent more than a limit on responses allows.";
    EntryRowExpired = 951, "entry_row_expired", Info,
        ["vm", "error"],
        "The row of an entry that no longer renews it was deleted.";
    RequestMemoryFull = 952, "request_memory_full", Warn,
        ["held_bytes", "count"],
        "Requests were refused unread: bodies hold too much memory.";
    RunLost = 953, "run_lost", Info,
        ["request", "fingerprint", "parts", "suspicion", "backend",
         "begun_ms", "attempt_events", "is_in_trial", "conclusion",
         "evidence", "checked_ms"],
        "A backend server ended the connection of a run before its response.";
    SuspectsRead = 954, "suspects_read", Info, ["rows", "unusable"],
        "The store told of requests that crash backend servers.";
    SuspectRowFailed = 955, "suspect_row_failed", Warn,
        ["fingerprint", "error"],
        "The store's row of a request that crashes servers did not change.";
    HedgeEnded = 956, "hedge_ended", Info,
        ["request", "service", "backend", "waited_ms", "usual_ms", "outcome"],
        "A second attempt beside one without an answer ended or was denied.";
}

impl Event {
    /// Number in the catalogue; never changes.
    pub fn number(self) -> u32 {
        self.catalogue_entry().number
    }

    /// Name in the catalogue; never changes.
    pub fn name(self) -> &'static str {
        self.catalogue_entry().name
    }

    /// Severity.
    pub fn level(self) -> log::Level {
        self.catalogue_entry().level
    }

    /// Names of the fields that the event may carry; a field is left out where
    /// its value is not known.
    pub fn fields(self) -> &'static [&'static str] {
        self.catalogue_entry().fields
    }

    /// Message of the log line.
    pub fn description(self) -> &'static str {
        self.catalogue_entry().description
    }
}

/// Logs an event. Both log formats escape control characters in values, so
/// that an event is always a single line.
#[track_caller]
pub fn emit(event: Event, fields: &[(&'static str, &dyn Display)]) {
    let entry = event.catalogue_entry();
    if entry.level > log::max_level() {
        return;
    }
    let mut pairs = Vec::with_capacity(fields.len() + 2);
    pairs.push(("event", Value::from(entry.number)));
    pairs.push(("name", Value::from(entry.name)));
    for (key, value) in fields {
        pairs.push((*key, Value::from_dyn_display(*value)));
    }
    let location = Location::caller();
    let logger = log::logger();
    logger.log(
        &Record::builder()
            .args(format_args!("{}", entry.description))
            .level(entry.level)
            .target(TARGET)
            .file_static(Some(location.file()))
            .line(Some(location.line()))
            .key_values(&pairs)
            .build(),
    );
}
