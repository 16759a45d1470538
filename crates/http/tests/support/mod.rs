//! A server on a loopback socket, and raw exchanges with it.
#![allow(dead_code)]

use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, block_on};
use chestnutreach_http::{ReceivedRequest, ServerOptions, serve_connection};
use http_types::{Response, StatusCode};

/// How long any test waits before it counts as hung.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// Pause between two parts, so that they arrive apart.
const PART_PAUSE: Duration = Duration::from_millis(30);

/// The answer of a handler that is still to come.
pub type Answer = Pin<Box<dyn Future<Output = Response> + Send>>;

/// What a handler was given: "METHOD path body".
pub type Seen = Arc<Mutex<Vec<String>>>;

pub struct Server {
    pub address: SocketAddr,
    pub seen: Seen,
    /// A result for each connection that was served to its end.
    pub ended: async_channel::Receiver<std::io::Result<()>>,
}

impl Server {
    /// Serves with a handler that answers "METHOD path body".
    pub fn echo(options: ServerOptions) -> Server {
        Server::start(options, |received| {
            let text = describe(&received);
            Box::pin(async move { text_response(&text) })
        })
    }

    pub fn start(
        options: ServerOptions,
        handler: impl Fn(ReceivedRequest) -> Answer + Send + Sync + 'static,
    ) -> Server {
        let listener =
            Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let seen = Seen::default();
        let log = seen.clone();
        let (send_end, ended) = async_channel::unbounded();
        let handler = Arc::new(move |received: ReceivedRequest| {
            log.lock().unwrap().push(describe(&received));
            handler(received)
        });
        let accept = async move {
            let executor = Executor::new();
            let serve = async {
                loop {
                    let (socket, _) = listener.accept().await.unwrap();
                    let options = options.clone();
                    let handler = handler.clone();
                    let send_end = send_end.clone();
                    let task = async move {
                        let handle = |received| handler(received);
                        let end =
                            serve_connection(socket, &options, handle).await;
                        let _ = send_end.send(end).await;
                    };
                    executor.spawn(task).detach();
                }
            };
            executor.run(serve).await
        };
        thread::spawn(move || block_on(accept));
        Server { address, seen, ended }
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket.set_nodelay(true).unwrap();
        socket
    }

    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    /// Sends parts one after another and reads until the server closes.
    pub fn exchange(&self, parts: &[&[u8]], is_half_closed: bool) -> String {
        let mut socket = self.connect();
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                thread::sleep(PART_PAUSE);
            }
            // The server may have refused and closed before the last part.
            if socket.write_all(part).is_err() {
                break;
            }
        }
        if is_half_closed {
            let _ = socket.shutdown(Shutdown::Write);
        }
        let mut answer = Vec::new();
        socket.read_to_end(&mut answer).expect("the server closes");
        String::from_utf8(answer).unwrap()
    }
}

pub fn describe(received: &ReceivedRequest) -> String {
    let request = &received.request;
    let body = String::from_utf8_lossy(&received.body);
    format!("{} {} {body}", request.method(), request.url().path())
}

pub fn text_response(text: &str) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response
}

/// Reads until the text contains `end`.
pub fn read_until(socket: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut chunk = [0; 1024];
    while !text.contains(end) {
        let count = socket.read(&mut chunk).expect("an answer in time");
        assert!(count > 0, "closed after {text:?}");
        text.push_str(std::str::from_utf8(&chunk[..count]).unwrap());
    }
    text
}
