//! Demand rates in the messages between entries.

use chestnutreach_protocol::peers::{AccountDemand, ClassDemand, ServiceUse};
use chestnutreach_routing::{ClassRates, DemandClass, DemandRates};

/// The rates that an entry reported for a service.
pub(crate) fn from_message(reported: &ServiceUse) -> DemandRates {
    let class = |demand: &ClassDemand| {
        let class = DemandClass::try_from(demand.class).ok()?;
        let rates = ClassRates {
            asked: f64::from(demand.asked_tokens_per_s),
            started: f64::from(demand.started_tokens_per_s),
        };
        Some((class, rates))
    };
    let account = |demand: &AccountDemand| {
        (demand.account, f64::from(demand.asked_tokens_per_s))
    };
    DemandRates {
        classes: reported.classes.iter().filter_map(class).collect(),
        accounts: reported.accounts.iter().map(account).collect(),
        ended: f64::from(reported.ended_tokens_per_s),
        held: f64::from(reported.held_token_s_per_s),
    }
}

/// Adds rates to the message about a service.
pub(crate) fn add_to_message(rates: &DemandRates, message: &mut ServiceUse) {
    let class = |(class, rates): (&DemandClass, &ClassRates)| ClassDemand {
        class: (*class).into(),
        asked_tokens_per_s: rates.asked as u32,
        started_tokens_per_s: rates.started as u32,
    };
    let account = |(account, rate): (&u32, &f64)| AccountDemand {
        account: *account,
        asked_tokens_per_s: *rate as u32,
    };
    message.classes = rates.classes.iter().map(class).collect();
    message.accounts = rates.accounts.iter().map(account).collect();
    message.ended_tokens_per_s = rates.ended as u32;
    message.held_token_s_per_s = rates.held as u32;
}
