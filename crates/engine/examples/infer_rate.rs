//! Measures inference calls per second against one engine.
//!
//! `cargo run --release -p chestnutreach-engine --example infer_rate
//! [ADDRESS]`. Without an address, the example starts a stand-in engine in
//! this process. The engine must hold all 24 layers of `desk-llm`.

use std::{
    env,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::block_on;
use chestnutreach_engine::{
    EngineClient, SequenceId, SequenceStep, StepInput, wire,
};
use chestnutreach_standins::{
    engine::EngineOptions, standin_thread::StandinThread,
};

const MODEL: &str = "desk-llm";
const LAYER_COUNT: u32 = 24;
const MEASURE_TIME: Duration = Duration::from_secs(2);
const BATCHES: [usize; 2] = [1, 32];
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Activation size of one position in the codec measurement: 4096 16-bit
/// floats.
const ACTIVATION_BYTES: usize = 8192;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = EngineOptions::new(MODEL, 0, LAYER_COUNT, LAYER_COUNT)?;
    let running = StandinThread::engine(options.cache_tokens(u64::MAX))?;
    let address = match env::args().nth(1) {
        Some(address) => address.parse::<SocketAddr>()?,
        None => running.address(),
    };
    let client = EngineClient::new(address, MODEL);
    for batch in BATCHES {
        measure_codec(batch);
        block_on(measure_calls(&client, batch))?;
    }
    Ok(())
}

fn steps(batch: usize, input: &StepInput) -> Vec<SequenceStep> {
    let step = |row| SequenceStep {
        sequence: SequenceId { request: row as u128, attempt: batch as u32 },
        position: 0,
        priority: 2,
        input: input.clone(),
        parameters_json: Vec::new(),
    };
    (0..batch).map(step).collect()
}

/// Measures calls with one prompt per sequence, followed by tokens.
async fn measure_calls(
    client: &EngineClient,
    batch: usize,
) -> Result<(), Box<dyn std::error::Error>> {
    let prompt = StepInput::Prompt {
        request_json: b"{\"prompt\":\"a b c\"}".to_vec(),
        delivered_tokens: Vec::new(),
    };
    let mut steps = steps(batch, &prompt);
    client.infer(0, LAYER_COUNT, &steps, CALL_TIMEOUT).await?;
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < MEASURE_TIME {
        for step in &mut steps {
            step.position = 3 + calls;
            step.input = StepInput::Token(calls);
        }
        let results =
            client.infer(0, LAYER_COUNT, &steps, CALL_TIMEOUT).await?;
        results.into_iter().collect::<Result<Vec<_>, _>>()?;
        calls += 1;
    }
    report("call", batch, calls.into(), start.elapsed());
    Ok(())
}

/// Measures the encoding and decoding of a request with activations, without a
/// network.
fn measure_codec(batch: usize) {
    let bytes = vec![7; ACTIVATION_BYTES];
    let steps = steps(batch, &StepInput::Activation { span: 1, bytes });
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < MEASURE_TIME {
        let body = wire::encode_request("c", 0, LAYER_COUNT, &steps);
        let call = wire::decode_request(&body).expect("a valid request");
        assert_eq!(call.rows.len(), batch);
        calls += 1;
    }
    report("encode and decode 8 KiB rows", batch, calls, start.elapsed());
}

fn report(what: &str, batch: usize, calls: u64, time: Duration) {
    let rate_per_s = calls as f64 / time.as_secs_f64();
    let each_us = time.as_micros() as f64 / calls as f64;
    println!(
        "{what}, batch {batch}: {rate_per_s:.0} calls/s, {each_us:.1} us \
         per call, {:.2} us per row",
        each_us / batch as f64
    );
}
