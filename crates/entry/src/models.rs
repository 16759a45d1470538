//! The models endpoints of the OpenAI API.

use chestnutreach_config::manifest::Account;
use http_types::{Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use crate::view::{AccountView, ServiceView, View};

/// Response with the models that an account may use.
pub(crate) fn list(view: &View, account: &AccountView) -> Response {
    let Account { services, .. } = &account.account;
    let data: Vec<Value> = view
        .models()
        .filter(|(_, service)| services.contains(&service.name))
        .map(|(model, service)| object(model, service))
        .collect();
    respond(&json!({"object": "list", "data": data}))
}

/// Response that describes one model.
pub(crate) fn one(model: &str, service: &ServiceView) -> Response {
    respond(&object(model, service))
}

/// Decodes a model name from a path; client libraries escape "/".
pub(crate) fn decode(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}

fn object(model: &str, service: &ServiceView) -> Value {
    json!({
        "id": model,
        "object": "model",
        // The API requires this field, and the manifest does not hold it.
        "created": 0,
        "owned_by": service.name,
    })
}

fn respond(body: &Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/json");
    response
}
