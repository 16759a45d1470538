//! The program prints the address it listens on and serves there, and rejects
//! invalid arguments.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use async_io::block_on;
use chestnutreach_engine::EngineClient;
use rstest::rstest;

struct Standin {
    child: Child,
    address: SocketAddr,
}

impl Standin {
    fn start(args: &[&str]) -> Standin {
        let mut child =
            Command::new(env!("CARGO_BIN_EXE_chestnutreach-standin"))
                .args(args)
                .args(["--listen", "127.0.0.1:0"])
                .stdout(Stdio::piped())
                .spawn()
                .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let address = line.trim_end().strip_prefix("listening on ");
        let address = address.unwrap().parse().unwrap();
        Standin { child, address }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

#[test]
fn serves_an_engine() {
    let standin = Standin::start(&["engine", "--model", "ili-analyst"]);
    let client = EngineClient::new(standin.address, "ili-analyst");
    block_on(async {
        assert!(client.is_ready().await);
        assert_eq!(client.load().await.unwrap().cache_tokens, 1_000_000);
    });
}

struct Case {
    args: &'static [&'static str],
}

#[rstest]
#[case::no_subcommand(Case { args: &[] })]
#[case::unknown_subcommand(Case { args: &["oven"] })]
#[case::empty_layer_range(Case { args: &["engine", "--first-layer", "24"] })]
#[case::layers_exceed_model(Case { args: &["engine", "--layer-count", "20"] })]
#[case::negative_number(Case { args: &["engine", "--step-us", "-1"] })]
fn rejects_invalid_arguments(#[case] case: Case) {
    let program = env!("CARGO_BIN_EXE_chestnutreach-standin");
    let output = Command::new(program).args(case.args).output().unwrap();
    assert!(!output.status.success());
    assert!(!output.stderr.is_empty());
}
