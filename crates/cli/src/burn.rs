//! `burn`: reports the error budget burn rates of services.
//!
//! Daemons export counters, so a rate needs two samples. Each run adds a
//! sample of the counters to a file and computes every window from the samples
//! in the file. A window that the samples do not cover has no figures.
//!
//! | module | contents |
//! |---|---|
//! | `scrape` | fetches the counters of a daemon |
//! | `samples` | the file of samples |
//! | `series` | monotonic sums over daemon restarts |
//! | `window` | durations such as `5m` |
//! | `report` | the figures |
//! | `text` | text output |
//! | `html` | HTML output |
//! | `plot` | plots of the HTML page |

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context as _, ensure};
use chestnutreach_config::Manifest;
use clap::{Arg, ArgGroup, ArgMatches, Command, value_parser};

use crate::{args, daemons, exit::Exit, output, source};

mod html;
mod plot;
mod report;
mod samples;
mod scrape;
mod series;
mod text;
mod window;

use report::{Report, Unreached};
use samples::{Sample, Samples};
use series::Series;
use window::Window;

pub(crate) const NAME: &str = "burn";
const OPS: &str = "ops";
const MANIFEST: &str = "manifest";
const WINDOWS: &str = "windows";
const SAMPLES: &str = "samples";
const HTML: &str = "html";
/// Short windows detect a fast burn, long windows a slow burn.
const DEFAULT_WINDOWS: &str = "5m,30m,1h,6h";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Reports how fast services use up their error budgets")
        .arg(
            args::addresses(OPS, "Operators' addresses of the entries")
                .required(false),
        )
        .arg(
            args::path(MANIFEST, "Manifest with the objectives")
                .long(MANIFEST)
                .required(true),
        )
        .arg(
            Arg::new(WINDOWS)
                .long(WINDOWS)
                .value_name("LENGTHS")
                .value_delimiter(',')
                .value_parser(value_parser!(Window))
                .default_value(DEFAULT_WINDOWS)
                .help("Durations to look back"),
        )
        .arg(
            args::path(
                SAMPLES,
                "File of samples; the sample of this run is added",
            )
            .long(SAMPLES),
        )
        .group(
            ArgGroup::new("counters")
                .args([OPS, SAMPLES])
                .multiple(true)
                .required(true),
        )
        .arg(
            args::path(HTML, "Also write an HTML page to this file")
                .long(HTML),
        )
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
        .after_help(
            "Without --ops, no sample is taken and the windows end at the \
             last sample of the file. Only one run at a time may write a \
             file of samples.",
        )
}

/// Takes a sample and prints the report.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let manifest: &PathBuf = args::required(matches, MANIFEST);
    let manifest = match source::load(manifest) {
        Ok(manifest) => manifest,
        Err(findings) => {
            eprintln!("{findings}");
            return Ok(Exit::Findings);
        }
    };
    let windows: Vec<Window> =
        matches.get_many(WINDOWS).into_iter().flatten().copied().collect();
    let path = matches.get_one::<PathBuf>(SAMPLES);
    let mut samples = match path {
        Some(path) => Samples::load(path)?,
        None => Samples::default(),
    };
    let addresses = args::addresses_of(matches, OPS);
    let mut unreached = Vec::new();
    if !addresses.is_empty() {
        let timeout = args::timeout_of(matches);
        let sample = collect_sample(&addresses, timeout, &mut unreached)?;
        samples.push(sample, &windows)?;
    }
    ensure!(!samples.is_empty(), "there are no samples");
    if let (Some(path), false) = (path, addresses.is_empty()) {
        samples.save(path)?;
    }
    let report = build_report(&manifest, &samples, &windows, unreached);
    print(matches, &report, &samples)?;
    let is_complete = report.unreached.is_empty();
    Ok(if is_complete { Exit::Done } else { Exit::Lagging })
}

/// Takes a sample of all daemons that respond.
///
/// # Errors
///
/// If no daemon responds.
fn collect_sample(
    addresses: &[SocketAddr],
    timeout: Duration,
    unreached: &mut Vec<Unreached>,
) -> anyhow::Result<Sample> {
    let at_unix_ms = now_unix_ms()?;
    let scrape = |address| scrape::scrape(address, timeout);
    let results = async_io::block_on(daemons::query_all(addresses, scrape));
    let mut sample = Sample { at_unix_ms, ..Sample::default() };
    for (address, result) in addresses.iter().zip(results) {
        match result {
            Ok(daemon) => {
                sample.daemons.insert(*address, daemon);
            }
            Err(e) => {
                let (address, error) = (*address, format!("{e:#}"));
                unreached.push(Unreached { address, error });
            }
        }
    }
    if let (true, Some(first)) = (sample.daemons.is_empty(), unreached.first())
    {
        anyhow::bail!("no daemon returned its counters; {first}");
    }
    Ok(sample)
}

fn build_report(
    manifest: &Manifest,
    samples: &Samples,
    windows: &[Window],
    unreached: Vec<Unreached>,
) -> Report {
    let series = Series::new(samples);
    Report::new(manifest, &series, windows).unreached(unreached)
}

fn print(
    matches: &ArgMatches,
    report: &Report,
    samples: &Samples,
) -> anyhow::Result<()> {
    if let Some(path) = matches.get_one::<PathBuf>(HTML) {
        write_page(path, report, &Series::new(samples))?;
    }
    match args::is_json(matches) {
        true => output::print_json(report),
        false => output::print_text(&text::text(report)),
    }
}

fn write_page(
    path: &Path,
    report: &Report,
    series: &Series,
) -> anyhow::Result<()> {
    let page = html::page(report, series);
    fs::write(path, page)
        .with_context(|| format!("cannot write {}", path.display()))
}

fn now_unix_ms() -> anyhow::Result<u64> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.context("the system clock is before 1970")?;
    Ok(since.as_millis() as u64)
}
