//! Parses load and faults from a file.
//!
//! An experiment is an INI file that describes the site, the load by request
//! kind, and faults with their times. All errors are reported together.
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

/// A fault that is injected at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Time from the start of the load.
    pub at: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration, for faults that last.
    pub duration: Duration,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// An engine exits, and an engine without layers starts at its address.
    EngineEnds,
    /// An engine restarts without layers under its old id.
    EngineRestarts,
    /// Another writer writes invalid rows to the table of servers.
    RowsForeign,
    /// An engine stops responding; a replacement starts later.
    EngineDark,
    /// An engine becomes slow.
    EngineSlow,
    /// An engine fails all streams with status 500.
    EngineFails,
    /// An engine drains, and a new engine starts.
    EngineDrains,
    /// A new engine without layers is added.
    EngineComes,
    /// Plain servers lose half of their responses.
    AnswersLost,
    /// Plain servers fail half of their requests.
    PlainFails,
    /// The store fails.
    Store(StoreFault),
    /// The store discards its history of changes.
    HistoryLost,
    /// The store goes away and comes back from an older copy.
    StoreRestored,
    /// An entry is killed and restarted.
    EntryKilled,
    /// An entry gets SIGTERM and is restarted after it has exited.
    EntryStops,
    /// An entry is paused with SIGSTOP.
    EntryPauses,
    /// An entry gets SIGHUP to reload its settings.
    EntryHangsUp,
    /// A new version of the configuration is written.
    Configuration,
    /// Feeds deliver an older configuration without the API key.
    ConfigurationOld,
    /// An engine exits and a plain server reuses its address.
    AddressReused,
    /// Engines reset nine in ten of the streams that they start.
    StreamsReset,
    /// Plain servers send the response to another request first.
    AnswersMixed,
    /// The connections of an entry to the store fail.
    StoreLink(LinkFault),
    /// The connections of all entries to a server fail.
    ServerLink(LinkFault),
    /// A stream that crashes every engine that starts it is repeated at random
    /// entries.
    RequestCrashes,
    /// Different streams with a part that crashes every engine that starts
    /// them are sent to random entries.
    PartCrashes,
    /// A server announces a rate limit.
    LimitNamed,
    /// A server rejects requests and requests a cooldown.
    RestAsked,
    /// An engine announces in its responses that it leaves, before its row
    /// does.
    EngineSaysLeaving,
    /// An engine and a plain server send bytes without an end.
    AnswersUnending,
    /// Two groups of entries do not hear each other.
    EntriesParted,
    /// All entries are killed at the same moment and restarted.
    EntriesKilled,
    /// All entries are paused at the same moment.
    EntriesPause,
}

/// Delay on a link; longer than the connect timeout of an entry.
const LINK_DELAY: LinkFault = LinkFault::Delayed(Duration::from_millis(180));

/// A link on which a configuration of 1,500 routes takes 2 s.
const NARROW_LINK: LinkFault = LinkFault::Narrow(200_000);

/// All faults with their names in experiments.
const FAULTS: [(&str, FaultKind); 47] = [
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
    ("store-restored", FaultKind::StoreRestored),
    ("store-link-narrow", FaultKind::StoreLink(NARROW_LINK)),
    ("part-crashes", FaultKind::PartCrashes),
    ("answers-unending", FaultKind::AnswersUnending),
    ("entries-parted", FaultKind::EntriesParted),
    ("entries-killed", FaultKind::EntriesKilled),
    ("entries-pause", FaultKind::EntriesPause),
];

/// Duration of a fault for which the experiment gives none.
const DEFAULT_DURATION: Duration = Duration::from_millis(1_500);

impl FaultKind {
    /// Name of the fault in experiments.
    pub fn name(self) -> &'static str {
        let found = FAULTS.iter().find(|fault| fault.1 == self);
        found.map_or("store", |fault| fault.0)
    }

    /// Whether the fault may make engines abort streams.
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
                | FaultKind::AnswersUnending
        )
    }

    /// Whether servers send bytes without an end.
    pub fn sends_without_end(self) -> bool {
        self == FaultKind::AnswersUnending
    }

    /// Whether the fault affects a link.
    pub fn affects_link(self) -> bool {
        matches!(self, FaultKind::StoreLink(_) | FaultKind::ServerLink(_))
    }

    /// Whether the fault affects the links between entries.
    pub fn parts_entries(self) -> bool {
        self == FaultKind::EntriesParted
    }

    /// Whether the fault makes transfers slow.
    pub fn slows_transfers(self) -> bool {
        matches!(self, FaultKind::StoreLink(LinkFault::Narrow(_)))
    }

    /// Whether the fault affects the identity of servers: a restart under the
    /// same id, or foreign rows.
    pub fn affects_identity(self) -> bool {
        matches!(self, FaultKind::EngineRestarts | FaultKind::RowsForeign)
    }

    /// Whether the fault is a request that crashes servers.
    pub fn is_crashing_request(self) -> bool {
        self == FaultKind::RequestCrashes
    }

    /// Whether the fault is a part of prompts that crashes servers.
    pub fn is_crashing_part(self) -> bool {
        self == FaultKind::PartCrashes
    }

    /// Whether the fault is a limit that a server announces.
    pub fn is_announced_limit(self) -> bool {
        self == FaultKind::LimitNamed
    }

    /// Whether the store loses changes.
    pub fn loses_changes(self) -> bool {
        self == FaultKind::StoreRestored
    }

    /// Whether the fault is a notice of a server on whether it accepts
    /// requests.
    pub fn is_admission_notice(self) -> bool {
        matches!(self, FaultKind::RestAsked | FaultKind::EngineSaysLeaving)
    }

    /// Whether all entries fail at the same moment.
    pub fn affects_all_entries(self) -> bool {
        matches!(self, FaultKind::EntriesKilled | FaultKind::EntriesPause)
    }

    /// All kinds of faults that have a name.
    pub fn all() -> impl Iterator<Item = FaultKind> {
        FAULTS.iter().map(|fault| fault.1)
    }
}

/// Site, load and faults of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// The emulated site.
    pub site: Site,
    /// The load.
    pub load: Load,
    /// Faults, sorted by time.
    pub faults: Vec<Fault>,
}

/// All errors in an experiment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Findings(pub Vec<String>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Findings {}

impl Experiment {
    /// Loads an experiment from a file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or all errors in the experiment.
    pub fn try_load(path: &Path) -> Result<Experiment, Findings> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Findings(vec![format!("{}: {e}", path.display())]))?;
        Experiment::try_parse(&text)
    }

    /// Parses an experiment.
    ///
    /// # Errors
    ///
    /// All errors in the experiment.
    pub fn try_parse(text: &str) -> Result<Experiment, Findings> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| Findings(vec![e.to_string()]))?;
        let mut findings = Vec::new();
        let site = parse_site(&ini, &mut findings);
        let load = parse_load(&ini, &site, &mut findings);
        let faults = parse_faults(&ini, &mut findings);
        let has_links = faults.iter().any(|fault| fault.kind.affects_link());
        let has_peer_links =
            faults.iter().any(|fault| fault.kind.parts_entries());
        let site = Site { has_links, has_peer_links, ..site };
        for name in ini.sections().flatten() {
            if !["site", "load", "faults"].contains(&name) {
                findings.push(format!("[{name}] is not a known section"));
            }
        }
        match findings.is_empty() {
            true => Ok(Experiment { site, load, faults }),
            false => Err(Findings(findings)),
        }
    }
}

fn parse_number<T: std::str::FromStr>(
    location: &str,
    text: &str,
    findings: &mut Vec<String>,
) -> Option<T> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.push(format!("{location}: {text:?} is not a number"));
    }
    parsed
}

fn parse_site(ini: &Ini, findings: &mut Vec<String>) -> Site {
    let mut site = Site::small();
    let Some(section) = ini.section(Some("site")) else { return site };
    for (key, text) in section.iter() {
        let location = format!("[site] {key}");
        let mut set = |to: &mut usize| {
            if let Some(value) = parse_number(&location, text, findings) {
                *to = value;
            }
        };
        match key {
            "data-centres" => {
                let mut count = site.data_centres.len();
                set(&mut count);
                site.data_centres =
                    (1..=count).map(|at| format!("hall-{at}")).collect();
            }
            "retry-slack" => {
                let mut slack = site.retry_slack as usize;
                set(&mut slack);
                site.retry_slack = slack as f64;
            }
            "core-percent" => {
                let mut percent = 0;
                set(&mut percent);
                site.core_quota = Some(percent as f64 / 100.0);
            }
            "engines-each" => set(&mut site.engines_each),
            "plain-servers" => set(&mut site.plain_servers),
            "entries" => set(&mut site.entries),
            "events" => {
                let mut events = site.events as usize;
                set(&mut events);
                site.events = events as u64;
            }
            _ => findings.push(format!("{location} is not a known key")),
        }
    }
    site
}

fn parse_load(ini: &Ini, site: &Site, findings: &mut Vec<String>) -> Load {
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
        let location = format!("[load] {key}");
        let kind =
            RequestKind::ALL.into_iter().find(|kind| kind.name() == key);
        match (key, kind) {
            ("seconds", _) => {
                let seconds =
                    parse_number(&location, text, findings).unwrap_or(1.0);
                load.duration = Duration::from_secs_f64(seconds);
            }
            ("seed", _) => {
                load.seed =
                    parse_number(&location, text, findings).unwrap_or(1);
            }
            (_, Some(kind)) => {
                let per_s =
                    parse_number(&location, text, findings).unwrap_or(0.0);
                load.per_s.insert(kind, per_s);
            }
            _ => findings.push(format!("{location} is not a known key")),
        }
    }
    load
}

fn parse_faults(ini: &Ini, findings: &mut Vec<String>) -> Vec<Fault> {
    let Some(section) = ini.section(Some("faults")) else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    for (key, text) in section.iter() {
        let location = format!("[faults] {key}");
        let at = parse_number(&location, key, findings).unwrap_or(0.0);
        let (name, duration) = match text.split_once(" for ") {
            Some((name, duration)) => {
                let duration =
                    parse_number(&location, duration, findings).unwrap_or(1.0);
                (name, Duration::from_secs_f64(duration))
            }
            None => (text, DEFAULT_DURATION),
        };
        match FAULTS.iter().find(|fault| fault.0 == name) {
            Some((_, kind)) => faults.push(Fault {
                at: Duration::from_secs_f64(at),
                kind: *kind,
                duration,
            }),
            None => {
                findings.push(format!("{location}: unknown fault {name:?}"))
            }
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
