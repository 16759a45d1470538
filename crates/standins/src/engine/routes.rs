//! HTTP routes of the engine.

use std::{
    io,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_engine::{
    EngineLoad, LoadOrder, SequenceId,
    order::{ErrorBody, LoadBody, ReleaseBody},
    wire,
};
use chestnutreach_http::ReceivedRequest;
use http_types::{Method, Response, StatusCode};
use serde::Serialize;

use super::{
    options::{EngineOptions, check_layers},
    orders::{Decision, Orders},
    scheduler::Scheduler,
};
use crate::{
    faults::{FaultSwitches, HoldPoint},
    serving::{self, Reply},
};

/// Serves connections until the listener fails. Iterations and load reports
/// run as tasks of the executor.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    options: EngineOptions,
) -> io::Result<()> {
    let engine = Arc::new(Engine::new(options));
    let runner = engine.clone();
    // Both tasks are cancelled when this future drops them.
    let _iterations =
        executor.spawn(async move { runner.scheduler.run().await });
    let reporter = engine.clone();
    let _reports =
        executor.spawn(async move { reporter.refresh_reports().await });
    let handle = move |received| {
        let engine = engine.clone();
        async move { engine.handle(received).await }
    };
    serving::serve(executor, listener, handle).await
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    faults: Arc<FaultSwitches>,
    scheduler: Scheduler,
    orders: Orders,
    reported_load: Mutex<EngineLoad>,
}

#[derive(Serialize)]
struct Released {
    released: usize,
}

impl Engine {
    fn new(options: EngineOptions) -> Engine {
        let faults = Arc::new(FaultSwitches::default());
        let scheduler = Scheduler::new(options.clone(), faults.clone());
        let reported_load = Mutex::new(scheduler.load());
        let orders = Orders::new(&options);
        Engine { options, faults, scheduler, orders, reported_load }
    }

    async fn handle(&self, received: ReceivedRequest) -> Reply {
        let record = self.scheduler.record();
        if let Some(response) =
            serving::handle_control(&received, &self.faults, record)
        {
            return response.into();
        }
        match received.request.url().path() {
            "/stats" => serving::json(&self.scheduler.stats()).into(),
            "/orders" => {
                let orders = self.orders.record().since(0);
                serving::json(&orders).into()
            }
            _ => {
                let run = self.call(&received);
                serving::with_faults(&self.faults, run).await
            }
        }
    }

    async fn call(&self, received: &ReceivedRequest) -> Response {
        let method = received.request.method();
        let path = received.request.url().path().trim_start_matches('/');
        let segments: Vec<&str> = path.split('/').collect();
        let body = &received.body;
        match (method, segments.as_slice()) {
            (Method::Get, ["v2", "health", "live"]) => serving::json(&()),
            (Method::Get, ["v2", "health", "ready"]) => self.readiness(),
            (Method::Post, ["v2", "repository", "models", model, "load"]) => {
                self.load(model, body).await
            }
            (method, ["v2", "models", model, subpath @ ..]) => {
                if !self.orders.serves(model) {
                    return not_found(&format!("model {model:?}"));
                }
                self.call_model(method, subpath, body).await
            }
            _ => not_found("path"),
        }
    }

    async fn call_model(
        &self,
        method: Method,
        subpath: &[&str],
        body: &[u8],
    ) -> Response {
        match (method, subpath) {
            (Method::Get, ["ready"]) => self.readiness(),
            (Method::Get, ["load-report"]) => self.load_report(),
            (Method::Post, ["infer"]) => self.infer(body).await,
            (Method::Post, ["sequences", "release"]) => self.release(body),
            _ => not_found("path"),
        }
    }

    fn readiness(&self) -> Response {
        if self.orders.is_ready() {
            return serving::json(&());
        }
        loading_response()
    }

    async fn infer(&self, body: &[u8]) -> Response {
        if !self.orders.is_ready() {
            return loading_response();
        }
        let call = match wire::decode_request(body) {
            Ok(call) => call,
            Err(e) => return bad_request(&e.to_string()),
        };
        let layers = call.first_layer..call.end_layer;
        let positions: Vec<u32> = call
            .rows
            .iter()
            .filter_map(|row| Some(row.step.as_ref().ok()?.position))
            .collect();
        let rows = call.rows.into_iter().map(|row| (row.sequence, row.step));
        self.faults.hold(HoldPoint::Before, &positions).await;
        let results = self.scheduler.infer(layers, rows.collect()).await;
        self.faults.hold(HoldPoint::After, &positions).await;
        match results {
            Some(results) => {
                let model = self.orders.model();
                let body = wire::encode_response(&model, &call.id, &results);
                serving::json_bytes(StatusCode::Ok, body)
            }
            None => serving::error(
                StatusCode::InternalServerError,
                "the engine went down before all rows had run",
            ),
        }
    }

    fn release(&self, body: &[u8]) -> Response {
        serving::with_json_body(body, |body: ReleaseBody| {
            let ids = body.sequences.iter().map(|text| text.parse());
            match ids.collect::<Result<Vec<SequenceId>, _>>() {
                Ok(ids) => {
                    let released = self.scheduler.release(&ids);
                    serving::json(&Released { released })
                }
                Err(e) => bad_request(&e.to_string()),
            }
        })
    }

    fn load_report(&self) -> Response {
        if self.options.report_lag_ms == 0 {
            return serving::json(&self.scheduler.load());
        }
        serving::json(&*self.reported_load.lock().expect("no holder panics"))
    }

    /// Refreshes the load report at the configured interval.
    async fn refresh_reports(&self) {
        let lag_ms = self.options.report_lag_ms;
        if lag_ms == 0 {
            return;
        }
        loop {
            Timer::after(Duration::from_millis(lag_ms)).await;
            let load = self.scheduler.load();
            *self.reported_load.lock().expect("no holder panics") = load;
        }
    }

    async fn load(&self, model: &str, body: &[u8]) -> Response {
        let order = match serde_json::from_slice::<LoadBody>(body) {
            Ok(body) => body.into_order(model),
            Err(e) => return bad_request(&e.to_string()),
        };
        let LoadOrder { first_layer, end_layer, .. } = order;
        let layer_count = self.options.layer_count;
        if let Err(e) = check_layers(first_layer, end_layer, layer_count) {
            return bad_request(&e.to_string());
        }
        match self.orders.handle(&order) {
            Decision::Keep => serving::json(&()),
            Decision::Refuse { held } => old_fencing_number(held),
            Decision::Load => {
                self.load_weights(&order).await;
                serving::json(&())
            }
        }
    }

    async fn load_weights(&self, order: &LoadOrder) {
        let _guard = self.orders.start_load();
        let layers = order.first_layer..order.end_layer;
        let count = layers.len() as u64;
        self.scheduler.stage().replace_layers(layers);
        let time_ms = count * self.options.load_ms_per_layer;
        if time_ms > 0 {
            Timer::after(Duration::from_millis(time_ms)).await;
        }
    }
}

fn loading_response() -> Response {
    let status = StatusCode::ServiceUnavailable;
    serving::error(status, "the engine is loading weights")
}

fn bad_request(message: &str) -> Response {
    serving::error(StatusCode::BadRequest, message)
}

fn not_found(what: &str) -> Response {
    serving::error(StatusCode::NotFound, &format!("no such {what}"))
}

fn old_fencing_number(held: u64) -> Response {
    let error = format!("the order's fencing number is older than {held}");
    let body = ErrorBody { error, fencing_number: Some(held) };
    serving::json_with_status(StatusCode::Conflict, &body)
}
