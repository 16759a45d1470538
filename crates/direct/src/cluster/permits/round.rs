//! One round of choosing the issuer and granting permits.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use chestnutreach_membership::issuer::IssuerView;
use chestnutreach_routing::{PermitGrant, PermitRequest};

use super::{State, messages::grant_message, peer_notice};
use crate::{clock::now_ms, cluster::engine::Engine, core::Core};

/// The pause of an entry that was granted nothing grows with the number of
/// entries, so that all together send about sixty requests a second for each
/// server.
const PAUSE_PER_ENTRY_MS: u64 = 15;
const MAX_PAUSE_MS: u64 = 500;
/// Uptime before which an entry without live peers assumes `ASSUMED_PEERS`
/// others, because it may not have received their messages yet.
const MIN_ALONE_UPTIME_MS: u64 = 5_000;
const ASSUMED_PEERS: usize = 8;

/// A round, with the state of the entries at its start.
pub(super) struct Round<'a> {
    core: &'a Core,
    pub(super) now_ms: u64,
    live: Vec<u64>,
    /// Other entries that run, including those lost recently.
    peer_count: usize,
    /// Pause of an entry that was granted nothing.
    pub(super) pause_ms: u64,
}

impl Round<'_> {
    pub(super) fn new(core: &Core) -> Round<'_> {
        let now_ms = now_ms();
        let peer_count = match core.peers.running_count(now_ms) {
            0 if core.age_ms() < MIN_ALONE_UPTIME_MS => ASSUMED_PEERS,
            peer_count => peer_count,
        };
        let pause_ms = PAUSE_PER_ENTRY_MS * (1 + peer_count as u64);
        Round {
            core,
            now_ms,
            live: core.peers.live(now_ms),
            peer_count,
            pause_ms: pause_ms.min(MAX_PAUSE_MS),
        }
    }

    fn issuer_view<'v>(
        &'v self,
        choices: &'v BTreeMap<u64, u64>,
    ) -> IssuerView<'v> {
        IssuerView {
            own: self.core.boot_id,
            is_leaving: self.core.stop.has_begun(),
            live: &self.live,
            known_count: self.peer_count,
            choices,
        }
    }

    /// Chooses the entry from which this entry requests permits for a server.
    pub(super) fn choose_issuer(&self, engine: &Engine) -> u64 {
        let no_choices = BTreeMap::new();
        let view = self.issuer_view(&no_choices);
        let assignment = u64::from(engine.hash);
        let choose = |unresponsive: &[u64]| {
            view.choose_issuer(assignment, unresponsive)
        };
        engine.notices.choose_issuer(choose, self.now_ms)
    }

    /// Handles a permit request of another entry. If the limit has ended, the
    /// response reports that.
    pub(super) fn handle_request(
        &self,
        state: &mut State,
        engine: &Arc<Engine>,
        (from, boot_id): (SocketAddr, u64),
        request: PermitRequest,
    ) {
        if engine.notices.limit().is_none() {
            let notice = peer_notice(engine, self.now_ms);
            let out = state.outbox.entry(from).or_default();
            out.notices.extend(notice);
        } else if self.choose_issuer(engine) == self.core.boot_id {
            self.apply_request(state, engine, boot_id, request);
        }
    }

    /// Applies a permit request, and grants available permits.
    pub(super) fn apply_request(
        &self,
        state: &mut State,
        engine: &Engine,
        from: u64,
        request: PermitRequest,
    ) {
        let issuer = state.issuer_for(engine, self.now_ms);
        issuer.handle_request(from, request, self.now_ms);
        self.issue(state, engine, Some(from));
    }

    /// Grants a server's available permits, and sends the totals to the
    /// entries that received some and to the requester.
    pub(super) fn issue(
        &self,
        state: &mut State,
        engine: &Engine,
        requester: Option<u64>,
    ) {
        let Some(limit) = engine.notices.limit() else { return };
        let choices = state.choices_for(engine.hash);
        let share = self.issuer_view(&choices).share();
        let issuer = state.issuer_for(engine, self.now_ms);
        issuer.refill(limit.per_s * share, self.now_ms);
        let mut recipients: BTreeSet<u64> =
            issuer.issue(self.now_ms).into_iter().collect();
        recipients.extend(requester);
        let grants: Vec<(u64, PermitGrant)> = recipients
            .into_iter()
            .map(|to| (to, issuer.grant_for(to)))
            .collect();
        for (to, grant) in grants {
            self.deliver_grant(state, engine, to, grant);
        }
    }

    fn deliver_grant(
        &self,
        state: &mut State,
        engine: &Engine,
        to: u64,
        grant: PermitGrant,
    ) {
        if to == self.core.boot_id {
            let notices = &engine.notices;
            notices.apply_grant(to, grant, self.pause_ms, self.now_ms);
        } else if let Some(address) = self.core.peers.address_of(to) {
            let out = state.outbox.entry(address).or_default();
            out.permit_grants.push(grant_message(engine.hash, grant));
        }
    }
}
