//! Guards against the end of a reset connection that is read like the end of one that the runner has closed: an
//! answer without a length would then be taken for complete.

use std::time::Duration;

use gateway::buffer::BufferBudget;
use gateway::send_check::RunnerStream;
use gateway::send_check::SendCheck;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ARRIVAL: Duration = Duration::from_millis(50);

/// Returns a connection whose other end has sent `part` and then reset or closed it.
async fn broken_off(part: &[u8], reset: bool) -> RunnerStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let stream = TcpStream::connect(addr).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    peer.write_all(part).await.expect("the part is sent");
    tokio::time::sleep(ARRIVAL).await;
    if reset {
        peer.set_zero_linger().expect("a socket option");
    }
    drop(peer);
    tokio::time::sleep(ARRIVAL).await;
    let reads = BufferBudget::new(100).count_reads();
    RunnerStream::new(stream, SendCheck::default(), reads)
}

/// A write that meets the reset takes the error with it, and the next read would only see an end.
#[tokio::test]
async fn reset_is_read_after_a_write_has_met_it() {
    let mut stream = broken_off(b"part", true).await;
    let written = stream.write_all(b"more").await;
    assert!(written.is_err(), "the connection is reset");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    assert!(read.is_err(), "read as complete: {bytes:?}");
}

/// The answer may be complete though the rest of the request cannot be written any more.
#[tokio::test]
async fn end_is_read_before_a_write_fails() {
    let mut stream = broken_off(b"whole", false).await;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("an end");
    assert_eq!(bytes, b"whole");
}
