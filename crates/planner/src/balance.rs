//! Distributes whole layers to engines so that the lowest KV capacity of a
//! layer is as high as possible.
//!
//! Engines lie in rows. Each row begins at layer 0 and holds consecutive
//! layers, so only the numbers of layers and the order of engines are open.
//! An engine with little memory has few layers, and one layer more or less
//! changes its capacity by half. Such engines must lie opposite engines that
//! make up for the difference, which single steps from rounded shares do not
//! find. The search therefore accepts steps that are slightly worse, by a
//! threshold that falls to zero. Its random numbers have fixed seeds: equal
//! engines always get the same layers.

use crate::layout_model::{LayoutModel, MIN_KV_TOKENS};

/// Number of searches from the same start.
const SEARCHES: u64 = 6;
/// Number of steps of a search.
const STEPS: usize = 8000;
/// Share of the common capacity that whole layers can be expected to reach.
/// A layer with more has no shortfall.
const TARGET_SHARE: f64 = 1.0;
/// Power of a shortfall. A large shortfall counts more than two small ones.
const SHORTFALL_POWER: i32 = 4;
/// Threshold of the first step, as a fraction of the first shortfall.
const FIRST_THRESHOLD_SHARE: f64 = 0.3;

/// An engine with the number of layers that it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Holding {
    pub(crate) engine: usize,
    pub(crate) memory_mb: f64,
    pub(crate) layers: u32,
}

/// Engines that hold consecutive layers from layer 0.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Row {
    pub(crate) holdings: Vec<Holding>,
    /// Minimum number of layers; a row that holds all layers has no other
    /// number.
    pub(crate) min_layers: u32,
}

impl Row {
    pub(crate) fn layers(&self) -> u32 {
        self.holdings.iter().map(|holding| holding.layers).sum()
    }
}

/// The result of a search.
#[derive(Clone, Debug)]
pub(crate) struct Balanced {
    pub(crate) rows: Vec<Row>,
    /// Lowest KV capacity of a layer, in tokens.
    pub(crate) min_kv_tokens: f64,
}

/// Rows with the highest lowest KV capacity that the searches find.
/// `kv_tokens` is the capacity that each layer would have if engines could
/// hold parts of layers.
pub(crate) fn balance(
    model: &LayoutModel,
    rows: &[Row],
    kv_tokens: f64,
) -> Balanced {
    let target = TARGET_SHARE * kv_tokens;
    let mut best = Balanced { rows: rows.to_vec(), min_kv_tokens: f64::MIN };
    for seed in 0..SEARCHES {
        let found = Search::new(model, rows, target).run(seed);
        if found.min_kv_tokens > best.min_kv_tokens {
            best = found;
        }
        if best.min_kv_tokens >= target {
            break;
        }
    }
    best
}

struct Search<'a> {
    model: &'a LayoutModel,
    target_kv_tokens: f64,
    rows: Vec<Row>,
    /// KV capacity by layer, in tokens.
    kv_tokens: Vec<f64>,
    shortfall: f64,
    best: Balanced,
}

impl Search<'_> {
    fn new<'a>(
        model: &'a LayoutModel,
        rows: &[Row],
        target_kv_tokens: f64,
    ) -> Search<'a> {
        let best = Balanced { rows: rows.to_vec(), min_kv_tokens: 0.0 };
        let mut search = Search {
            model,
            target_kv_tokens,
            rows: rows.to_vec(),
            kv_tokens: vec![0.0; model.layer_count as usize],
            shortfall: 0.0,
            best,
        };
        for row in rows {
            search.add(row, 1.0);
        }
        (search.shortfall, search.best.min_kv_tokens) = search.evaluate();
        search
    }

    fn run(mut self, seed: u64) -> Balanced {
        let mut rng = fastrand::Rng::with_seed(seed);
        for step in 0..STEPS {
            if self.best.min_kv_tokens >= self.target_kv_tokens {
                break;
            }
            let remaining = 1.0 - step as f64 / STEPS as f64;
            self.step(&mut rng, FIRST_THRESHOLD_SHARE * remaining);
        }
        self.best
    }

    /// Adds the capacity of a row, or removes it with a sign of -1.
    fn add(&mut self, row: &Row, sign: f64) {
        let mut first = 0;
        for holding in &row.holdings {
            let own = self.model.kv_tokens(holding.memory_mb, holding.layers);
            let end = first + holding.layers as usize;
            for kv_tokens in &mut self.kv_tokens[first..end] {
                *kv_tokens += sign * own;
            }
            first = end;
        }
    }

    /// Sum of the shortfalls of all layers, and the lowest capacity.
    fn evaluate(&self) -> (f64, f64) {
        let mut shortfalls = 0.0;
        let mut min = f64::MAX;
        for kv_tokens in &self.kv_tokens {
            let shortfall = 1.0 - kv_tokens / self.target_kv_tokens;
            shortfalls += shortfall.max(0.0).powi(SHORTFALL_POWER);
            min = min.min(*kv_tokens);
        }
        (shortfalls, min)
    }

    /// Tries one change, and keeps it if the shortfall grows by no more than
    /// the threshold.
    fn step(&mut self, rng: &mut fastrand::Rng, threshold: f64) {
        let at = rng.usize(..self.rows.len());
        let changed = match rng.u32(..5) {
            0 => self.exchanged(at, rng.usize(..self.rows.len()), rng),
            _ => self.resized(at, rng).map(|row| vec![(at, row)]),
        };
        let Some(changed) = changed else { return };
        let old = self.set(changed);
        let (shortfall, min) = self.evaluate();
        if shortfall > self.shortfall * (1.0 + threshold) {
            self.set(old);
            return;
        }
        self.shortfall = shortfall;
        if min > self.best.min_kv_tokens {
            self.best.min_kv_tokens = min;
            self.best.rows.clone_from(&self.rows);
        }
    }

    /// Replaces rows, and returns the rows that they replace.
    fn set(&mut self, changed: Vec<(usize, Row)>) -> Vec<(usize, Row)> {
        let replace = |(at, row): (usize, Row)| {
            self.add(&row, 1.0);
            let old = std::mem::replace(&mut self.rows[at], row);
            self.add(&old, -1.0);
            (at, old)
        };
        changed.into_iter().map(replace).collect()
    }

    /// Two rows, or one, with two engines exchanged.
    fn exchanged(
        &self,
        at: usize,
        other: usize,
        rng: &mut fastrand::Rng,
    ) -> Option<Vec<(usize, Row)>> {
        let (a, b) = (self.pick(at, rng)?, self.pick(other, rng)?);
        let mut row = self.rows[at].clone();
        if at == other {
            row.holdings.swap(a, b);
            return Some(vec![(at, row)]);
        }
        let mut other_row = self.rows[other].clone();
        let (layers, other_layers) =
            (row.holdings[a].layers, other_row.holdings[b].layers);
        std::mem::swap(&mut row.holdings[a], &mut other_row.holdings[b]);
        row.holdings[a].layers = layers;
        other_row.holdings[b].layers = other_layers;
        let is_allowed = self.is_allowed(&row, [a, a])
            && self.is_allowed(&other_row, [b, b]);
        is_allowed.then(|| vec![(at, row), (other, other_row)])
    }

    fn pick(&self, at: usize, rng: &mut fastrand::Rng) -> Option<usize> {
        let count = self.rows[at].holdings.len();
        (count > 0).then(|| rng.usize(..count))
    }

    /// A row with a layer given from one engine to another, or with a layer
    /// more or less; `None` if that is not allowed.
    fn resized(&self, at: usize, rng: &mut fastrand::Rng) -> Option<Row> {
        let mut row = self.rows[at].clone();
        let (from, to) = (self.pick(at, rng)?, self.pick(at, rng)?);
        let is_whole = row.min_layers == self.model.layer_count;
        let change = rng.u32(..3);
        if is_whole || change != 1 {
            row.holdings[from].layers =
                row.holdings[from].layers.checked_sub(1)?;
        }
        if is_whole || change != 2 {
            row.holdings[to].layers += 1;
        }
        self.is_allowed(&row, [from, to]).then_some(row)
    }

    fn is_allowed(&self, row: &Row, changed: [usize; 2]) -> bool {
        let fits = |at: usize| {
            let holding = &row.holdings[at];
            holding.layers > 0
                && self.model.kv_tokens(holding.memory_mb, holding.layers)
                    >= MIN_KV_TOKENS
        };
        let layers = row.layers();
        changed.into_iter().all(fits)
            && layers >= row.min_layers
            && layers <= self.model.layer_count
    }
}
