//! The language service of an example deployment, as the simulation uses it.

use std::{collections::BTreeMap, fmt};

use anyhow::{Context, Result, anyhow};
use chestnutreach_config::{
    Manifest,
    manifest::{BackendServer, NetworkPath, ServiceKind},
};
use chestnutreach_routing::{BackendSpec, Fleet, Network};

use crate::{link::Links, request_kind::Sector};

const KAOLACK: &str = include_str!("../../../examples/kaolack.ini");
const SOFIA: &str = include_str!("../../../examples/sofia.ini");

/// One of the example deployments.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Site {
    /// Weighted towards throughput.
    Kaolack,
    /// Weighted towards recovery.
    Sofia,
}

impl Site {
    /// Every deployment, in the order of reports.
    pub const ALL: [Site; 2] = [Site::Kaolack, Site::Sofia];

    /// Name in arguments and reports.
    pub fn name(self) -> &'static str {
        match self {
            Site::Kaolack => "kaolack",
            Site::Sofia => "sofia",
        }
    }

    fn manifest_text(self) -> &'static str {
        match self {
            Site::Kaolack => KAOLACK,
            Site::Sofia => SOFIA,
        }
    }

    fn sector(self) -> Sector {
        match self {
            Site::Kaolack => Sector::Lending,
            Site::Sofia => Sector::Pipeline,
        }
    }
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A client account that uses the language service.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) name: String,
    pub(crate) weight: u32,
    pub(crate) class: String,
}

/// The language service of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub(crate) sector: Sector,
    pub(crate) fleet: Fleet,
    pub(crate) links: Links,
    pub(crate) accounts: Vec<Account>,
    pub(crate) recovery_weight_percent: u32,
}

impl Deployment {
    /// Parses the example manifest of the deployment.
    pub fn try_new(site: Site) -> Result<Deployment> {
        let manifest = Manifest::try_parse(site.name(), site.manifest_text())
            .map_err(|findings| anyhow!("{findings}"))?;
        let (service, layer_count) = language_service(&manifest)
            .with_context(|| format!("{site} has no language service"))?;
        let data_centre_indices: BTreeMap<&str, u32> = manifest
            .data_centres
            .keys()
            .map(String::as_str)
            .zip(0..)
            .collect();
        let backends = manifest
            .backend_servers
            .iter()
            .filter(|(_, server)| server.service == service)
            .map(|(name, server)| {
                spec(&manifest, &data_centre_indices, name, server)
            })
            .collect();
        let paths: Vec<(u32, u32, NetworkPath)> = manifest
            .paths
            .iter()
            .map(|((a, b), path)| {
                (
                    data_centre_indices[a.as_str()],
                    data_centre_indices[b.as_str()],
                    *path,
                )
            })
            .collect();
        let mut network = Network::new(data_centre_indices.len() as u32);
        for &(a, b, path) in &paths {
            network.set_path(a, b, path.latency_us, path.bandwidth_mbit_per_s);
        }
        let accounts = manifest
            .accounts
            .iter()
            .filter(|(_, account)| account.services.contains(service))
            .map(|(name, account)| Account {
                name: name.clone(),
                weight: account.weight,
                class: account.class.clone(),
            })
            .collect();
        Ok(Deployment {
            sector: site.sector(),
            fleet: Fleet::try_new(layer_count, backends, network)?,
            links: Links::new(data_centre_indices.len(), &paths),
            accounts,
            recovery_weight_percent: manifest
                .deployment
                .recovery_weight_percent,
        })
    }
}

fn language_service(manifest: &Manifest) -> Option<(&str, u32)> {
    manifest.services.iter().find_map(|(name, service)| match service.kind {
        ServiceKind::Language { layer_count, .. } => {
            Some((name.as_str(), layer_count))
        }
        ServiceKind::Plain { .. } => None,
    })
}

fn spec(
    manifest: &Manifest,
    data_centre_indices: &BTreeMap<&str, u32>,
    name: &str,
    server: &BackendServer,
) -> BackendSpec {
    let kind = server.accelerator.as_ref();
    let kind = kind.and_then(|kind| manifest.accelerators.get(kind));
    BackendSpec {
        name: name.to_owned(),
        data_centre: data_centre_indices[server.data_centre.as_str()],
        first_layer: server.first_layer,
        end_layer: server.end_layer,
        price_micros_per_hour: kind.map_or(0, |k| k.price_micros_per_hour),
        prompt_tokens_per_s: kind.map_or(0, |k| k.prompt_tokens_per_s),
        output_tokens_per_s: kind.map_or(0, |k| k.output_tokens_per_s),
        max_running: server.max_running,
        cache_tokens: server.cache_tokens,
    }
}
