//! Results as Markdown tables.

use std::fmt::Write as _;

use crate::suite::{EffectsRow, LoadRow, Tables, WeightRow};

/// All tables of a deployment.
pub fn tables(tables: &Tables) -> String {
    let mut text = String::new();
    let name = tables.deployment;
    text.push_str(&loads(name, &tables.loads));
    text.push_str(&effects(name, &tables.effects));
    let weights = weights(&tables.weights);
    let _ = writeln!(text, "## {name}: recovery-weight-percent\n\n{weights}");
    text
}

/// The table of loads.
pub fn loads(deployment: &str, rows: &[LoadRow]) -> String {
    let mut text = format!("## {deployment}: loads\n\n");
    text += &head(&[
        "load %",
        "way",
        "share of bound",
        "in time",
        "summaries",
        "letters",
        "lookups",
        "busy micros/request",
        "micros/1000 tokens",
        "mean use",
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
            "| {} | {} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} | {:.0} | {:.1} | {:.3} | {} | {} \
             | {} | {} | {} | {} | {:.1} |",
            row.load_percent,
            row.way,
            f.share_of_bound,
            f.in_time_share,
            f.in_time_by_trade[0],
            f.in_time_by_trade[1],
            f.in_time_by_trade[2],
            f.busy_micros_per_request,
            f.busy_micros_per_1000_tokens,
            f.mean_use,
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

/// The table of effects.
pub fn effects(deployment: &str, rows: &[EffectsRow]) -> String {
    let mut text = format!("## {deployment}: single effects\n\n");
    text += &head(&[
        "way",
        "Jain",
        "others p95 ms at 50 %",
        "harm %",
        "others p95 ms at 80 %",
        "harm %",
        "useful 2x / 1x",
        "without refusal",
        "newcomer x",
        "newcomer peak",
    ]);
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {:.4} | {} | {:.1} | {} | {:.1} | {:.3} | {:.3} | {:.2} | {} \
             |",
            row.way,
            row.jain_backlogged,
            row.harm_at_half.before_ms,
            row.harm_at_half.percent,
            row.harm_at_most.before_ms,
            row.harm_at_most.percent,
            row.useful_at_overload,
            row.useful_at_overload_unrefused,
            row.newcomer_times,
            row.newcomer_peak,
        );
    }
    text.push('\n');
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

/// Header and separator of a Markdown table.
pub(crate) fn head(names: &[&str]) -> String {
    let rule = "---|".repeat(names.len());
    format!("| {} |\n|{rule}\n", names.join(" | "))
}
