//! Admission: checks the route, access key and deadline of a request.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering::Relaxed},
};

use chestnutreach_adapter::caller;
use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::{Attempts, CountedBackends, DemandClass};
use chestnutreach_site::{Configuration, Route, Service};

use crate::{
    cluster::feed_follower::MAX_AGE_IN_CONTACT_MS, core::Core,
    request::response::ErrorReason,
};

/// Timeout of a request that states none; all callers of the platform do.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Highest urgency value that engines accept; 0 is the most urgent.
const LEAST_URGENT: u8 = 9;

/// A request that may be sent to a backend server.
pub(crate) struct AdmittedRequest {
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) account: Option<String>,
    /// Urgency for engines.
    pub(crate) urgency: u8,
    /// Class of the request where requests compete for capacity.
    pub(crate) class: DemandClass,
    pub(crate) id: Option<String>,
    /// When the whole request was received.
    pub(crate) received_ms: u64,
    /// The earlier of the route's timeout and the caller's deadline.
    pub(crate) deadline_ms: u64,
    /// When the caller stops waiting.
    caller_deadline_ms: u64,
    pub(crate) configuration: u64,
    pub(crate) configuration_age_ms: u64,
    /// Whether the request was sent to a backend server.
    is_sent: AtomicBool,
}

impl AdmittedRequest {
    /// Time left until the deadline.
    pub(crate) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Time for which the caller still waits.
    pub(crate) fn caller_remaining_ms(&self, now_ms: u64) -> u64 {
        self.caller_deadline_ms.saturating_sub(now_ms)
    }

    /// A new counter of this request's attempts at backend servers.
    pub(crate) fn attempts(&self, counted: CountedBackends) -> Attempts {
        let max_attempts = self.route.max_attempts as usize;
        Attempts::new(self.route.kind.allows_retry(), max_attempts, counted)
    }

    /// Records that the request is sent to a backend server.
    pub(crate) fn record_sent(&self) {
        self.is_sent.store(true, Relaxed);
    }

    /// Whether the request was sent to a backend server.
    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent.load(Relaxed)
    }

    pub(crate) fn id_text(&self) -> &str {
        self.id.as_deref().unwrap_or("")
    }
}

/// A request that may not be sent.
pub(crate) struct AdmissionError {
    pub(crate) reason: ErrorReason,
    /// Version of the configuration that was checked; 0 for none.
    pub(crate) configuration: u64,
}

/// Checks a request against the configuration in force.
pub(crate) fn admit(
    core: &Core,
    request: &RelayRequest,
    received_ms: u64,
) -> Result<AdmittedRequest, AdmissionError> {
    let Some(configuration) = core.configuration() else {
        let reason = ErrorReason::NoConfiguration;
        return Err(AdmissionError { reason, configuration: 0 });
    };
    let admitted = match core.is_outdated() {
        true => Err(ErrorReason::ConfigurationStale),
        false => admit_with(core, &configuration, request, received_ms),
    };
    admitted.map_err(|reason| AdmissionError {
        reason,
        configuration: configuration.version,
    })
}

fn admit_with(
    core: &Core,
    configuration: &Arc<Configuration>,
    request: &RelayRequest,
    received_ms: u64,
) -> Result<AdmittedRequest, ErrorReason> {
    let host = request.header("host").unwrap_or_default();
    let route = configuration
        .route(host, request.path())
        .ok_or_else(|| denial(core, ErrorReason::NoRoute))?
        .clone();
    let account = account(core, configuration, &route, request)?;
    let service = choose_service(configuration, &route)?;
    core.record_request(&service.name);
    let caller_deadline_ms =
        received_ms.saturating_add(caller_timeout_ms(request));
    let timeout_ms = received_ms + route.timeout_ms;
    let account_priority = account.as_ref().and_then(|a| a.1);
    let urgency = account_priority.unwrap_or(route.priority).min(LEAST_URGENT);
    Ok(AdmittedRequest {
        urgency,
        class: demand_class(urgency, &route),
        account: account.map(|a| a.0),
        id: request.header(caller::REQUEST_ID).map(str::to_owned),
        received_ms,
        deadline_ms: caller_deadline_ms.min(timeout_ms),
        caller_deadline_ms,
        configuration: configuration.version,
        configuration_age_ms: core.confirmed_age_ms(),
        is_sent: AtomicBool::new(false),
        route,
        service,
    })
}

/// Class of a request where requests compete for capacity. The priority of the
/// account goes first; among accounts of one priority, that of the route.
fn demand_class(urgency: u8, route: &Route) -> DemandClass {
    urgency * (LEAST_URGENT + 1) + route.priority.min(LEAST_URGENT)
}

/// Time for which the caller waits for the response.
pub(crate) fn caller_timeout_ms(request: &RelayRequest) -> u64 {
    request
        .header(caller::DEADLINE_MS)
        .and_then(|value| value.trim().parse::<f64>().ok())
        .map_or(DEFAULT_TIMEOUT_MS, |ms| ms.max(0.0) as u64)
}

/// Name and priority of the client account.
fn account(
    core: &Core,
    configuration: &Configuration,
    route: &Route,
    request: &RelayRequest,
) -> Result<Option<(String, Option<u8>)>, ErrorReason> {
    let Some(accounts) = &configuration.accounts else {
        return Ok(None);
    };
    let key =
        request.header(caller::AUTHORIZATION).and_then(caller::bearer_token);
    let found = key.and_then(|key| accounts.get(key));
    if !core.are_keys_fresh() && !route.is_public {
        return Err(ErrorReason::KeysStale);
    }
    match found {
        Some(account) => Ok(Some((account.name.clone(), account.priority))),
        None if route.is_public => Ok(None),
        None => Err(denial(core, ErrorReason::NoKey)),
    }
}

/// Reason for a request that the configuration in force does not allow. What
/// is missing may have been added since the store last confirmed it.
fn denial(core: &Core, reason: ErrorReason) -> ErrorReason {
    let apply_ms = core.settings.bounds.config_apply_ms;
    let limit_ms = apply_ms.max(MAX_AGE_IN_CONTACT_MS);
    match core.confirmed_age_ms() < limit_ms {
        true => reason,
        false => ErrorReason::ConfigurationStale,
    }
}

/// Chooses a service of the route at random by weight.
fn choose_service(
    configuration: &Arc<Configuration>,
    route: &Route,
) -> Result<Service, ErrorReason> {
    let total: f64 = route.shares.iter().map(|s| s.weight.max(0.0)).sum();
    let mut at = fastrand::f64() * total;
    let mut chosen = &route.shares[0];
    for share in &route.shares {
        if share.weight <= 0.0 {
            continue;
        }
        chosen = share;
        at -= share.weight;
        if at < 0.0 {
            break;
        }
    }
    let service = configuration.services.get(&chosen.service);
    service.cloned().ok_or(ErrorReason::NoBackend)
}
