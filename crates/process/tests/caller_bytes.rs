//! The connection of a caller that is read ahead of the HTTP server: its bytes, and its end.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use process::caller::CallerConn;
use process::caller::CallerStream;
use process::caller::Presence;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The number of random exchanges.
const SEEDS: u64 = 40;
/// The most bytes of a write, and of a read.
const MAX_CHUNK: usize = 3_000;
/// The time limit of every wait.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The time within which an end must be seen.
const END_BOUND: Duration = Duration::from_millis(500);

async fn connect() -> (TcpStream, Arc<CallerConn>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let caller = TcpStream::connect(addr)
        .await
        .expect("the listener accepts");
    let (stream, _) = listener.accept().await.expect("a connection");
    (caller, CallerConn::new(stream))
}

/// Reads all bytes of a connection in random portions, and now and then as a request in progress that
/// takes its time.
async fn read_all(conn: Arc<CallerConn>, total: usize, seed: u64) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut stream = CallerStream(conn.clone());
    let mut received = Vec::new();
    let mut request = None;
    while received.len() < total {
        match rng.u32(..4) {
            0 => request = Some(conn.begin_request()),
            1 => request = None,
            2 if request.is_some() => tokio::time::sleep(Duration::from_millis(1)).await,
            2 => {}
            _ => assert_eq!(conn.presence(), Presence::Waiting),
        }
        let mut buffer = vec![0; rng.usize(1..MAX_CHUNK)];
        let count = stream.read(&mut buffer).await.expect("readable bytes");
        assert_ne!(count, 0, "the end came after {} bytes", received.len());
        received.extend_from_slice(&buffer[..count]);
    }
    received
}

/// Guards against bytes that are lost, doubled or reordered between the read-ahead, the check before a
/// send and the HTTP server.
#[tokio::test]
async fn bytes_arrive_whole_in_any_portions() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sent: Vec<u8> = (0..rng.usize(1..60_000)).map(|_| rng.u8(..)).collect();
        let (mut caller, conn) = connect().await;
        let bytes = sent.clone();
        let writer = tokio::spawn(async move {
            let mut rest = bytes.as_slice();
            while !rest.is_empty() {
                let (chunk, left) = rest.split_at(rng.usize(1..MAX_CHUNK).min(rest.len()));
                caller.write_all(chunk).await.expect("an open connection");
                rest = left;
                tokio::task::yield_now().await;
            }
            caller
        });
        let server = pin!(read_all(conn.clone(), sent.len(), seed));
        let received = tokio::time::timeout(TIMEOUT, conn.drive(server)).await;
        let received = received.expect("in time").expect("the caller waits");
        assert!(received == sent, "seed {seed}");
        drop(writer.await.expect("the writer does not panic"));
    }
}

/// Guards against a request that goes on after its caller closed behind any number of bytes, more than are
/// held among them.
#[tokio::test]
async fn close_behind_bytes_ends_the_request() {
    for count in [0, 1, 1_000, 4_095, 4_096, 4_097, 20_000] {
        let (mut caller, conn) = connect().await;
        let _request = conn.begin_request();
        caller.write_all(&vec![b'x'; count]).await.expect("space");
        drop(caller);
        let server = pin!(std::future::pending::<()>());
        let driven = tokio::time::timeout(END_BOUND, conn.drive(server)).await;
        assert_eq!(driven, Ok(None), "{count} bytes");
        assert_eq!(conn.presence(), Presence::Left, "{count} bytes");
    }
}

/// Guards against a connection that ends, with requests in it that nobody has read, because its caller
/// closed between two requests: what was sent before the close is still read.
#[tokio::test]
async fn close_between_requests_leaves_the_bytes() {
    let (mut caller, conn) = connect().await;
    drop(conn.begin_request());
    caller.write_all(b"next request").await.expect("space");
    drop(caller);
    let server = pin!(async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut text = String::new();
        let mut stream = CallerStream(conn.clone());
        let read = stream.read_to_string(&mut text).await;
        read.map(|_| text)
    });
    let driven = tokio::time::timeout(TIMEOUT, conn.drive(server)).await;
    let text = driven.expect("in time").expect("not ended by the close");
    assert_eq!(text.expect("readable bytes"), "next request");
}
