//! Tables for people.

use std::fmt::Write as _;

use crate::suite::{EffectsRow, LoadRow, Tables, WeightRow};

/// All tables of a deployment.
pub fn tables(tables: &Tables) -> String {
    let mut text = String::new();
    let name = tables.deployment;
    text.push_str(&loads(name, &tables.loads));
    let effects = effects(&tables.effects);
    let _ = writeln!(text, "## {name}: single effects\n\n{effects}");
    let weights = weights(&tables.weights);
    let _ = writeln!(text, "## {name}: recovery-weight-percent\n\n{weights}");
    text
}

/// Every way at every load.
pub fn loads(deployment: &str, rows: &[LoadRow]) -> String {
    let mut text = format!("## {deployment}: loads\n\n");
    text += &head(&[
        "load %",
        "way",
        "share of bound",
        "in time",
        "busy micros/request",
        "micros/1000 tokens",
        "p50 ms",
        "p95 ms",
        "late",
        "not run",
        "refused",
        "by later stages",
        "comeback peak x",
    ]);
    for row in rows {
        let f = &row.figures;
        let o = &f.outcomes;
        let _ = writeln!(
            text,
            "| {} | {} | {:.3} | {:.3} | {:.0} | {:.1} | {} | {} | {} | {} \
             | {} | {} | {:.1} |",
            row.load_percent,
            row.way,
            f.share_of_bound,
            f.in_time_share,
            f.busy_micros_per_request,
            f.busy_micros_per_1000_tokens,
            f.p50_ms,
            f.p95_ms,
            o.late,
            o.not_run,
            o.refused_attempts,
            o.refused_by_later_stages,
            f.comeback_peak_times,
        );
    }
    text.push('\n');
    text
}

fn effects(rows: &[EffectsRow]) -> String {
    let mut text = head(&[
        "way",
        "Jain",
        "others p95 ms",
        "beside greedy",
        "harm %",
        "useful 2x / 1x",
        "without refusal",
        "newcomer x",
        "newcomer peak",
    ]);
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {:.4} | {} | {} | {:.1} | {:.3} | {:.3} | {:.2} | {} |",
            row.way,
            row.jain_backlogged,
            row.others_p95_ms,
            row.others_p95_ms_beside_greedy,
            row.harm_percent,
            row.useful_at_overload,
            row.useful_at_overload_unrefused,
            row.newcomer_times,
            row.newcomer_peak,
        );
    }
    text
}

fn weights(rows: &[WeightRow]) -> String {
    let mut text = head(&[
        "load %",
        "weight %",
        "busy micros/request",
        "in time",
        "p50 ms",
        "p95 ms",
        "stages",
        "data centres",
        "mean use",
        "deviation",
        "most use",
        "lost with a server",
        "lost with a data centre",
    ]);
    for row in rows {
        let f = &row.figures;
        let _ = writeln!(
            text,
            "| {} | {} | {:.0} | {:.3} | {} | {} | {:.2} | {:.2} | {:.3} \
             | {:.3} | {:.3} | {:.3} | {:.3} |",
            row.load_percent,
            row.recovery_weight_percent,
            f.busy_micros_per_request,
            f.in_time_share,
            f.p50_ms,
            f.p95_ms,
            f.stages_per_chain,
            f.data_centres_per_chain,
            f.mean_use,
            f.use_deviation,
            f.most_use,
            f.server_loss,
            f.data_centre_loss,
        );
    }
    text
}

/// Heading of a Markdown table.
pub(crate) fn head(names: &[&str]) -> String {
    let rule = "---|".repeat(names.len());
    format!("| {} |\n|{rule}\n", names.join(" | "))
}
