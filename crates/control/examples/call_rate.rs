//! Measures control calls per second over one loopback connection.

use std::{
    error::Error, net::TcpListener, sync::Arc, thread, time::Duration,
    time::Instant,
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_control::{
    BackendStatus, ControlClient, ControlHandler, ControlRefusal,
    ExplainQuery, GenerationInfo, NodeInfo, NodeStatus, serve_control,
};

const CALLS: u32 = 20_000;
const PART_CALLS: u32 = 200;
const PART_BYTES: usize = 256 << 10;

struct Node;

impl ControlHandler for Node {
    fn info(&self) -> NodeInfo {
        NodeInfo::default()
    }

    fn status(&self) -> NodeStatus {
        let backends = vec![BackendStatus::default(); 2];
        NodeStatus { backends, ..NodeStatus::default() }
    }

    fn drain(&self, _: Option<&str>) -> Result<(), ControlRefusal> {
        Ok(())
    }

    fn undrain(&self, _: Option<&str>) -> Result<(), ControlRefusal> {
        Ok(())
    }

    fn generation(&self) -> GenerationInfo {
        GenerationInfo { root_digest: vec![7; 32], ..Default::default() }
    }

    fn manifest_part(&self, _: &[u8]) -> Option<Vec<u8>> {
        Some(vec![7; PART_BYTES])
    }

    fn explain(&self, _: &ExplainQuery) -> Result<String, ControlRefusal> {
        Ok("{}".to_owned())
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let serving =
            serve_control(listener, executor.clone(), Arc::new(Node));
        async_io::block_on(executor.run(serving))
    });
    async_io::block_on(async {
        let timeout = Duration::from_secs(5);
        let client = ControlClient::connect(address, timeout).await?;
        let start = Instant::now();
        for _ in 0..CALLS {
            client.generation().await?;
        }
        report("generation", CALLS, start);
        let start = Instant::now();
        for _ in 0..CALLS {
            client.status().await?;
        }
        report("status", CALLS, start);
        let start = Instant::now();
        for _ in 0..PART_CALLS {
            client.manifest_part(&[7; 32]).await?;
        }
        report("manifest_part of 256 KiB", PART_CALLS, start);
        Ok(())
    })
}

fn report(name: &str, calls: u32, start: Instant) {
    let elapsed_s = start.elapsed().as_secs_f64();
    let rate = f64::from(calls) / elapsed_s;
    println!("{name}: {rate:.0} calls/s, {:.1} us a call", 1e6 / rate);
}
