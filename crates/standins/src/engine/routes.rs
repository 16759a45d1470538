//! Calls over HTTP.

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

/// Serves until the listener fails; the engine's work runs on the executor.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    options: EngineOptions,
) -> io::Result<()> {
    let engine = Arc::new(Engine::new(options));
    let runner = engine.clone();
    // Tasks end when dropped, with this future.
    let _iterations =
        executor.spawn(async move { runner.scheduler.run().await });
    let reporter = engine.clone();
    let _reports = executor.spawn(async move { reporter.report().await });
    let handle = move |received| {
        let engine = engine.clone();
        async move { engine.handle(received).await }
    };
    serving::serve(executor, listener, handle).await
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    switches: Arc<FaultSwitches>,
    scheduler: Scheduler,
    orders: Orders,
    reported: Mutex<EngineLoad>,
}

#[derive(Serialize)]
struct Released {
    released: usize,
}

impl Engine {
    fn new(options: EngineOptions) -> Engine {
        let switches = Arc::new(FaultSwitches::default());
        let scheduler = Scheduler::new(options.clone(), switches.clone());
        let reported = Mutex::new(scheduler.load());
        let orders = Orders::new(&options);
        Engine { options, switches, scheduler, orders, reported }
    }

    async fn handle(&self, received: ReceivedRequest) -> Reply {
        let record = self.scheduler.record();
        if let Some(response) =
            serving::control(&received, &self.switches, record)
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
                serving::with_faults(&self.switches, run).await
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
            (Method::Get, ["v2", "health", "ready"]) => self.ready(),
            (Method::Post, ["v2", "repository", "models", model, "load"]) => {
                self.load(model, body).await
            }
            (method, ["v2", "models", model, rest @ ..]) => {
                if !self.orders.serves(model) {
                    return no_such(&format!("model {model:?}"));
                }
                self.call_model(method, rest, body).await
            }
            _ => no_such("path"),
        }
    }

    async fn call_model(
        &self,
        method: Method,
        rest: &[&str],
        body: &[u8],
    ) -> Response {
        match (method, rest) {
            (Method::Get, ["ready"]) => self.ready(),
            (Method::Get, ["load-report"]) => self.load_report(),
            (Method::Post, ["infer"]) => self.infer(body).await,
            (Method::Post, ["sequences", "release"]) => self.release(body),
            _ => no_such("path"),
        }
    }

    fn ready(&self) -> Response {
        if self.orders.is_ready() {
            return serving::json(&());
        }
        loading()
    }

    async fn infer(&self, body: &[u8]) -> Response {
        if !self.orders.is_ready() {
            return loading();
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
        self.switches.hold(HoldPoint::Before, &positions).await;
        let results = self.scheduler.infer(layers, rows.collect()).await;
        self.switches.hold(HoldPoint::After, &positions).await;
        match results {
            Some(results) => {
                let model = self.orders.model();
                let body = wire::encode_response(&model, &call.id, &results);
                serving::json_bytes(StatusCode::Ok, body)
            }
            None => serving::error(
                StatusCode::InternalServerError,
                "the engine went down",
            ),
        }
    }

    fn release(&self, body: &[u8]) -> Response {
        serving::parsed(body, |body: ReleaseBody| {
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
        serving::json(&*self.reported.lock().expect("no holder panics"))
    }

    /// Looks at the load once in each lag.
    async fn report(&self) {
        let lag_ms = self.options.report_lag_ms;
        if lag_ms == 0 {
            return;
        }
        loop {
            Timer::after(Duration::from_millis(lag_ms)).await;
            let load = self.scheduler.load();
            *self.reported.lock().expect("no holder panics") = load;
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
        match self.orders.take(&order) {
            Decision::Keep => serving::json(&()),
            Decision::Refuse { held } => old_fencing_number(held),
            Decision::Load => {
                self.load_weights(&order).await;
                serving::json(&())
            }
        }
    }

    async fn load_weights(&self, order: &LoadOrder) {
        let _loading = self.orders.begin_load();
        let layers = order.first_layer..order.end_layer;
        let count = layers.len() as u64;
        self.scheduler.stage().replace_layers(layers);
        let time_ms = count * self.options.load_ms_per_layer;
        if time_ms > 0 {
            Timer::after(Duration::from_millis(time_ms)).await;
        }
    }
}

fn loading() -> Response {
    let status = StatusCode::ServiceUnavailable;
    serving::error(status, "weights are being loaded")
}

fn bad_request(message: &str) -> Response {
    serving::error(StatusCode::BadRequest, message)
}

fn no_such(what: &str) -> Response {
    serving::error(StatusCode::NotFound, &format!("no such {what}"))
}

fn old_fencing_number(held: u64) -> Response {
    let error = format!("fencing number {held} is held");
    let body = ErrorBody { error, fencing_number: Some(held) };
    serving::json_with_status(StatusCode::Conflict, &body)
}
