//! Route, key and time of a request.

use std::sync::Arc;

use chestnutreach_adapter::clients;
use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::{Attempts, CountedBackends};
use chestnutreach_site::{Configuration, Route, Service};

use crate::{core::Core, request::answer::Reason};

/// Time of a client that states none: the platform's clients all do.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Highest value of the urgency that engines take.
const LEAST_URGENT: u8 = 9;

/// A request that may be sent to a backend server.
pub(crate) struct Admitted {
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) account: Option<String>,
    pub(crate) urgency: u8,
    pub(crate) id: Option<String>,
    /// When it had arrived.
    pub(crate) received_ms: u64,
    /// When the route's timeout, or the client's time, is over.
    pub(crate) end_ms: u64,
    pub(crate) configuration: u64,
    pub(crate) configuration_age_ms: u64,
}

impl Admitted {
    /// Time that a backend server is given.
    pub(crate) fn left_ms(&self, now_ms: u64) -> u64 {
        self.end_ms.saturating_sub(now_ms)
    }

    /// Its tries at backend servers, none of them made.
    pub(crate) fn attempts(&self, counted: CountedBackends) -> Attempts {
        let most = self.route.max_attempts as usize;
        Attempts::new(self.route.kind.allows_retry(), most, counted)
    }

    pub(crate) fn id_text(&self) -> &str {
        self.id.as_deref().unwrap_or("")
    }
}

/// A request that may not be sent.
pub(crate) struct NotAdmitted {
    pub(crate) reason: Reason,
    /// The configuration that says so; 0 where none was asked.
    pub(crate) configuration: u64,
}

/// Checks a request that came then against the configuration in force.
pub(crate) fn admit(
    core: &Core,
    request: &RelayRequest,
    received_ms: u64,
) -> Result<Admitted, NotAdmitted> {
    let Some(configuration) = core.configuration() else {
        let reason = Reason::NoConfiguration;
        return Err(NotAdmitted { reason, configuration: 0 });
    };
    let admitted = admit_by(core, &configuration, request, received_ms);
    admitted.map_err(|reason| NotAdmitted {
        reason,
        configuration: configuration.version,
    })
}

fn admit_by(
    core: &Core,
    configuration: &Arc<Configuration>,
    request: &RelayRequest,
    received_ms: u64,
) -> Result<Admitted, Reason> {
    let host = request.header("host").unwrap_or_default();
    let route = configuration
        .route(host, request.path())
        .ok_or(Reason::NoRoute)?
        .clone();
    let account = account(core, configuration, &route, request)?;
    let service = service(configuration, &route)?;
    core.note_request(&service.name);
    let deadline_ms = received_ms.saturating_add(client_time_ms(request));
    let timeout_ms = received_ms + route.timeout_ms;
    let rank = account.as_ref().and_then(|a| a.1);
    Ok(Admitted {
        urgency: rank.unwrap_or(route.priority).min(LEAST_URGENT),
        account: account.map(|a| a.0),
        id: request.header(clients::REQUEST_ID).map(str::to_owned),
        received_ms,
        end_ms: deadline_ms.min(timeout_ms),
        configuration: configuration.version,
        configuration_age_ms: core.confirmed_age_ms(),
        route,
        service,
    })
}

/// Time for which its client waits.
pub(crate) fn client_time_ms(request: &RelayRequest) -> u64 {
    request
        .header(clients::DEADLINE_MS)
        .and_then(|value| value.trim().parse::<f64>().ok())
        .map_or(DEFAULT_DEADLINE_MS, |ms| ms.max(0.0) as u64)
}

/// Name and rank of the client account.
fn account(
    core: &Core,
    configuration: &Configuration,
    route: &Route,
    request: &RelayRequest,
) -> Result<Option<(String, Option<u8>)>, Reason> {
    let Some(accounts) = &configuration.accounts else {
        return Ok(None);
    };
    let key =
        request.header(clients::AUTHORIZATION).and_then(clients::bearer_token);
    let found = key.and_then(|key| accounts.get(key));
    if !core.are_keys_fresh() && !route.is_public {
        return Err(Reason::KeysStale);
    }
    match found {
        Some(account) => Ok(Some((account.name.clone(), account.priority))),
        None if route.is_public => Ok(None),
        None => Err(Reason::NoKey),
    }
}

/// A service of the route, by weight.
fn service(
    configuration: &Arc<Configuration>,
    route: &Route,
) -> Result<Service, Reason> {
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
    service.cloned().ok_or(Reason::NoBackend)
}
