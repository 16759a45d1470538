//! Validation of backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{Checker, FirstUsers};
use crate::manifest::{BackendServer, ServiceKind, layer_coverage, schema::*};

impl Checker<'_> {
    pub(super) fn check_servers(&mut self) {
        for (name, server) in &self.manifest.backend_servers {
            let heading = heading(name);
            self.check_server_references(&heading, server);
            self.check_layer_range(&heading, server);
        }
        self.check_side_addresses();
        self.check_vms();
    }

    fn check_server_references(
        &mut self,
        heading: &str,
        server: &BackendServer,
    ) {
        let key = BACKEND_SERVICE.key;
        self.check_reference(heading, key, SERVICE_KEYWORD, &server.service);
        let key = BACKEND_DATA_CENTRE.key;
        let keyword = DATA_CENTRE_KEYWORD;
        self.check_reference(heading, key, keyword, &server.data_centre);
        if let Some(accelerator) = &server.accelerator {
            let key = BACKEND_ACCELERATOR.key;
            self.check_reference(
                heading,
                key,
                ACCELERATOR_KEYWORD,
                accelerator,
            );
        }
    }

    fn check_layer_range(&mut self, heading: &str, server: &BackendServer) {
        let service = self.manifest.services.get(&server.service);
        let Some(ServiceKind::Language {
            layer_count,
            max_context_tokens,
            ..
        }) = service.map(|service| &service.kind)
        else {
            return;
        };
        let (first, end) = (server.first_layer, server.end_layer);
        if first >= end {
            let message = format!("the layer range {first}..{end} is empty");
            self.report(heading, END_LAYER.key, message);
        }
        if end > *layer_count {
            let message = format!(
                "the layer range {first}..{end} exceeds the layers of the \
                 model, 0..{layer_count}",
            );
            self.report(heading, END_LAYER.key, message);
        }
        let cache_tokens = server.cache_tokens;
        if cache_tokens < u64::from(*max_context_tokens) {
            let message = format!(
                "{cache_tokens} tokens cannot hold a request of \
                 max-context-tokens, {max_context_tokens} tokens",
            );
            self.report(heading, CACHE_TOKENS.key, message);
        }
    }

    /// A side process may serve several backend servers, but runs on one VM.
    fn check_side_addresses(&mut self) {
        let mut first: BTreeMap<SocketAddr, (&str, &str)> = BTreeMap::new();
        for (name, server) in &self.manifest.backend_servers {
            let address = server.side_address;
            let (other, vm) =
                *first.entry(address).or_insert((name, &server.vm));
            if vm != server.vm {
                let message = format!(
                    "{address} is on the VM {} here and on {vm} in \
                     [backend-server {other}]",
                    server.vm,
                );
                self.report(&heading(name), SIDE_ADDRESS.key, message);
            }
        }
    }

    fn check_vms(&mut self) {
        let mut data_centres = FirstUsers::default();
        for (name, server) in &self.manifest.backend_servers {
            let other = data_centres.insert(&server.vm, &server.data_centre);
            if let Some(other) = other {
                let message = format!(
                    "the VM {} is in {} here and elsewhere in {other}",
                    server.vm, server.data_centre,
                );
                self.report(&heading(name), BACKEND_DATA_CENTRE.key, message);
            }
        }
    }

    pub(super) fn check_coverage(&mut self) {
        let servers = &self.manifest.backend_servers;
        if !self.all_were_read(BACKEND_SERVER_KEYWORD, servers.len()) {
            return;
        }
        for (name, service) in &self.manifest.services {
            match &service.kind {
                ServiceKind::Language { layer_count, .. } => {
                    self.check_layer_coverage(name, *layer_count);
                }
                ServiceKind::Plain { .. } => self.check_is_served(name),
            }
        }
    }

    fn check_layer_coverage(&mut self, service: &str, layer_count: u32) {
        let servers = self.manifest.backend_servers.values();
        let ranges: BTreeSet<(u32, u32)> = servers
            .filter(|server| server.service == service)
            .map(|server| (server.first_layer, server.end_layer))
            .filter(|(first, end)| first < end && *end <= layer_count)
            .collect();
        for error in layer_coverage::coverage_errors(&ranges, layer_count) {
            let heading = format!("{SERVICE_KEYWORD} {service}");
            self.report(&heading, "", error.to_string());
        }
    }

    fn check_is_served(&mut self, service: &str) {
        let mut servers = self.manifest.backend_servers.values();
        if !servers.any(|server| server.service == service) {
            let message = "no backend server provides this service".to_owned();
            self.report(&format!("{SERVICE_KEYWORD} {service}"), "", message);
        }
    }
}

fn heading(name: &str) -> String {
    format!("{BACKEND_SERVER_KEYWORD} {name}")
}
