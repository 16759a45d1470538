//! A server on a loopback socket, and raw exchanges of bytes with it.
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

/// Time after which a test that waits counts as hung.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two parts, so that the server reads them separately.
const PART_PAUSE: Duration = Duration::from_millis(30);

/// A handler's pending response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Requests that reached the handler, as "METHOD path body".
pub type HandledRequests = Arc<Mutex<Vec<String>>>;

pub struct Server {
    pub address: SocketAddr,
    pub handled: HandledRequests,
    /// The result of each connection that has ended.
    pub ended: async_channel::Receiver<std::io::Result<()>>,
}

impl Server {
    /// Starts a server that responds with "METHOD path body".
    pub fn echo(options: ServerOptions) -> Server {
        Server::start(options, |received| {
            let text = describe(&received);
            Box::pin(async move { text_response(&text) })
        })
    }

    pub fn start(
        options: ServerOptions,
        handler: impl Fn(ReceivedRequest) -> ResponseFuture + Send + Sync + 'static,
    ) -> Server {
        let listener =
            Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let handled = HandledRequests::default();
        let log = handled.clone();
        let (send_result, ended) = async_channel::unbounded();
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
                    let send_result = send_result.clone();
                    let task = async move {
                        let handle = |received| handler(received);
                        let result =
                            serve_connection(socket, &options, handle).await;
                        let _ = send_result.send(result).await;
                    };
                    executor.spawn(task).detach();
                }
            };
            executor.run(serve).await
        };
        thread::spawn(move || block_on(accept));
        Server { address, handled, ended }
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.set_nodelay(true).unwrap();
        socket
    }

    pub fn handled(&self) -> Vec<String> {
        self.handled.lock().unwrap().clone()
    }

    /// Sends parts one after another and reads until the server closes the
    /// connection.
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
        let mut response = Vec::new();
        socket.read_to_end(&mut response).expect("the server closes");
        String::from_utf8(response).unwrap()
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
        let count =
            socket.read(&mut chunk).expect("a response before the timeout");
        assert!(count > 0, "closed after {text:?}");
        text.push_str(std::str::from_utf8(&chunk[..count]).unwrap());
    }
    text
}
