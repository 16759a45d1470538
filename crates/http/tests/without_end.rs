//! Peers that send bytes without an end and without a pause.

use std::{
    future::poll_fn,
    io::{ErrorKind, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    task::Poll,
    thread,
    time::Duration,
};

use async_io::block_on;
use chestnutreach_http::relay::{Outbound, ResponseBody};

/// Bytes that a reader may take before it lets others run: five reads.
const MAX_TURN_BYTES: usize = 5 * (16 << 10);
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that sends these bytes once and those again and again. The
/// receiver gets a message once the buffers of a connection are full.
fn server(
    begin: &'static [u8],
    repeated: Vec<u8>,
) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, is_full) = mpsc::channel();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        socket.write_all(begin).unwrap();
        send_without_end(&mut socket, &repeated, &sender);
    });
    (address, is_full)
}

fn send_without_end(
    socket: &mut TcpStream,
    repeated: &[u8],
    is_full: &mpsc::Sender<()>,
) {
    socket.set_nonblocking(true).unwrap();
    loop {
        match socket.write(repeated) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                // The test may have ended.
                let _ = is_full.send(());
                thread::sleep(Duration::from_millis(1));
            }
            Err(_) => return,
        }
    }
}

#[test]
fn a_reader_lets_others_run_although_bytes_never_pause() {
    let begin = b"HTTP/1.1 200 x\r\n\r\n";
    let (address, is_full) = server(begin, vec![b'a'; 64 << 10]);
    block_on(async {
        let mut connection =
            Outbound::connect(address, TEST_TIMEOUT).await.unwrap();
        connection.read_head().await.unwrap();
        is_full.recv_timeout(TEST_TIMEOUT).unwrap();
        let mut received = 0;
        let mut body = ResponseBody::UntilClosed;
        let mut read = Box::pin(async {
            while let Ok(Some(bytes)) = connection.next_bytes(&mut body).await
            {
                received += bytes.len();
            }
        });
        let polled = poll_fn(|cx| Poll::Ready(read.as_mut().poll(cx))).await;

        assert!(polled.is_pending());
        drop(read);
        assert!(received <= MAX_TURN_BYTES, "{received} bytes in one turn");
    });
}
