//! Formats the choices that an entry recorded for a request.

use serde::Deserialize;

use crate::output::Table;

#[derive(Deserialize)]
struct RecordedRequest {
    request: String,
    service: String,
    account: String,
    choices: Vec<RecordedChoice>,
    outcome: Option<String>,
    reason: Option<String>,
    detail: String,
    elapsed_ms: Option<u64>,
}

#[derive(Deserialize)]
struct RecordedChoice {
    at_ms: u64,
    stages: Vec<String>,
    avoided: Vec<String>,
    left_ms: u64,
    first_token_ms: u64,
    total_ms: u64,
    price_micros: u64,
    ended: Option<String>,
    at_fault: Option<String>,
}

/// Formats the response to a query by request id.
pub(super) fn text(json: &str) -> Result<String, serde_json::Error> {
    let request: RecordedRequest = serde_json::from_str(json)?;
    Ok(format!("{}\n{}", request.heading(), request.table()))
}

impl RecordedRequest {
    fn heading(&self) -> String {
        let RecordedRequest { request, service, account, .. } = self;
        let result = self.result();
        format!("request {request} of {account} to {service}: {result}")
    }

    fn result(&self) -> String {
        let Some(elapsed_ms) = self.elapsed_ms else {
            return "under way".to_owned();
        };
        let outcome = match &self.outcome {
            Some(outcome) => outcome.clone(),
            None => "no outcome of its own (the caller hung up, or an \
                     earlier request with its key answered)"
                .to_owned(),
        };
        let why = [self.reason.as_deref(), Some(self.detail.as_str())];
        let why = why.into_iter().flatten().filter(|text| !text.is_empty());
        let why: String = why.map(|text| format!(", {text}")).collect();
        format!("{outcome} after {elapsed_ms} ms{why}")
    }

    fn table(&self) -> String {
        if self.choices.is_empty() {
            return "no chain was chosen".to_owned();
        }
        let mut table = Table::new([
            "AT MS",
            "CHAIN",
            "AVOIDED",
            "LEFT MS",
            "FIRST TOKEN MS",
            "TOTAL MS",
            "PRICE MICROS",
            "ENDED",
            "AT FAULT",
        ]);
        for choice in &self.choices {
            table.push(choice.row());
        }
        table.to_string()
    }
}

impl RecordedChoice {
    fn row(&self) -> [String; 9] {
        let or_dash =
            |text: Option<&String>| text.map_or("-".to_owned(), String::clone);
        let avoided = self.avoided.join(", ");
        [
            self.at_ms.to_string(),
            self.stages.join(" > "),
            or_dash(Some(&avoided).filter(|text| !text.is_empty())),
            self.left_ms.to_string(),
            self.first_token_ms.to_string(),
            self.total_ms.to_string(),
            self.price_micros.to_string(),
            or_dash(self.ended.as_ref()),
            or_dash(self.at_fault.as_ref()),
        ]
    }
}
