//! Plots as inline SVG.

use std::fmt::Write as _;

use super::{report::burn_rate, series::Series, window::format_length};

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 160.0;
const LEFT_MARGIN: f64 = 56.0;
const BOTTOM_MARGIN: f64 = 22.0;
const TOP_MARGIN: f64 = 10.0;
/// Minimum of the top of the burn rate scale, so that the line at 1 is
/// visible.
const MIN_PLOT_MAX_RATE: f64 = 2.0;

/// One step of a plot, from one sample to the next.
struct Step {
    from_ms: u64,
    to_ms: u64,
    value: f64,
    /// Second value of an overlaid bar.
    bad: f64,
}

/// Plots the burn rate of a service between samples, with a line at 1.
pub(super) fn burn_plot(
    series: &Series,
    service: &str,
    budget: f64,
) -> String {
    let steps = steps(series, service, |increase| {
        let share = increase.bad_share().unwrap_or(0.0);
        (burn_rate(share, budget).unwrap_or(0.0), 0.0)
    });
    let top = max_value(&steps).max(MIN_PLOT_MAX_RATE);
    let axes = Axes::new(series, top);
    let mut body = axes.grid("burn rate");
    let y = axes.y(1.0);
    let _ = write!(
        body,
        "<line class=\"limit\" x1=\"{LEFT_MARGIN}\" x2=\"{WIDTH}\" \
         y1=\"{y:.1}\" y2=\"{y:.1}\"/>"
    );
    let points: Vec<String> = steps
        .iter()
        .flat_map(|step| {
            let y = axes.y(step.value);
            [step.from_ms, step.to_ms]
                .map(|at| format!("{:.1},{y:.1}", axes.x(at)))
        })
        .collect();
    let points = points.join(" ");
    let _ = write!(body, "<polyline class=\"rate\" points=\"{points}\"/>");
    svg("Burn rate from sample to sample", &body)
}

/// Plots good and bad requests of a service between samples.
pub(super) fn request_plot(series: &Series, service: &str) -> String {
    let steps = steps(series, service, |increase| {
        let bad = increase.bad() as f64;
        (increase.requests() as f64, bad)
    });
    let axes = Axes::new(series, max_value(&steps).max(1.0));
    let mut body = axes.grid("requests");
    for step in &steps {
        body.push_str(&axes.bar("good", step, step.value));
        body.push_str(&axes.bar("bad", step, step.bad));
    }
    svg("Requests from sample to sample, bad ones in front", &body)
}

fn steps(
    series: &Series,
    service: &str,
    values: impl Fn(&super::series::Increase) -> (f64, f64),
) -> Vec<Step> {
    let step = |(to_ms, increase): (u64, super::series::Increase)| {
        let (value, bad) = values(&increase);
        Step { from_ms: to_ms - increase.span_ms, to_ms, value, bad }
    };
    series.steps(service).map(step).collect()
}

fn max_value(steps: &[Step]) -> f64 {
    steps.iter().map(|step| step.value).fold(0.0, f64::max)
}

/// Maps times and values to coordinates.
struct Axes {
    first_ms: u64,
    span_ms: u64,
    top: f64,
}

impl Axes {
    fn new(series: &Series, top: f64) -> Axes {
        let first_ms = series.points()[0].at_unix_ms;
        Axes { first_ms, span_ms: series.span_ms(), top }
    }

    fn x(&self, at_ms: u64) -> f64 {
        let span = self.span_ms.max(1) as f64;
        let share = (at_ms - self.first_ms) as f64 / span;
        LEFT_MARGIN + share * (WIDTH - LEFT_MARGIN)
    }

    fn y(&self, value: f64) -> f64 {
        let height = HEIGHT - TOP_MARGIN - BOTTOM_MARGIN;
        TOP_MARGIN + height * (1.0 - value / self.top)
    }

    fn bar(&self, class: &str, step: &Step, value: f64) -> String {
        let (x, y) = (self.x(step.from_ms), self.y(value));
        let width = self.x(step.to_ms) - x;
        let height = self.y(0.0) - y;
        format!(
            "<rect class=\"{class}\" x=\"{x:.1}\" y=\"{y:.1}\" \
             width=\"{width:.1}\" height=\"{height:.1}\"/>"
        )
    }

    fn grid(&self, unit: &str) -> String {
        let (floor, ceiling) = (self.y(0.0), self.y(self.top));
        let below = HEIGHT - 6.0;
        let ago = format_length(self.span_ms);
        let top = format!("{:.1}", self.top);
        format!(
            "<line class=\"axis\" x1=\"{LEFT_MARGIN}\" x2=\"{WIDTH}\" \
             y1=\"{floor:.1}\" y2=\"{floor:.1}\"/>\
             <line class=\"axis\" x1=\"{LEFT_MARGIN}\" x2=\"{LEFT_MARGIN}\" \
             y1=\"{ceiling:.1}\" y2=\"{floor:.1}\"/>\
             <text x=\"0\" y=\"{:.1}\">{top}</text>\
             <text x=\"0\" y=\"{floor:.1}\">0</text>\
             <text x=\"{LEFT_MARGIN}\" y=\"{below:.1}\">{ago} ago</text>\
             <text x=\"{WIDTH}\" y=\"{below:.1}\" class=\"end\">now</text>\
             <text x=\"{:.1}\" y=\"{below:.1}\">{unit}</text>",
            ceiling + 4.0,
            WIDTH / 2.0,
        )
    }
}

fn svg(label: &str, body: &str) -> String {
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" \
         aria-label=\"{label}\">{body}</svg>"
    )
}
