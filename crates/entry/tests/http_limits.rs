//! Limits on connections, headers, bodies and requests in flight; HTTP/2.

mod harness;

use std::time::Duration;

use bytes::Bytes;
use entry::EntryLimits;
use harness::Harness;
use harness::Reply;
use harness::Script;
use harness::error;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

const BODY: &str = r#"{"model":"rooms"}"#;

fn strict_limits() -> EntryLimits {
    EntryLimits {
        body_bytes: 64,
        header_ms: 200,
        body_ms: 200,
        connections: 4,
        ..harness::limits()
    }
}

/// Guards against a single body that exhausts the entry's memory.
#[tokio::test]
async fn large_body_is_rejected() {
    let harness = Harness::start_with(1, strict_limits()).await;
    let large = format!(r#"{{"model":"rooms","x":"{}"}}"#, "x".repeat(100));
    assert_eq!(
        harness.chat(&large).await.error(),
        error(413, "body_too_large", "no")
    );
    assert_eq!(harness.chat(BODY).await.status, 200);
    harness.stop().await;
}

/// Guards against concurrent bodies that exhaust the entry's memory together, and against permits
/// that are not returned.
#[tokio::test]
async fn bodies_share_a_memory_limit() {
    let limits = EntryLimits {
        body_bytes: 2_000,
        bodies_bytes: 2_000,
        ..harness::limits()
    };
    let harness = Harness::start_with(1, limits).await;
    harness.set_scripts(&Script::Paused("{}", ""));
    let large = format!(r#"{{"model":"rooms","x":"{}"}}"#, "x".repeat(1_500));
    let second = async {
        while harness.run_count() < 1 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let reply = harness.chat(&large).await;
        harness.agent("e0").resume();
        reply
    };
    let (first, second) = futures::future::join(harness.chat(&large), second).await;
    assert_eq!(first.status, 200);
    assert_eq!(second.error(), error(503, "overloaded", "no"));
    harness.set_scripts(&Script::Echo);
    assert_eq!(harness.chat(&large).await.status, 200);
    harness.stop().await;
}

/// Guards against callers that hold connections open with incomplete requests.
#[tokio::test]
async fn slow_requests_time_out() {
    let harness = Harness::start_with(1, strict_limits()).await;
    for start in ["", "P", "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"] {
        let mut stream = TcpStream::connect(harness.addr).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(harness::TIMEOUT, stream.read_to_end(&mut rest)).await;
        // The entry may close the connection with a reset, which `read_to_end` reports as an error.
        let _ = closed.expect("the connection stays open");
    }
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer inn-key\r\n\
                content-length: 50\r\n\r\n{";
    let mut stream = TcpStream::connect(harness.addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut status_line = vec![0; 12];
    let read = tokio::time::timeout(harness::TIMEOUT, stream.read_exact(&mut status_line)).await;
    read.expect("no response").unwrap();
    assert_eq!(status_line, b"HTTP/1.1 400");
    harness.stop().await;
}

/// Guards against rejecting HTTP/2 callers, and against serving the requests of one HTTP/2
/// connection one after the other.
#[tokio::test]
async fn http2_serves_requests_concurrently() {
    let harness = Harness::start(1).await;
    harness.set_scripts(&Script::Paused("{}", ""));
    let stream = TcpStream::connect(harness.addr).await.unwrap();
    let io = TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), io)
        .await
        .unwrap();
    let connection = tokio::spawn(connection);
    let send = |mut sender: hyper::client::conn::http2::SendRequest<Full<Bytes>>| {
        let request: Request<Full<Bytes>> = harness.request("/v1/chat/completions", BODY, &[]);
        async move {
            Reply::read(sender.send_request(request).await.unwrap())
                .await
                .status
        }
    };
    let both = futures::future::join(send(sender.clone()), send(sender.clone()));
    let resume = async {
        while harness.run_count() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        harness.agent("e0").resume();
        harness.agent("e0").resume();
    };
    let all = tokio::time::timeout(harness::TIMEOUT, futures::future::join(both, resume)).await;
    assert_eq!(all.expect("requests do not run concurrently").0, (200, 200));
    drop(sender);
    harness.stop().await;
    connection.abort();
}

/// Guards against a workspace that exceeds its in-flight limit, and against slots that are not
/// released.
#[tokio::test]
async fn inflight_limit_of_a_workspace_holds() {
    let harness = Harness::start(1).await;
    harness.set_scripts(&Script::Paused("{}", ""));
    let mill = [("x-workspace", "mill")];
    let send = || async {
        let request = harness.request("/v1/completions", r#"{"model":"plain"}"#, &mill);
        Reply::read(harness.send(request).await).await
    };
    let third = async {
        while harness.run_count() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let reply = send().await;
        harness.agent("e0").resume();
        harness.agent("e0").resume();
        reply
    };
    let (first, second, third) = futures::future::join3(send(), send(), third).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(third.error(), error(429, "too_many_inflight", "no"));
    harness.set_scripts(&Script::Echo);
    assert_eq!(send().await.text, r#"{"model":"org/base"}"#);
    harness.stop().await;
}

/// Guards against dropping requests that arrive after the entry begins to stop and before the load
/// balancer stops sending to it.
#[tokio::test]
async fn stop_completes_every_request() {
    let limits = EntryLimits {
        linger_ms: 500,
        ..harness::limits()
    };
    let harness = Harness::start_with(1, limits).await;
    let removed_from_balancer = CancellationToken::new();
    let call = || tokio::spawn(send_until(harness.addr, removed_from_balancer.clone()));
    let callers: Vec<_> = (0..8).map(|_| call()).collect();
    while harness.run_count() < 100 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let remove_from_balancer = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        removed_from_balancer.cancel();
    };
    futures::future::join(harness.stop(), remove_from_balancer).await;
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
}

/// Sends requests one after the other until `end`; returns their number.
async fn send_until(addr: std::net::SocketAddr, end: CancellationToken) -> usize {
    let client = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let mut count = 0;
    while !end.is_cancelled() {
        let request = Request::post(format!("http://{addr}/v1/chat/completions"))
            .header("authorization", "Bearer inn-key")
            .body(Full::<Bytes>::from(BODY))
            .unwrap();
        let response = client.request(request).await.expect("request dropped");
        assert_eq!(Reply::read(response).await.status, 200);
        count += 1;
    }
    count
}
