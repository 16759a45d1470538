//! Recorded values appear in the text format under their name and labels.

use std::time::Duration;

use chestnutreach_telemetry::{
    Metrics,
    metrics::{
        ClaimResult, MAX_ACCOUNT_SERIES, OTHER_LABEL, TableOperation,
        TableResult,
    },
};
use rstest::rstest;

struct Case {
    name: &'static str,
    record: fn(&Metrics),
    line: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "request",
        record: |m| {
            let elapsed = Duration::from_millis(20);
            m.service("letters")
                .record_request_ended("not-run", "full", elapsed);
        },
        line: "chestnutreach_requests_total{outcome=\"not-run\",\
               reason=\"full\",role=\"side\",service=\"letters\",\
               vm=\"vm-1\"} 1",
    },
    Case {
        name: "request duration",
        record: |m| {
            let elapsed = Duration::from_millis(20);
            m.service("letters").record_request_ended(
                "completed",
                "",
                elapsed,
            );
        },
        line: "chestnutreach_request_seconds_bucket{role=\"side\",\
               service=\"letters\",vm=\"vm-1\",le=\"0.03\"} 1",
    },
    Case {
        name: "refused attempt",
        record: |m| m.service("letters").record_attempt_refused("share"),
        line: "chestnutreach_attempt_refusals_total{reason=\"share\",\
               role=\"side\",service=\"letters\",vm=\"vm-1\"} 1",
    },
    Case {
        name: "account tokens",
        record: |m| m.account("halls").tokens_delivered.inc_by(7),
        line: "chestnutreach_account_tokens_delivered_total{\
               account=\"halls\",role=\"side\",vm=\"vm-1\"} 7",
    },
    Case {
        name: "handle looked up twice",
        record: |m| {
            m.backend("b-1").steps.inc();
            m.backend("b-1").steps.inc();
        },
        line: "chestnutreach_backend_steps_total{backend=\"b-1\",\
               role=\"side\",vm=\"vm-1\"} 2",
    },
    Case {
        name: "refused step",
        record: |m| m.record_step_refused("fenced"),
        line: "chestnutreach_step_refusals_total{reason=\"fenced\",\
               role=\"side\",vm=\"vm-1\"} 1",
    },
    Case {
        name: "table operation",
        record: |m| {
            m.record_table_operation(
                TableOperation::Write,
                TableResult::Unknown,
            );
        },
        line: "chestnutreach_table_operations_total{operation=\"write\",\
               result=\"unknown\",role=\"side\",vm=\"vm-1\"} 1",
    },
    Case {
        name: "claim",
        record: |m| m.record_claim(ClaimResult::KeyReused),
        line: "chestnutreach_claims_total{result=\"key_reused\",\
               role=\"side\",vm=\"vm-1\"} 1",
    },
    Case {
        name: "manifest generation",
        record: |m| m.manifest_generation.set(12),
        line: "chestnutreach_manifest_generation{role=\"side\",\
               vm=\"vm-1\"} 12",
    },
];

/// Sorts the labels of a line. The registry writes the labels that all metrics
/// share in no fixed order.
fn sort_labels(line: &str) -> String {
    let Some((name, rest)) = line.split_once('{') else {
        return line.to_owned();
    };
    let (labels, value) = rest.split_once('}').unwrap();
    let mut labels: Vec<_> = labels.split(',').collect();
    labels.sort_unstable();
    format!("{name}{{{}}}{value}", labels.join(","))
}

#[test]
fn recorded_values_appear_in_the_text() {
    for case in CASES {
        let metrics = Metrics::new("side", "vm-1");
        (case.record)(&metrics);
        let text = metrics.to_text().unwrap();
        let line = sort_labels(case.line);
        let found = text.lines().any(|l| sort_labels(l) == line);
        assert!(found, "{}: no {:?} in\n{text}", case.name, case.line);
    }
}

#[rstest]
#[case::below_the_limit(MAX_ACCOUNT_SERIES - 1, false)]
#[case::above_the_limit(MAX_ACCOUNT_SERIES, true)]
fn accounts_above_the_limit_share_one_series(
    #[case] others: usize,
    #[case] is_shared: bool,
) {
    let metrics = Metrics::new("entry", "vm-1");
    for number in 0..others {
        metrics.account(&format!("account-{number}"));
    }
    metrics.account("last").requests.inc();
    let text = metrics.to_text().unwrap();
    let has = |name: &str| text.contains(&format!("account=\"{name}\""));
    assert_eq!(has(OTHER_LABEL), is_shared);
    assert_eq!(has("last"), !is_shared);
    assert!(has("account-0"));
}
