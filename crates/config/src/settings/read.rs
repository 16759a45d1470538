//! Parser of the settings of a daemon, according to its role.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    BackendSettings, DaemonSettings, NodeSettings,
    schema::*,
    sections::{entry, links, log, node, platform, side},
};
use crate::{
    document::IniDocument,
    fields::Field,
    findings::Findings,
    section_index::{SectionIndex, SectionReader},
};

/// Role of a daemon.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Role {
    Entry,
    Side,
}

/// Parses and validates `text`.
pub(super) fn parse_daemon(
    file: &str,
    text: &str,
) -> Result<DaemonSettings, Findings> {
    let mut findings = Findings::new();
    let document = IniDocument::parse(file, text, &mut findings);
    let index = SectionIndex::new(file, &document, SECTIONS, &mut findings);
    let mut reader = DaemonReader { index: &index, findings: &mut findings };
    let settings = reader.read();
    findings.sort();
    match settings {
        Some(settings) => findings.into_result(settings),
        None => Err(findings),
    }
}

struct DaemonReader<'a> {
    index: &'a SectionIndex<'a>,
    findings: &'a mut Findings,
}

impl DaemonReader<'_> {
    fn read(&mut self) -> Option<DaemonSettings> {
        let log = log(&mut self.section(LOG_KEYWORD, LOG));
        let links = links(&mut self.section(LINKS_KEYWORD, LINKS));
        let platform = platform(&mut self.section(PLATFORM_KEYWORD, PLATFORM));
        let mut reader = self.section(NODE_KEYWORD, NODE);
        let role = reader.choice(&ROLE, parse_role);
        let node = node(&mut reader, log, links, platform);
        let settings = match role {
            Some(Role::Entry) => self.entry(node),
            Some(Role::Side) => self.side(node),
            None => self.check_without_role(),
        };
        self.check_addresses();
        settings
    }

    fn section<'b>(
        &'b mut self,
        heading: &'b str,
        fields: &'static [Field],
    ) -> SectionReader<'b> {
        self.index.reader(heading, &[fields], self.findings)
    }

    fn entry(&mut self, node: Option<NodeSettings>) -> Option<DaemonSettings> {
        self.reject_section(SIDE_KEYWORD, "entry");
        for name in self.index.names(BACKEND_SERVER_KEYWORD) {
            self.reject_section(&backend_heading(name), "entry");
        }
        let entry = entry(&mut self.section(ENTRY_KEYWORD, ENTRY), node);
        entry.map(DaemonSettings::Entry)
    }

    fn side(&mut self, node: Option<NodeSettings>) -> Option<DaemonSettings> {
        self.reject_section(ENTRY_KEYWORD, "side");
        let backends = self.backends();
        let side = side(&mut self.section(SIDE_KEYWORD, SIDE), node, backends);
        side.map(DaemonSettings::Side)
    }

    /// Validates the sections that are present if the role is unknown.
    fn check_without_role(&mut self) -> Option<DaemonSettings> {
        if self.index.contains(ENTRY_KEYWORD) {
            entry(&mut self.section(ENTRY_KEYWORD, ENTRY), None);
        }
        if self.index.contains(SIDE_KEYWORD) {
            side(&mut self.section(SIDE_KEYWORD, SIDE), None, None);
        }
        for name in self.index.names(BACKEND_SERVER_KEYWORD) {
            self.backend(name);
        }
        None
    }

    fn reject_section(&mut self, heading: &str, role: &str) {
        if self.index.contains(heading) {
            let message = format!("section does not apply to the role {role}");
            let finding = self.index.location(heading).finding("", message);
            self.findings.push(finding);
        }
    }

    fn backends(&mut self) -> Option<Vec<BackendSettings>> {
        let names = self.index.names(BACKEND_SERVER_KEYWORD);
        if names.is_empty() {
            let message = "missing section; the role side needs at least one";
            let location = self.index.location("backend-server NAME");
            self.findings.push(location.finding("", message.to_owned()));
        }
        let backends: Vec<Option<BackendSettings>> =
            names.into_iter().map(|name| self.backend(name)).collect();
        backends.into_iter().collect()
    }

    fn backend(&mut self, name: &str) -> Option<BackendSettings> {
        let heading = backend_heading(name);
        let mut reader = self.section(&heading, BACKEND_SERVER);
        let address = reader.address(&BACKEND_ADDRESS)?;
        Some(BackendSettings { name: name.to_owned(), address })
    }

    /// Reports a local address that is used twice. The addresses are parsed
    /// again from the index, so that an invalid address does not hide a
    /// duplicate.
    fn check_addresses(&mut self) {
        let mut uses = BTreeMap::new();
        let node_fields = [&INNER_ADDRESS, &OPS_ADDRESS, &CONTROL_ADDRESS];
        for field in node_fields {
            self.check_address(&mut uses, NODE_KEYWORD, field.key);
        }
        self.check_address(&mut uses, ENTRY_KEYWORD, HTTP_ADDRESS.key);
        for name in self.index.names(BACKEND_SERVER_KEYWORD) {
            let heading = backend_heading(name);
            self.check_address(&mut uses, &heading, BACKEND_ADDRESS.key);
        }
    }

    fn check_address(
        &mut self,
        uses: &mut BTreeMap<SocketAddr, String>,
        heading: &str,
        key: &str,
    ) {
        let location = self.index.location(heading);
        let value = location.value(key).and_then(|value| value.parse().ok());
        let Some(address) = value else {
            return;
        };
        if let Some(user) = uses.get(&address) {
            let message = format!("{address} is also used by {user}");
            self.findings.push(location.finding(key, message));
            return;
        }
        uses.insert(address, format!("[{heading}] {key}"));
    }
}

fn backend_heading(name: &str) -> String {
    format!("{BACKEND_SERVER_KEYWORD} {name}")
}

fn parse_role(value: &str) -> Option<Role> {
    match value {
        "entry" => Some(Role::Entry),
        "side" => Some(Role::Side),
        _ => None,
    }
}
