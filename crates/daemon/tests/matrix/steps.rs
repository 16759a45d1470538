//! Brings a request to its step and injects the fault there.

use std::{collections::BTreeSet, time::Instant};

use chestnutreach_fleet::{Response, fleet::side_name};
use serde_json::json;

use crate::{
    cell::{Fault, Kind, MAX_TOKENS, PROMPT_TOKENS, Stage, Step},
    driver::{Call, Chain, Driver, plan, spawn},
};

/// Position before which a request is held between tokens, and the position
/// for the second fault.
const BETWEEN_TOKENS_POSITION: u32 = PROMPT_TOKENS + 4;
const SECOND_FAULT_POSITION: u32 = PROMPT_TOKENS + 7;
/// Maximum of attempts to make a call wait for a slot.
const MAX_QUEUE_ATTEMPTS: usize = 5;
/// Position of the last step.
const LAST_POSITION: u32 = PROMPT_TOKENS + MAX_TOKENS - 2;

impl Driver {
    /// Sends the request, injects the fault at the step of the cell, and
    /// returns the response.
    pub fn send_with_fault(&mut self) -> Response {
        match self.cell.step {
            Step::Accepted => self.fault_before_request(),
            Step::AcceptedSingleChain => self.fault_on_single_chain(),
            Step::Queued => self.fault_in_queue(),
            Step::Claimed => self.fault_at_table("hold_answers"),
            Step::Recording => self.fault_at_recording("hold_requests"),
            Step::Recorded => self.fault_at_recording("hold_answers"),
            Step::Answered => self.fault_after_response(),
            Step::Dispatched
            | Step::Prefill
            | Step::BetweenTokens
            | Step::LastToken => self.fault_at_engine(),
        }
    }

    /// A hidden fault affects only a request that is sent to the affected
    /// chain, so the request is steered there. Other faults need no steering:
    /// an entry detects them before it sends a request or by the first one.
    fn fault_before_request(&mut self) -> Response {
        let is_hidden = self.cell.fault.is_hidden();
        if is_hidden {
            self.steer();
        } else {
            self.chain = self.first_chain();
        }
        self.inject_fault();
        let call = self.call();
        let fault_time = Instant::now();
        if is_hidden {
            self.wait_until("the call to be in flight", |driver| {
                let status = driver.fleet.entry_status(0);
                status["in_flight"].as_u64() >= Some(1)
            });
            self.release_steering();
        }
        self.join(call, fault_time)
    }

    fn fault_on_single_chain(&mut self) -> Response {
        self.steer();
        self.inject_fault();
        let call = self.call();
        let answer = self.join(call, Instant::now());
        self.release_steering();
        answer
    }

    fn fault_in_queue(&mut self) -> Response {
        self.steer();
        let names = vec![self.chain.first.clone()];
        let call = self.queue_call(&names);
        self.release_steering();
        let plan = plan(&self.cell);
        let all = [plan.engine_names(), plan.plain_names()].concat();
        self.wait_until("the entry to see all servers present", |driver| {
            let present = driver.fleet.routable_servers(0);
            present.is_some_and(|names| names.len() == all.len())
        });
        let fault_time = Instant::now();
        self.inject_fault();
        self.release(&names);
        let answer = self.join(call, fault_time);
        self.thaw();
        if let Some(filler) = self.filler.take() {
            let (answer, _) = filler.join();
            self.fillers.push(answer.request().to_owned());
        }
        answer
    }

    /// Queues a call behind a filler that occupies the only slot. An engine
    /// that misses its health checks for a moment loses the filler; then no
    /// call waits, and both are sent again.
    fn queue_call(&mut self, names: &[String]) -> Call {
        for _ in 0..MAX_QUEUE_ATTEMPTS {
            self.hold(names, json!({"hold_before_position": 0}));
            let filler = spawn(Kind::Stream, self.fleet.caller(1));
            self.wait_held(names, Some(&filler));
            let call = self.call();
            let mut is_queued = false;
            self.wait_until("the call to be queued", |driver| {
                let status = driver.fleet.side_status(&names[0]);
                is_queued = status["backends"][0]["queued"] == 1;
                let holds_slot = driver.fleet.held_calls(&names[0]) == 1
                    && !call.is_finished()
                    && !filler.is_finished();
                is_queued || !holds_slot
            });
            if is_queued {
                self.filler = Some(filler);
                return call;
            }
            self.release(names);
            for lost in [filler, call] {
                let (answer, _) = lost.join();
                self.fillers.push(answer.request().to_owned());
            }
        }
        panic!("the slot was lost {MAX_QUEUE_ATTEMPTS} times");
    }

    fn fault_at_table(&mut self, hold: &str) -> Response {
        self.fleet.set_faults("table", &json!({hold: true}));
        let call = self.call();
        self.wait_held(&["table".to_owned()], Some(&call));
        let fault_time = Instant::now();
        if let Fault::StoreDown = self.cell.fault {
            let down = json!({hold: true, "down": "unavailable"});
            self.fleet.set_faults("table", &down);
        } else {
            self.inject_fault();
            self.fleet.set_faults("table", &json!({}));
        }
        self.join(call, fault_time)
    }

    fn fault_at_recording(&mut self, hold: &str) -> Response {
        let names = self.servers_of(Stage::Last);
        let hold_point = match self.cell.kind.is_plain() {
            true => json!({"hold_after_position": 0}),
            false => json!({"hold_after_position": LAST_POSITION}),
        };
        self.hold(&names, hold_point);
        let call = self.call();
        self.wait_held(&names, Some(&call));
        self.find_chain();
        self.fleet.set_faults("table", &json!({hold: true}));
        self.release(&names);
        self.wait_held(&["table".to_owned()], None);
        let answer = self.join(call, Instant::now());
        self.inject_fault();
        if self.cell.step == Step::Recording {
            // Without this fault, the table would still run the held write.
            self.fleet.set_faults("table", &json!({"lose_requests": 1}));
            self.wait_until("the write to be lost", |driver| {
                driver.fleet.held_calls("table") == 0
            });
        }
        answer
    }

    fn fault_after_response(&mut self) -> Response {
        let names = self.servers_of(Stage::First);
        self.hold(&names, json!({"hold_before_position": 0}));
        let call = self.call();
        self.wait_held(&names, Some(&call));
        self.find_chain();
        self.release(&names);
        let answer = self.join(call, Instant::now());
        if self.cell.kind.is_keyed() {
            self.wait_until("the outcome to be written", |driver| {
                driver.fleet.entry_status(0)["unsettled"] == 0
            });
        }
        self.inject_fault();
        answer
    }

    fn fault_at_engine(&mut self) -> Response {
        let names = self.servers_of(self.cell.fault.first_affected_stage());
        self.hold(&names, self.hold_point());
        let call = self.call();
        self.wait_held(&names, Some(&call));
        self.find_chain();
        let mut fault_time = Instant::now();
        if let Fault::Twice(_) = self.cell.fault {
            let affected = self
                .chain
                .server(self.cell.fault.first_affected_stage())
                .to_owned();
            let others: Vec<String> =
                names.iter().filter(|n| **n != affected).cloned().collect();
            let second =
                json!({"hold_before_position": SECOND_FAULT_POSITION});
            self.hold(&others, second);
            self.inject_fault();
            self.release(std::slice::from_ref(&affected));
            self.wait_held(&others, Some(&call));
            self.find_chain_excluding(&affected);
            fault_time = Instant::now();
        }
        self.inject_fault();
        self.release(&names);
        self.join(call, fault_time)
    }

    /// Returns the fault setting that holds the request at its step.
    fn hold_point(&self) -> serde_json::Value {
        match self.cell.step {
            Step::Dispatched => json!({"hold_before_position": 0}),
            Step::BetweenTokens => {
                json!({"hold_before_position": BETWEEN_TOKENS_POSITION})
            }
            Step::LastToken if !self.cell.kind.is_plain() => {
                json!({"hold_after_position": LAST_POSITION})
            }
            _ => json!({"hold_after_position": 0}),
        }
    }

    /// Lists all servers outside the first chain as leaving, so that the next
    /// request uses the first chain.
    fn steer(&mut self) {
        let plan = plan(&self.cell);
        self.chain = self.first_chain();
        let kept = [self.chain.first.clone(), self.chain.last.clone()];
        let names = [plan.engine_names(), plan.plain_names()].concat();
        let others: Vec<String> = names
            .iter()
            .filter(|name| !kept.contains(name))
            .map(|name| side_name(name))
            .collect();
        let others: Vec<&str> = others.iter().map(String::as_str).collect();
        self.fleet.set_leaving_vms(&others);
        let kept = Some(BTreeSet::from(kept));
        self.wait_until("the entries to see who drains", |driver| {
            (0..2).all(|entry| driver.fleet.routable_servers(entry) == kept)
        });
    }

    fn first_chain(&self) -> Chain {
        let first = self.servers_of(Stage::First)[0].clone();
        let last = self.servers_of(Stage::Last)[0].clone();
        Chain { first, last }
    }

    fn release_steering(&mut self) {
        self.fleet.set_leaving_vms(&[]);
    }
}
