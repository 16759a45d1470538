//! Formats the choice that an entry would make now.

use serde::Deserialize;

use crate::output::Table;

#[derive(Deserialize)]
struct HypotheticalChoice {
    stages: Vec<String>,
    first_token_ms: u64,
    total_ms: u64,
    price_micros: u64,
    cost: f64,
    no_chain: Option<String>,
    retry_after_ms: Option<u64>,
    candidates: Vec<Candidate>,
}

#[derive(Deserialize)]
struct Candidate {
    backend: String,
    first_layer: u32,
    end_layer: u32,
    left_out: Option<String>,
    cost: Option<Cost>,
    is_chosen: bool,
}

#[derive(Deserialize)]
struct Cost {
    wait_ms: f64,
    prompt_ms: f64,
    step_ms: f64,
    price_micros: f64,
    utilisation: f64,
    weighted_price: f64,
    weighted_load: f64,
    weighted: f64,
}

/// Formats the response to a query for a described request.
pub(super) fn text(json: &str) -> Result<String, serde_json::Error> {
    let choice: HypotheticalChoice = serde_json::from_str(json)?;
    Ok(format!("{}\n\n{}", choice.heading(), choice.table()))
}

impl HypotheticalChoice {
    fn heading(&self) -> String {
        if let Some(why) = &self.no_chain {
            let retry_after_ms = self.retry_after_ms.unwrap_or(0);
            return format!("no chain: {why}; again in {retry_after_ms} ms");
        }
        let chain = self.stages.join(" > ");
        let HypotheticalChoice {
            first_token_ms, total_ms, price_micros, ..
        } = self;
        format!(
            "chain: {chain}\n\
             first token after {first_token_ms} ms, whole after {total_ms} \
             ms, price {price_micros} micros, cost {:.1}",
            self.cost,
        )
    }

    fn table(&self) -> String {
        let mut table = Table::new([
            "BACKEND SERVER",
            "LAYERS",
            "RESULT",
            "WEIGHTED",
            "WAIT MS",
            "PROMPT MS",
            "STEP MS",
            "PRICE MICROS",
            "UTILISATION",
            "WEIGHTED PRICE",
            "WEIGHTED LOAD",
        ]);
        for candidate in &self.candidates {
            table.push(candidate.row());
        }
        table.to_string()
    }
}

impl Candidate {
    fn result(&self) -> String {
        match (&self.left_out, self.is_chosen) {
            (Some(reason), _) => {
                format!("left out: {}", reason.replace('_', " "))
            }
            (None, true) => "chosen".to_owned(),
            (None, false) => "not chosen".to_owned(),
        }
    }

    fn row(&self) -> [String; 11] {
        let component = |select: fn(&Cost) -> f64| {
            let cost = self.cost.as_ref();
            cost.map_or("-".to_owned(), |c| format!("{:.2}", select(c)))
        };
        [
            self.backend.clone(),
            format!("{}..{}", self.first_layer, self.end_layer),
            self.result(),
            component(|c| c.weighted),
            component(|c| c.wait_ms),
            component(|c| c.prompt_ms),
            component(|c| c.step_ms),
            component(|c| c.price_micros),
            component(|c| c.utilisation),
            component(|c| c.weighted_price),
            component(|c| c.weighted_load),
        ]
    }
}
