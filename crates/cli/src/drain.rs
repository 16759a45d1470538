//! `drain`: takes a daemon or a backend server out of service.
//!
//! Requests in flight continue; with `--wait-ms` the tool polls until none is
//! left. `--undo` ends a drain.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_control::{ControlClient, ControlError, NodeStatus};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::{args, daemons, exit::Exit, output};

pub(crate) const NAME: &str = "drain";
const BACKEND: &str = "backend";
const UNDO: &str = "undo";
const WAIT_MS: &str = "wait-ms";
const MAX_WAIT_MS: u64 = 86_400_000;
/// Interval at which `--wait-ms` polls the remaining requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Stops new work on a daemon or on one backend server")
        .arg(
            args::address(daemons::CONTROL, "Control address of the daemon")
                .required(true),
        )
        .arg(
            Arg::new(BACKEND)
                .long(BACKEND)
                .value_name("NAME")
                .help("Drain only this backend server of the daemon"),
        )
        .arg(
            Arg::new(UNDO)
                .long(UNDO)
                .action(ArgAction::SetTrue)
                .conflicts_with(WAIT_MS)
                .help("End the drain and accept new work again"),
        )
        .arg(
            Arg::new(WAIT_MS)
                .long(WAIT_MS)
                .value_name("N")
                .value_parser(value_parser!(u64).range(0..=MAX_WAIT_MS))
                .help("Time to wait until no request is left, in ms"),
        )
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
}

/// Starts or ends the drain, and waits if `--wait-ms` is given.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let address: SocketAddr = *args::required(matches, daemons::CONTROL);
    let wait_ms = matches.get_one::<u64>(WAIT_MS).copied();
    let drain = Drain {
        address,
        backend: matches.get_one::<String>(BACKEND).map(String::as_str),
        is_undo: matches.get_flag(UNDO),
        wait: wait_ms.map(Duration::from_millis),
        timeout: args::timeout_of(matches),
    };
    match async_io::block_on(drain.run()) {
        Ok(report) => report.print(args::is_json(matches)),
        Err(e) => {
            eprintln!("chestnutreach: {e}");
            Ok(daemons::exit_of(&e))
        }
    }
}

struct Drain<'a> {
    address: SocketAddr,
    backend: Option<&'a str>,
    is_undo: bool,
    wait: Option<Duration>,
    timeout: Duration,
}

impl Drain<'_> {
    async fn run(&self) -> Result<Report, ControlError> {
        let client = daemons::connect(self.address, self.timeout).await?;
        match self.is_undo {
            true => client.undrain(self.backend).await?,
            false => client.drain(self.backend).await?,
        }
        let mut status = client.status().await?;
        if let Some(wait) = self.wait {
            let deadline = Instant::now() + wait;
            status = self.wait_until_idle(&client, status, deadline).await?;
        }
        Ok(self.report(&status))
    }

    async fn wait_until_idle(
        &self,
        client: &ControlClient,
        mut status: NodeStatus,
        deadline: Instant,
    ) -> Result<NodeStatus, ControlError> {
        while self.remaining_requests(&status) > 0 && Instant::now() < deadline
        {
            Timer::after(POLL_INTERVAL).await;
            status = client.status().await?;
        }
        Ok(status)
    }

    fn remaining_requests(&self, status: &NodeStatus) -> u64 {
        let Some(name) = self.backend else {
            return status.requests_in_flight;
        };
        let mut backends = status.backends.iter();
        let backend = backends.find(|backend| backend.name == name);
        backend.map_or(0, |backend| backend.running + backend.queued)
    }

    fn report(&self, status: &NodeStatus) -> Report {
        Report {
            vm: status.vm.clone(),
            backend: self.backend.map(str::to_owned),
            is_draining: !self.is_undo,
            left: self.remaining_requests(status),
            was_waited_for: self.wait.is_some(),
        }
    }
}

#[derive(Serialize)]
struct Report {
    vm: String,
    backend: Option<String>,
    is_draining: bool,
    /// Requests that have not ended.
    left: u64,
    was_waited_for: bool,
}

impl Report {
    fn print(&self, is_json: bool) -> anyhow::Result<Exit> {
        match is_json {
            true => output::print_json(self)?,
            false => output::print_text(&self.text())?,
        }
        let is_incomplete = self.was_waited_for && self.left > 0;
        Ok(if is_incomplete { Exit::Lagging } else { Exit::Done })
    }

    fn text(&self) -> String {
        let target = match &self.backend {
            Some(backend) => format!("{backend} beside {}", self.vm),
            None => self.vm.clone(),
        };
        let left = self.left;
        match self.is_draining {
            true => format!("{target} drains; requests left: {left}"),
            false => format!("{target} takes new work again"),
        }
    }
}
