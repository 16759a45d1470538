//! Validation of client accounts.
//!
//! Capacity is shared by weight. A guaranteed share has no mechanism of its
//! own: the weights must yield the share, which is validated here.

use super::{Checker, FirstUsers};
use crate::manifest::{Account, schema::*};

/// Total capacity of a service.
const FULL_CAPACITY_PERCENT: u64 = 100;

impl Checker<'_> {
    pub(super) fn check_accounts(&mut self) {
        self.check_account_services();
        self.check_key_digests();
        for service in self.manifest.services.keys() {
            self.check_shares(service);
        }
    }

    fn check_account_services(&mut self) {
        for (name, account) in &self.manifest.accounts {
            let heading = format!("{ACCOUNT_KEYWORD} {name}");
            for service in &account.services {
                let key = SERVICES.key;
                self.check_reference(&heading, key, SERVICE_KEYWORD, service);
            }
        }
    }

    fn check_key_digests(&mut self) {
        let mut users = FirstUsers::default();
        for (name, account) in &self.manifest.accounts {
            for digest in &account.key_digests {
                if let Some(other) = users.insert(digest, name) {
                    let heading = format!("{ACCOUNT_KEYWORD} {name}");
                    let message =
                        format!("{digest} is also a key of [account {other}]");
                    self.report(&heading, KEY_DIGESTS.key, message);
                }
            }
        }
    }

    fn check_shares(&mut self, service: &str) {
        let accounts = &self.manifest.accounts;
        let users: Vec<(&String, &Account)> = accounts
            .iter()
            .filter(|(_, account)| account.services.contains(service))
            .collect();
        if !self.check_guaranteed_sum(service, &users) {
            return;
        }
        let weights = users.iter().map(|(_, user)| u64::from(user.weight));
        let total_weight: u64 = weights.sum();
        for (name, account) in users {
            self.check_share(service, name, account, total_weight);
        }
    }

    /// Whether the guaranteed shares add up to at most the total capacity.
    fn check_guaranteed_sum(
        &mut self,
        service: &str,
        users: &[(&String, &Account)],
    ) -> bool {
        let shares =
            users.iter().map(|(_, user)| u64::from(user.guaranteed_percent));
        let sum: u64 = shares.sum();
        if sum > FULL_CAPACITY_PERCENT {
            let message = format!(
                "guaranteed-percent of its accounts adds up to {sum} %; \
                 it must be at most {FULL_CAPACITY_PERCENT} %",
            );
            self.report(&format!("{SERVICE_KEYWORD} {service}"), "", message);
        }
        sum <= FULL_CAPACITY_PERCENT
    }

    fn check_share(
        &mut self,
        service: &str,
        name: &str,
        account: &Account,
        total_weight: u64,
    ) {
        let weight = u64::from(account.weight);
        let guaranteed_percent = u64::from(account.guaranteed_percent);
        if weight * FULL_CAPACITY_PERCENT >= guaranteed_percent * total_weight
        {
            return;
        }
        let weighted_percent = weight * FULL_CAPACITY_PERCENT / total_weight;
        let message = format!(
            "{guaranteed_percent} % is more than the {weighted_percent} % of \
             {service} that weight {weight} of {total_weight} gives",
        );
        let heading = format!("{ACCOUNT_KEYWORD} {name}");
        self.report(&heading, GUARANTEED_PERCENT.key, message);
    }
}
