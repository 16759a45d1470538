//! Reads a daemon's settings in its role.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    BackendSettings, DaemonSettings, NodeSettings,
    schema::*,
    sections::{entry, links, log, node, platform, side},
};
use crate::{
    document::Document,
    fields::Field,
    findings::Findings,
    sheet::{SectionReader, Sheet},
};

/// Which role a daemon has.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Role {
    Entry,
    Side,
}

/// Reads `text`.
pub(super) fn daemon(
    file: &str,
    text: &str,
) -> Result<DaemonSettings, Findings> {
    let mut findings = Findings::new();
    let document = Document::parse(file, text, &mut findings);
    let sheet = Sheet::new(file, &document, SECTIONS, &mut findings);
    let mut reader = DaemonReader { sheet: &sheet, findings: &mut findings };
    let settings = reader.read();
    findings.sort();
    match settings {
        Some(settings) => findings.into_result(settings),
        None => Err(findings),
    }
}

struct DaemonReader<'a> {
    sheet: &'a Sheet<'a>,
    findings: &'a mut Findings,
}

impl DaemonReader<'_> {
    fn read(&mut self) -> Option<DaemonSettings> {
        let log = log(&mut self.section(LOG_KEYWORD, LOG));
        let links = links(&mut self.section(LINKS_KEYWORD, LINKS));
        let platform = platform(&mut self.section(PLATFORM_KEYWORD, PLATFORM));
        let mut reader = self.section(NODE_KEYWORD, NODE);
        let role = reader.choice(&ROLE, role_from_word);
        let node = node(&mut reader, log, links, platform);
        let settings = match role {
            Some(Role::Entry) => self.entry(node),
            Some(Role::Side) => self.side(node),
            None => self.any(),
        };
        self.check_addresses();
        settings
    }

    fn section<'b>(
        &'b mut self,
        heading: &'b str,
        table: &'static [Field],
    ) -> SectionReader<'b> {
        self.sheet.read(heading, &[table], self.findings)
    }

    fn entry(&mut self, node: Option<NodeSettings>) -> Option<DaemonSettings> {
        self.refuse(SIDE_KEYWORD, "entry");
        for name in self.sheet.names(BACKEND_SERVER_KEYWORD) {
            self.refuse(&backend_heading(name), "entry");
        }
        let entry = entry(&mut self.section(ENTRY_KEYWORD, ENTRY), node);
        entry.map(DaemonSettings::Entry)
    }

    fn side(&mut self, node: Option<NodeSettings>) -> Option<DaemonSettings> {
        self.refuse(ENTRY_KEYWORD, "side");
        let backends = self.backends();
        let side = side(&mut self.section(SIDE_KEYWORD, SIDE), node, backends);
        side.map(DaemonSettings::Side)
    }

    /// Reads what is there when the role isn't known, for the findings.
    fn any(&mut self) -> Option<DaemonSettings> {
        if self.sheet.has(ENTRY_KEYWORD) {
            entry(&mut self.section(ENTRY_KEYWORD, ENTRY), None);
        }
        if self.sheet.has(SIDE_KEYWORD) {
            side(&mut self.section(SIDE_KEYWORD, SIDE), None, None);
        }
        for name in self.sheet.names(BACKEND_SERVER_KEYWORD) {
            self.backend(name);
        }
        None
    }

    fn refuse(&mut self, heading: &str, role: &str) {
        if self.sheet.has(heading) {
            let message = format!("section is not for the role {role}");
            let finding = self.sheet.place(heading).finding("", message);
            self.findings.push(finding);
        }
    }

    fn backends(&mut self) -> Option<Vec<BackendSettings>> {
        let names = self.sheet.names(BACKEND_SERVER_KEYWORD);
        if names.is_empty() {
            let message = "missing section; the role side needs one or more";
            let place = self.sheet.place("backend-server NAME");
            self.findings.push(place.finding("", message.to_owned()));
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

    /// Reports a local address that two things are to use. Read again from
    /// the sheet, so that one wrong address doesn't hide a doubled one.
    fn check_addresses(&mut self) {
        let mut uses = BTreeMap::new();
        let node = [&INNER_ADDRESS, &OPS_ADDRESS, &CONTROL_ADDRESS];
        for field in node {
            self.check_address(&mut uses, NODE_KEYWORD, field.key);
        }
        self.check_address(&mut uses, ENTRY_KEYWORD, HTTP_ADDRESS.key);
        for name in self.sheet.names(BACKEND_SERVER_KEYWORD) {
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
        let place = self.sheet.place(heading);
        let value = place.value(key).and_then(|value| value.parse().ok());
        let Some(address) = value else {
            return;
        };
        if let Some(user) = uses.get(&address) {
            let message = format!("{address} is also {user}");
            self.findings.push(place.finding(key, message));
            return;
        }
        uses.insert(address, format!("[{heading}] {key}"));
    }
}

fn backend_heading(name: &str) -> String {
    format!("{BACKEND_SERVER_KEYWORD} {name}")
}

fn role_from_word(word: &str) -> Option<Role> {
    match word {
        "entry" => Some(Role::Entry),
        "side" => Some(Role::Side),
        _ => None,
    }
}
