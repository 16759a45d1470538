//! Target backend server of a request, and links to its stages.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use chestnutreach_protocol::{
    Link,
    wire::{RefusalReason, Stage},
};

use crate::{
    backend::{Backend, PROBE_INTERVAL},
    node::Shared,
};

/// The stage that a request asks for, and its client account.
pub(crate) struct Target<'a> {
    pub(crate) stage: &'a Stage,
    pub(crate) service: &'a str,
    pub(crate) account: &'a str,
}

impl Shared {
    /// Returns the target backend server of a request if the request may run
    /// there.
    pub(crate) fn find_target(
        &self,
        target: &Target<'_>,
    ) -> Result<Arc<Backend>, RefusalReason> {
        let stage = target.stage;
        let boot_id = self.links().identity().boot_id;
        if stage.side_boot_id != 0 && stage.side_boot_id != boot_id {
            return Err(RefusalReason::WrongTarget);
        }
        let backend = self.backends.get(&stage.backend);
        let backend = backend.ok_or(RefusalReason::WrongTarget)?;
        let assignment =
            backend.assignment().ok_or(RefusalReason::UnknownService)?;
        if assignment.service != target.service || !self.may_use(target) {
            return Err(RefusalReason::UnknownService);
        }
        let is_range = assignment.first_layer == stage.first_layer
            && assignment.end_layer == stage.end_layer;
        if !is_range {
            return Err(RefusalReason::WrongTarget);
        }
        let is_draining = self.is_draining.load(Ordering::Acquire);
        if is_draining || backend.is_draining() {
            return Err(RefusalReason::Leaving);
        }
        if !backend.is_healthy() {
            return Err(RefusalReason::BackendDown);
        }
        Ok(backend.clone())
    }

    fn may_use(&self, target: &Target<'_>) -> bool {
        let permissions = self.permissions.load();
        let services = permissions.get(target.account);
        services.is_some_and(|s| s.contains(target.service))
    }

    /// Time after which to retry a refusal that does not come from a queue.
    pub(crate) fn retry_after_ms(
        &self,
        stage: &Stage,
        reason: RefusalReason,
    ) -> u64 {
        match reason {
            // The times of the next health check and of the next poll of the
            // VM list.
            RefusalReason::BackendDown => {
                let backend = self.backends.get(&stage.backend);
                let cooldown =
                    backend.map(|backend| backend.cooldown.remaining());
                let cooldown_ms =
                    cooldown.unwrap_or_default().as_millis() as u64;
                let probe_ms = PROBE_INTERVAL.as_millis() as u64;
                cooldown_ms + probe_ms + fastrand::u64(0..=2 * probe_ms)
            }
            RefusalReason::Leaving => {
                self.settings.node.platform.vm_list_poll_ms
            }
            _ => 0,
        }
    }

    /// Returns the links to stages if all of them are open.
    pub(crate) fn existing_links(
        &self,
        stages: &[Stage],
    ) -> Option<Vec<Link>> {
        let links = self.links();
        stages
            .iter()
            .map(|s| links.existing(s.side_address.parse().ok()?))
            .collect()
    }

    /// Returns links to stages and connects those that are not open.
    ///
    /// # Errors
    ///
    /// Returns the name of the first backend server whose side process is
    /// unreachable.
    pub(crate) async fn connect_links(
        &self,
        stages: &[Stage],
    ) -> Result<Vec<Link>, String> {
        let mut links = Vec::with_capacity(stages.len());
        for stage in stages {
            let unreachable = || stage.backend.clone();
            let address: SocketAddr =
                stage.side_address.parse().map_err(|_| unreachable())?;
            let link = self.links().connect(address).await;
            links.push(link.map_err(|_| unreachable())?);
        }
        Ok(links)
    }
}
