//! A side process with scripted replies.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
};

use async_executor::Executor;
use chestnutreach_protocol::{
    Identity, Link, LinkEvent, LinkOptions, Links,
    wire::{
        self, FailureReason, FinishReason, RefusalReason, Role, frame::Body,
        output::Part,
    },
};

use super::{TIMEOUT, listen};

/// One action of the side process for a request.
#[derive(Clone, Debug)]
pub enum Reply {
    Accept,
    Token(&'static str),
    Head(u32, Vec<(&'static str, &'static str)>),
    Data(&'static [u8]),
    Finish,
    Refuse(RefusalReason, u32),
    Fail(FailureReason),
    CloseLink,
}

/// A side process that replies by script and records runs and cancels.
pub struct FakeSide {
    address: SocketAddr,
    shared: Arc<Shared>,
    runs: mpsc::Receiver<wire::Run>,
    cancels: mpsc::Receiver<wire::Cancel>,
}

struct Shared {
    /// Replies to the next requests; the last entry applies to all later ones.
    scripts: Mutex<VecDeque<Vec<Reply>>>,
    last_run: Mutex<Option<(Link, wire::Run, u32)>>,
    runs: mpsc::Sender<wire::Run>,
    cancels: mpsc::Sender<wire::Cancel>,
}

impl FakeSide {
    pub fn start(executor: &Arc<Executor<'static>>) -> FakeSide {
        let (runs_sender, runs) = mpsc::channel();
        let (cancels_sender, cancels) = mpsc::channel();
        let shared = Arc::new(Shared {
            scripts: Mutex::default(),
            last_run: Mutex::default(),
            runs: runs_sender,
            cancels: cancels_sender,
        });
        let handler = {
            let shared = shared.clone();
            Arc::new(move |event| shared.handle(event))
        };
        let identity = Identity::new("side-1", Role::Side, "hall-medina");
        let options = LinkOptions::new();
        let links = Links::new(identity, options, executor.clone(), handler);
        let (listener, address) = listen();
        links.listen(listener);
        FakeSide { address, shared, runs, cancels }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the replies to all later requests.
    pub fn set_replies(&self, replies: &[Reply]) {
        self.set_reply_sequence(&[replies]);
    }

    /// Sets the replies to the next requests; the last entry applies to all
    /// later ones.
    pub fn set_reply_sequence(&self, scripts: &[&[Reply]]) {
        let scripts = scripts.iter().map(|replies| replies.to_vec());
        *self.shared.scripts.lock().unwrap() = scripts.collect();
    }

    /// Sends further replies to the last received request.
    pub fn continue_last_run(&self, replies: &[Reply]) {
        let mut last = self.shared.last_run.lock().unwrap();
        let (link, run, position) =
            last.as_mut().expect("a request was received");
        send_replies(link, run, position, replies);
    }

    /// Waits for the next request.
    pub fn next_run(&self) -> wire::Run {
        self.runs.recv_timeout(TIMEOUT).expect("a request is received")
    }

    /// Takes all received requests and returns their number.
    pub fn take_run_count(&self) -> usize {
        self.runs.try_iter().count()
    }

    /// Waits for the next cancelled request.
    pub fn next_cancel(&self) -> wire::Cancel {
        self.cancels.recv_timeout(TIMEOUT).expect("a request is cancelled")
    }
}

impl Shared {
    fn handle(&self, event: LinkEvent) {
        match event {
            LinkEvent::Frame(link, Body::Run(run)) => self.run(link, run),
            LinkEvent::Frame(_, Body::Cancel(cancel)) => {
                let _ = self.cancels.send(cancel);
            }
            _ => {}
        }
    }

    fn run(&self, link: Link, run: wire::Run) {
        let replies = {
            let mut scripts = self.scripts.lock().unwrap();
            match scripts.len() {
                0 | 1 => scripts.front().cloned().unwrap_or_default(),
                _ => scripts.pop_front().unwrap_or_default(),
            }
        };
        // Recorded before the caller can get a response.
        let mut last = self.last_run.lock().unwrap();
        let _ = self.runs.send(run.clone());
        let mut position = 0;
        send_replies(&link, &run, &mut position, &replies);
        *last = Some((link, run, position));
    }
}

fn send_replies(
    link: &Link,
    run: &wire::Run,
    position: &mut u32,
    replies: &[Reply],
) {
    for reply in replies {
        if matches!(reply, Reply::CloseLink) {
            link.close(chestnutreach_protocol::CloseReason::Lost);
            return;
        }
        let _ = link.send(to_frame(run, position, reply));
    }
}

fn to_frame(run: &wire::Run, position: &mut u32, reply: &Reply) -> Body {
    let (request, attempt) = (run.request, run.attempt);
    let mut output = |part| {
        let at = *position;
        *position += 1;
        let part = Some(part);
        Body::Output(wire::Output { request, attempt, position: at, part })
    };
    match reply {
        Reply::Accept => Body::Accepted(wire::Accepted { request, attempt }),
        Reply::Token(text) => {
            let text = (*text).to_owned();
            output(Part::Token(wire::Token { token: 1, text }))
        }
        Reply::Head(status, headers) => {
            let headers = headers.iter().map(|(name, value)| wire::Header {
                name: (*name).to_owned(),
                value: (*value).to_owned(),
            });
            let headers = headers.collect();
            output(Part::Head(wire::PlainHead { status: *status, headers }))
        }
        Reply::Data(data) => output(Part::Data(data.to_vec())),
        Reply::Finish => Body::Finished(wire::Finished {
            request,
            attempt,
            output_count: *position,
            finish: FinishReason::Stop.into(),
            prompt_tokens: 5,
            cached_tokens: 2,
            ..wire::Finished::default()
        }),
        Reply::Refuse(reason, retry_after_ms) => {
            Body::Refused(wire::Refused {
                request,
                attempt,
                reason: (*reason).into(),
                backend: run.chain[0].backend.clone(),
                retry_after_ms: *retry_after_ms,
                ..wire::Refused::default()
            })
        }
        Reply::Fail(reason) => Body::Failed(wire::Failed {
            request,
            attempt,
            reason: (*reason).into(),
            backend: run.chain[0].backend.clone(),
            detail: "scripted failure".to_owned(),
        }),
        Reply::CloseLink => unreachable!("closing the link sends no frame"),
    }
}
