//! The shares in force, in logs and for operators.

use std::sync::Arc;

use chestnutreach_routing::{DemandClass, LATE_CLASS};
use chestnutreach_telemetry::{Event, emit};

use super::{CapacityControl, InForce};
use crate::{clock::now_ms, core::Core};

impl CapacityControl {
    /// The shares in force, for operators.
    pub(crate) fn status(&self, core: &Core) -> Vec<serde_json::Value> {
        let now_ms = now_ms();
        let heard = core.peers.live(now_ms).len();
        let views = self.by_service.map_each(|control| {
            (control.in_force.clone(), control.short_since_ms)
        });
        let view = |(service, (in_force, since_ms)): (
            String,
            (Option<Arc<InForce>>, Option<u64>),
        )| {
            let in_force = in_force?;
            let classes = in_force.shares.by_class();
            let classes: Vec<_> = classes
                .map(|(class, share)| class_status(&in_force, class, share))
                .collect();
            Some(serde_json::json!({
                "service": service,
                "fill": rounded(in_force.shares.fill()),
                "age_ms": now_ms.saturating_sub(in_force.at_ms),
                "heard": heard,
                "short_ms": since_ms.map(|ms| now_ms.saturating_sub(ms)),
                "capacity_tokens": in_force.capacity_tokens as u64,
                "accounts": in_force.demand.accounts.len(),
                "classes": classes,
            }))
        };
        views.into_iter().filter_map(view).collect()
    }
}

/// A class with its share, for operators.
fn class_status(
    in_force: &InForce,
    class: DemandClass,
    share: f64,
) -> serde_json::Value {
    let rates = in_force.demand.classes.get(&class);
    let rates = rates.copied().unwrap_or_default();
    let limit = in_force.shares.account_limit(class);
    serde_json::json!({
        "class": class_name(class),
        "share": rounded(share),
        "asked_tokens_per_s": rates.asked as u64,
        "started_tokens_per_s": rates.started as u64,
        "account_limit": limit.map(|limit| limit as u64),
    })
}

/// Rounds to thousandths, for operators.
fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// Name of a class in logs.
pub(crate) fn class_name(class: DemandClass) -> String {
    match class {
        LATE_CLASS => "late".to_owned(),
        class => class.to_string(),
    }
}

/// Logs that classes are admitted in part.
pub(super) fn log_shares(core: &Core, service: &str, in_force: &InForce) {
    let total = in_force.demand.total();
    emit(
        Event::SharesShort,
        &[
            ("service", &service),
            ("fill", &format!("{:.3}", in_force.shares.fill())),
            ("shares", &format_shares(in_force)),
            ("asked_tokens_per_s", &(total.asked as u64)),
            ("started_tokens_per_s", &(total.started as u64)),
            ("capacity_tokens", &(in_force.capacity_tokens as u64)),
            ("accounts", &in_force.demand.accounts.len()),
            ("heard", &core.peers.live(now_ms()).len()),
        ],
    );
}

/// Formats the share and the demand of each class as `CLASS=SHARE of RATE`.
fn format_shares(in_force: &InForce) -> String {
    let share = |(class, share): (DemandClass, f64)| {
        let rates = in_force.demand.classes.get(&class);
        let asked = rates.map_or(0.0, |rates| rates.asked);
        format!("{}={share:.2} of {asked:.0}", class_name(class))
    };
    let shares: Vec<String> = in_force.shares.by_class().map(share).collect();
    shares.join(", ")
}
