//! Limits on connections, headers, bodies and requests in flight; HTTP/2.

mod rig;

use std::time::Duration;

use bytes::Bytes;
use entry::EntryLimits;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rig::Reply;
use rig::Rig;
use rig::Script;
use rig::error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

const BODY: &str = r#"{"model":"rooms"}"#;

fn tight() -> EntryLimits {
    EntryLimits {
        body_bytes: 64,
        header_ms: 200,
        body_ms: 200,
        connections: 4,
        ..rig::limits()
    }
}

/// Guards against a body that takes the entry's memory.
#[tokio::test]
async fn large_body_is_refused() {
    let rig = Rig::start_with(1, tight()).await;
    let large = format!(r#"{{"model":"rooms","x":"{}"}}"#, "x".repeat(100));
    assert_eq!(
        rig.chat(&large).await.error(),
        error(413, "body_too_large", "no")
    );
    assert_eq!(rig.chat(BODY).await.status, 200);
    rig.stop().await;
}

/// Guards against callers that hold connections open with unfinished requests.
#[tokio::test]
async fn slow_callers_are_cut() {
    let rig = Rig::start_with(1, tight()).await;
    for start in ["", "P", "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"] {
        let mut stream = TcpStream::connect(rig.addr).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(rig::WAIT, stream.read_to_end(&mut rest)).await;
        // A reset closes the connection as well as an end does.
        let _ = closed.expect("the connection stays open");
    }
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer inn-key\r\n\
                content-length: 50\r\n\r\n{";
    let mut stream = TcpStream::connect(rig.addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    let answered = tokio::time::timeout(rig::WAIT, stream.read_exact(&mut answer)).await;
    answered.expect("no answer").unwrap();
    assert_eq!(answer, b"HTTP/1.1 400");
    rig.stop().await;
}

/// Guards against HTTP/2 callers that are refused, and against one connection that serves only one
/// request at a time.
#[tokio::test]
async fn http2_serves_requests_side_by_side() {
    let rig = Rig::start(1).await;
    rig.script(&Script::Held("{}", ""));
    let stream = TcpStream::connect(rig.addr).await.unwrap();
    let io = TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), io)
        .await
        .unwrap();
    let connection = tokio::spawn(connection);
    let send = |mut sender: hyper::client::conn::http2::SendRequest<Full<Bytes>>| {
        let request: Request<Full<Bytes>> = rig.request("/v1/chat/completions", BODY, &[]);
        async move {
            Reply::read(sender.send_request(request).await.unwrap())
                .await
                .status
        }
    };
    let both = futures::future::join(send(sender.clone()), send(sender.clone()));
    let release = async {
        while rig.runs() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        rig.agent("e0").proceed();
        rig.agent("e0").proceed();
    };
    let all = tokio::time::timeout(rig::WAIT, futures::future::join(both, release)).await;
    assert_eq!(all.expect("not side by side").0, (200, 200));
    drop(sender);
    rig.stop().await;
    connection.abort();
}

/// Guards against a workspace that exceeds its share, and against places that are never freed.
#[tokio::test]
async fn inflight_limit_of_a_workspace_holds() {
    let rig = Rig::start(1).await;
    rig.script(&Script::Held("{}", ""));
    let mill = [("x-workspace", "mill")];
    let send = || async {
        let request = rig.request("/v1/completions", r#"{"model":"plain"}"#, &mill);
        Reply::read(rig.send(request).await).await
    };
    let third = async {
        while rig.runs() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let reply = send().await;
        rig.agent("e0").proceed();
        rig.agent("e0").proceed();
        reply
    };
    let (first, second, third) = futures::future::join3(send(), send(), third).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(third.error(), error(429, "too_many_inflight", "no"));
    rig.script(&Script::Echo);
    assert_eq!(send().await.text, r#"{"model":"org/base"}"#);
    rig.stop().await;
}

/// Guards against requests that are cut off because they arrive before the balancer has taken note
/// that the entry stops.
#[tokio::test]
async fn stop_cuts_off_no_request() {
    let limits = EntryLimits {
        linger_ms: 500,
        ..rig::limits()
    };
    let rig = Rig::start_with(1, limits).await;
    let balanced = CancellationToken::new();
    let call = || tokio::spawn(call_until(rig.addr, balanced.clone()));
    let callers: Vec<_> = (0..8).map(|_| call()).collect();
    while rig.runs() < 100 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let notice = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        balanced.cancel();
    };
    futures::future::join(rig.stop(), notice).await;
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
}

/// Sends requests one after the other until `end`; returns their number.
async fn call_until(addr: std::net::SocketAddr, end: CancellationToken) -> usize {
    let client = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let mut count = 0;
    while !end.is_cancelled() {
        let request = Request::post(format!("http://{addr}/v1/chat/completions"))
            .header("authorization", "Bearer inn-key")
            .body(Full::<Bytes>::from(BODY))
            .unwrap();
        let response = client.request(request).await.expect("cut off");
        assert_eq!(Reply::read(response).await.status, 200);
        count += 1;
    }
    count
}
