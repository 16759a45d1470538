//! Whom to ask for permits, and what to grant to whom, at one moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use chestnutreach_membership::issuer::IssuerView;
use chestnutreach_routing::{PermitGrant, PermitRequest};

use super::{State, messages::grant_message, peer_notice};
use crate::{clock::now_ms, cluster::engine::Engine, core::Core};

/// Pause of an entry that was granted nothing, for each entry there is: all
/// together ask some sixty times a second for each server.
const PAUSE_PER_ENTRY_MS: u64 = 15;
/// Longest such pause.
const MAX_PAUSE_MS: u64 = 500;
/// A process younger than this that hears nobody may be one of many.
const MIN_ALONE_UPTIME_MS: u64 = 5_000;
/// Entries assumed by one that hears nobody yet.
const ASSUMED_PEERS: usize = 8;

/// One look, with what is known of the entries then.
pub(super) struct Round<'a> {
    core: &'a Core,
    pub(super) now_ms: u64,
    live: Vec<u64>,
    /// Other entries that run, as far as is known.
    peer_count: usize,
    /// Pause of an entry that was granted nothing.
    pub(super) pause_ms: u64,
}

impl Round<'_> {
    pub(super) fn new(core: &Core) -> Round<'_> {
        let now_ms = now_ms();
        let known = match core.peers.running_count(now_ms) {
            0 if core.age_ms() < MIN_ALONE_UPTIME_MS => ASSUMED_PEERS,
            known => known,
        };
        let pause_ms = PAUSE_PER_ENTRY_MS * (1 + known as u64);
        Round {
            core,
            now_ms,
            live: core.peers.live(now_ms),
            peer_count: known,
            pause_ms: pause_ms.min(MAX_PAUSE_MS),
        }
    }

    fn issuer_view<'v>(
        &'v self,
        choices: &'v BTreeMap<u64, u64>,
    ) -> IssuerView<'v> {
        IssuerView {
            own: self.core.boot_id,
            is_leaving: self.core.stopping_for_ms().is_some(),
            live: &self.live,
            known_count: self.peer_count,
            choices,
        }
    }

    /// Whom this entry asks for permits of a server.
    pub(super) fn choose_issuer(&self, engine: &Engine) -> u64 {
        let none = BTreeMap::new();
        let view = self.issuer_view(&none);
        let duty = u64::from(engine.hash);
        let choose = |silent: &[u64]| view.choose_issuer(duty, silent);
        engine.notices.choose_issuer(choose, self.now_ms)
    }

    /// Answers an entry that asks; one that does not know that the limit has
    /// ended is told so.
    pub(super) fn handle_request(
        &self,
        state: &mut State,
        engine: &Arc<Engine>,
        (from, boot_id): (SocketAddr, u64),
        ask: PermitRequest,
    ) {
        if engine.notices.limit().is_none() {
            let news = peer_notice(engine, self.now_ms);
            let out = state.outbox.entry(from).or_default();
            out.notices.extend(news);
        } else if self.choose_issuer(engine) == self.core.boot_id {
            self.apply_request(state, engine, boot_id, ask);
        }
    }

    /// Takes what an entry wants, and grants what there is.
    pub(super) fn apply_request(
        &self,
        state: &mut State,
        engine: &Engine,
        from: u64,
        ask: PermitRequest,
    ) {
        let issuer = state.issuer_for(engine, self.now_ms);
        issuer.handle_request(from, ask, self.now_ms);
        self.issue(state, engine, Some(from));
    }

    /// Grants what there is of a server's permits, and tells those who got
    /// some and who asked.
    pub(super) fn issue(
        &self,
        state: &mut State,
        engine: &Engine,
        asker: Option<u64>,
    ) {
        let Some(limit) = engine.notices.limit() else { return };
        let choices = state.choices_for(engine.hash);
        let part = self.issuer_view(&choices).share();
        let issuer = state.issuer_for(engine, self.now_ms);
        issuer.refill(limit.per_s * part, self.now_ms);
        let mut told: BTreeSet<u64> =
            issuer.issue(self.now_ms).into_iter().collect();
        told.extend(asker);
        let grants: Vec<(u64, PermitGrant)> =
            told.into_iter().map(|to| (to, issuer.grant_for(to))).collect();
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
