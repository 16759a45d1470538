//! Load and faults from a file.
//!
//! An experiment is an INI file: what is emulated, the load of each kind,
//! and faults at their times. Everything wrong in it is reported together.
//!
//! ```ini
//! [site]
//! engines-each = 5
//! entries = 3
//!
//! [load]
//! seconds = 6
//! stream = 20
//! idempotent = 5
//! once = 5
//! seed = 7
//!
//! [faults]
//! 1.0 = engine-ends
//! 2.5 = store-silent for 1.5
//! ```

use std::{fmt, path::Path, time::Duration};

use ini::Ini;

use crate::{
    caller::RequestKind, link::LinkFault, load::Load, site::Site,
    store::StoreFault,
};

/// What happens at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When, from the start of the load.
    pub at: Duration,
    /// What.
    pub kind: FaultKind,
    /// How long, for those that end.
    pub duration: Duration,
}

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// An engine's process ends; an empty one starts in its place.
    EngineEnds,
    /// An engine's process ends and starts again, empty, under its id.
    EngineRestarts,
    /// Another writer writes rows that no server writes.
    RowsForeign,
    /// An engine falls silent for good.
    EngineDark,
    /// An engine becomes slow.
    EngineSlow,
    /// An engine answers streams with failures.
    EngineFails,
    /// An engine leaves in order.
    EngineDrains,
    /// An empty engine comes.
    EngineComes,
    /// Plain servers lose half of their answers.
    AnswersLost,
    /// Plain servers fail half of their requests.
    PlainFails,
    /// The store fails in this way.
    Store(StoreFault),
    /// The store forgets its history.
    HistoryLost,
    /// An entry is killed and started again.
    EntryKilled,
    /// An entry is told to stop and started again.
    EntryStops,
    /// An entry stands still.
    EntryPauses,
    /// An entry is told that its settings changed.
    EntryHangsUp,
    /// A new version of the configuration.
    Configuration,
    /// A feed tells of an older configuration, without the key.
    ConfigurationOld,
    /// An engine ends and the plain service takes its address.
    AddressReused,
    /// Engines reset nine in ten of the streams that they begin.
    StreamsReset,
    /// Plain servers send an answer of another request first.
    AnswersMixed,
    /// An entry's way to the store fails.
    StoreLink(LinkFault),
    /// The way to a server fails, for all entries.
    ServerLink(LinkFault),
    /// A stream that crashes each engine that begins it comes again and
    /// again, at any entry.
    RequestCrashes,
    /// A server names a limit on its requests.
    LimitNamed,
    /// A server turns requests away and asks for rest.
    RestAsked,
    /// An engine leaves, and says so in its answers before the list does.
    EngineSaysLeaving,
}

/// Delay on a link, over what an entry waits for a dial.
const LINK_DELAY: LinkFault = LinkFault::Delayed(Duration::from_millis(180));

/// Every name of a fault, and what it is.
const FAULTS: [(&str, FaultKind); 40] = [
    ("engine-ends", FaultKind::EngineEnds),
    ("engine-dark", FaultKind::EngineDark),
    ("engine-slow", FaultKind::EngineSlow),
    ("engine-fails", FaultKind::EngineFails),
    ("engine-drains", FaultKind::EngineDrains),
    ("engine-comes", FaultKind::EngineComes),
    ("answers-lost", FaultKind::AnswersLost),
    ("plain-fails", FaultKind::PlainFails),
    ("store-silent", FaultKind::Store(StoreFault::Silent)),
    ("store-busy", FaultKind::Store(StoreFault::Busy)),
    ("store-slow", FaultKind::Store(StoreFault::Slow(150))),
    ("store-loses-answers", FaultKind::Store(StoreFault::LosesAnswers)),
    ("store-late-writes", FaultKind::Store(StoreFault::LateWrites(1_500))),
    ("store-back", FaultKind::Store(StoreFault::None)),
    ("history-lost", FaultKind::HistoryLost),
    ("entry-killed", FaultKind::EntryKilled),
    ("entry-stops", FaultKind::EntryStops),
    ("entry-pauses", FaultKind::EntryPauses),
    ("entry-hangs-up", FaultKind::EntryHangsUp),
    ("configuration", FaultKind::Configuration),
    ("configuration-old", FaultKind::ConfigurationOld),
    ("address-reused", FaultKind::AddressReused),
    ("streams-reset", FaultKind::StreamsReset),
    ("answers-mixed", FaultKind::AnswersMixed),
    ("store-link-delayed", FaultKind::StoreLink(LINK_DELAY)),
    ("store-link-reset", FaultKind::StoreLink(LinkFault::Reset)),
    ("store-link-silent", FaultKind::StoreLink(LinkFault::Silent)),
    ("store-link-cut-forth", FaultKind::StoreLink(LinkFault::CutForth)),
    ("store-link-cut-back", FaultKind::StoreLink(LinkFault::CutBack)),
    ("server-link-delayed", FaultKind::ServerLink(LINK_DELAY)),
    ("server-link-reset", FaultKind::ServerLink(LinkFault::Reset)),
    ("server-link-silent", FaultKind::ServerLink(LinkFault::Silent)),
    ("server-link-cut-forth", FaultKind::ServerLink(LinkFault::CutForth)),
    ("server-link-cut-back", FaultKind::ServerLink(LinkFault::CutBack)),
    ("engine-restarts", FaultKind::EngineRestarts),
    ("rows-foreign", FaultKind::RowsForeign),
    ("request-crashes", FaultKind::RequestCrashes),
    ("limit-named", FaultKind::LimitNamed),
    ("rest-asked", FaultKind::RestAsked),
    ("engine-says-leaving", FaultKind::EngineSaysLeaving),
];

/// How long a fault lasts where nothing is said.
const DEFAULT_LENGTH: Duration = Duration::from_millis(1_500);

impl FaultKind {
    /// Its name in experiments.
    pub fn name(self) -> &'static str {
        let found = FAULTS.iter().find(|fault| fault.1 == self);
        found.map_or("store", |fault| fault.0)
    }

    /// Whether engines may break streams off because of it.
    pub fn breaks_streams(self) -> bool {
        matches!(
            self,
            FaultKind::EngineEnds
                | FaultKind::EngineRestarts
                | FaultKind::EngineDark
                | FaultKind::EngineDrains
                | FaultKind::AddressReused
                | FaultKind::StreamsReset
                | FaultKind::ServerLink(_)
                | FaultKind::RequestCrashes
                | FaultKind::EngineSaysLeaving
        )
    }

    /// Whether it is one of a link.
    pub fn affects_link(self) -> bool {
        matches!(self, FaultKind::StoreLink(_) | FaultKind::ServerLink(_))
    }

    /// Whether it is one of starts under the same id, or of rows.
    pub fn affects_identity(self) -> bool {
        matches!(self, FaultKind::EngineRestarts | FaultKind::RowsForeign)
    }

    /// Whether it is one of requests.
    pub fn is_crashing_request(self) -> bool {
        self == FaultKind::RequestCrashes
    }

    /// Whether it is a need that a server tells of itself.
    pub fn is_announced_limit(self) -> bool {
        self == FaultKind::LimitNamed
    }

    /// Whether it is a server's word on whether it takes requests.
    pub fn is_admission_notice(self) -> bool {
        matches!(self, FaultKind::RestAsked | FaultKind::EngineSaysLeaving)
    }

    /// Every fault that has a name.
    pub fn all() -> impl Iterator<Item = FaultKind> {
        FAULTS.iter().map(|fault| fault.1)
    }
}

/// Load and faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// What is emulated.
    pub site: Site,
    /// The load.
    pub load: Load,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
}

/// What is wrong with an experiment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Findings(pub Vec<String>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Findings {}

impl Experiment {
    /// Reads an experiment from a file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it.
    pub fn try_load(path: &Path) -> Result<Experiment, Findings> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Findings(vec![format!("{}: {e}", path.display())]))?;
        Experiment::try_parse(&text)
    }

    /// Reads an experiment.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it.
    pub fn try_parse(text: &str) -> Result<Experiment, Findings> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| Findings(vec![e.to_string()]))?;
        let mut findings = Vec::new();
        let site = read_site(&ini, &mut findings);
        let load = read_load(&ini, &site, &mut findings);
        let faults = read_faults(&ini, &mut findings);
        let has_links = faults.iter().any(|fault| fault.kind.affects_link());
        let site = Site { has_links, ..site };
        for name in ini.sections().flatten() {
            if !["site", "load", "faults"].contains(&name) {
                findings.push(format!("[{name}] is not known"));
            }
        }
        match findings.is_empty() {
            true => Ok(Experiment { site, load, faults }),
            false => Err(Findings(findings)),
        }
    }
}

fn number<T: std::str::FromStr>(
    place: &str,
    text: &str,
    findings: &mut Vec<String>,
) -> Option<T> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.push(format!("{place}: {text:?} is no number"));
    }
    parsed
}

fn read_site(ini: &Ini, findings: &mut Vec<String>) -> Site {
    let mut site = Site::small();
    let Some(section) = ini.section(Some("site")) else { return site };
    for (key, text) in section.iter() {
        let place = format!("[site] {key}");
        let mut set = |to: &mut usize| {
            if let Some(value) = number(&place, text, findings) {
                *to = value;
            }
        };
        match key {
            "engines-each" => set(&mut site.engines_each),
            "plain-servers" => set(&mut site.plain_servers),
            "entries" => set(&mut site.entries),
            "events" => {
                let mut events = site.events as usize;
                set(&mut events);
                site.events = events as u64;
            }
            _ => findings.push(format!("{place} is not known")),
        }
    }
    site
}

fn read_load(ini: &Ini, site: &Site, findings: &mut Vec<String>) -> Load {
    let mut load = Load {
        duration: Duration::from_secs(5),
        events: site.events,
        seed: 1,
        ..Load::default()
    };
    let Some(section) = ini.section(Some("load")) else {
        findings.push("[load] is missing".to_owned());
        return load;
    };
    for (key, text) in section.iter() {
        let place = format!("[load] {key}");
        let kind =
            RequestKind::ALL.into_iter().find(|kind| kind.name() == key);
        match (key, kind) {
            ("seconds", _) => {
                let seconds = number(&place, text, findings).unwrap_or(1.0);
                load.duration = Duration::from_secs_f64(seconds);
            }
            ("seed", _) => {
                load.seed = number(&place, text, findings).unwrap_or(1);
            }
            (_, Some(kind)) => {
                let per_s = number(&place, text, findings).unwrap_or(0.0);
                load.per_s.insert(kind, per_s);
            }
            _ => findings.push(format!("{place} is not known")),
        }
    }
    load
}

fn read_faults(ini: &Ini, findings: &mut Vec<String>) -> Vec<Fault> {
    let Some(section) = ini.section(Some("faults")) else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    for (key, text) in section.iter() {
        let place = format!("[faults] {key}");
        let at = number(&place, key, findings).unwrap_or(0.0);
        let (name, duration) = match text.split_once(" for ") {
            Some((name, duration)) => {
                let duration =
                    number(&place, duration, findings).unwrap_or(1.0);
                (name, Duration::from_secs_f64(duration))
            }
            None => (text, DEFAULT_LENGTH),
        };
        match FAULTS.iter().find(|fault| fault.0 == name) {
            Some((_, kind)) => faults.push(Fault {
                at: Duration::from_secs_f64(at),
                kind: *kind,
                duration,
            }),
            None => findings.push(format!("{place}: no fault {name:?}")),
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
