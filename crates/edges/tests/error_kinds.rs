//! The kinds of errors of calls, and whether a failed call may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use edges::ErrorKind;
use edges::engine::Engine as _;
use edges::engine::HttpEngine;
use edges::service::HttpService;
use edges::service::Service as _;
use edges::store::HttpObjects;
use edges::store::ObjectStore as _;
use edges::table::CommitResult;
use edges::table::HttpTable;
use edges::table::Table as _;
use standins::BookingService;
use standins::Objects;
use standins::Table;
use standins::calls::booking_request;
use standins::calls::insert_row;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const LONG: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(100);

/// Starts a peer that responds to one request with fixed bytes and then closes the connection.
async fn raw_peer(response: &'static [u8]) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(response).await.unwrap();
    });
    (addr, task)
}

/// Guards against a refused connection that counts as an unknown effect.
#[tokio::test]
async fn refused_connection() {
    let service = BookingService::start().await;
    let client = HttpService::new(service.addr());
    service.set_listening(false).await;
    let error = client.call(booking_request("a"), LONG).await.err().unwrap();
    assert_eq!(error.kind, ErrorKind::NotSent);
    service.set_listening(true).await;
    assert_eq!(
        client
            .call(booking_request("a"), LONG)
            .await
            .unwrap()
            .status,
        200
    );
    assert_eq!(service.call_count("a"), 1);
    service.stop().await;
}

/// Guards against a call that ran but is reported to have had no effect, and against a client that
/// sends a call twice, where connections break at any point of a call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn breaking_connections() {
    let service = BookingService::start().await;
    // The delay makes many connections break between the effect of a call and its response.
    service
        .faults()
        .set_response_delay(Duration::from_millis(1));
    let client = HttpService::new(service.addr());
    let caller = |task: u32| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut results = Vec::new();
            for call in 0..200 {
                let request = format!("{task}-{call}");
                let result = client
                    .call(booking_request(&request), LONG)
                    .await
                    .map(|a| a.status);
                results.push((request, result));
            }
            results
        })
    };
    let callers = futures::future::join_all((0..8).map(caller));
    let mut callers = std::pin::pin!(callers);
    let results = loop {
        tokio::select! {
            results = &mut callers => break results,
            () = tokio::time::sleep(Duration::from_millis(1)) => service.close_connections().await,
        }
    };
    for (request, result) in results.into_iter().flat_map(Result::unwrap) {
        let runs = service.call_count(&request);
        match result {
            Ok(status) => assert_eq!((status, runs), (200, 1), "{request}"),
            Err(e) if e.had_no_effect() => assert_eq!(runs, 0, "{request}: {e}"),
            Err(e) => assert!(runs <= 1, "{request}: {e}"),
        }
    }
    service.stop().await;
}

/// Guards against a commit that took effect but is reported to have had none because its response was
/// lost.
#[tokio::test]
async fn lost_response() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().lose_responses(1);
    let error = client.commit(insert_row("k", "v"), LONG).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NoResponse);
    assert!(!error.had_no_effect());
    let row = client.get("k", LONG).await.unwrap().unwrap();
    assert_eq!((row.version, &row.value[..]), (1, &b"v"[..]));
    table.stop().await;
}

/// Guards against an unclear error kind for a commit whose request was lost: it is the same as for a
/// lost response, and the row is not written.
#[tokio::test]
async fn lost_request() {
    let table = Table::start().await;
    let client = HttpTable::new(table.addr());
    table.faults().lose_requests(1);
    let error = client.commit(insert_row("k", "v"), LONG).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NoResponse);
    assert_eq!(client.get("k", LONG).await.unwrap(), None);
    assert_eq!(
        client.commit(insert_row("k", "v"), LONG).await.unwrap(),
        CommitResult::Committed(vec![1])
    );
    table.stop().await;
}

/// Guards against a timeout that counts as not sent although the request may still take effect.
#[tokio::test]
async fn timeout_after_send() {
    let objects = Objects::start().await;
    let client = HttpObjects::new(objects.addr());
    objects.faults().set_frozen(true);
    let error = client.put("k", "v".into(), SHORT).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NoResponse);
    objects.faults().set_frozen(false);
    objects.stop().await;
}

/// Guards against a timeout that counts as an unknown effect although no connection was opened: the
/// backlog of the peer is full, so connecting neither succeeds nor fails.
#[tokio::test]
async fn timeout_before_connection() {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    let _listener = socket.listen(0).unwrap();
    // A backlog of 0 holds one connection, which is never accepted.
    let _filler = tokio::net::TcpStream::connect(addr).await.unwrap();
    let client = HttpService::new(addr);
    let error = client
        .call(booking_request("a"), SHORT)
        .await
        .err()
        .unwrap();
    assert_eq!(error.kind, ErrorKind::NotSent);
}

/// Guards against an outage (status 503) that counts as an unknown effect.
#[tokio::test]
async fn outage() {
    let table = Table::start().await;
    let service = BookingService::start().await;
    table.faults().set_outage(true);
    service.faults().set_outage(true);
    let error = HttpTable::new(table.addr())
        .commit(insert_row("k", "v"), LONG)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Unavailable);
    let error = HttpService::new(service.addr())
        .call(booking_request("a"), LONG)
        .await
        .err()
        .unwrap();
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert_eq!((table.row("k"), service.call_count("a")), (None, 0));
    table.stop().await;
    service.stop().await;
}

/// Guards against a truncated response that counts as complete, for each way to truncate one.
#[tokio::test]
async fn truncated_responses() {
    let cases: [(&[u8], ErrorKind); 5] = [
        (b"", ErrorKind::NoResponse),
        (b"HTTP/1.1 200 OK\r\nconte", ErrorKind::NoResponse),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"keys\"",
            ErrorKind::NoResponse,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nb\r\n{\"keys\":[]}\r\n",
            ErrorKind::NoResponse,
        ),
        (
            b"HTTP/1.1 200 OK\r\n\r\n{\"keys\":[]}",
            ErrorKind::Malformed("response body without a length".into()),
        ),
    ];
    for (response, kind) in cases {
        let (addr, task) = raw_peer(response).await;
        let error = HttpObjects::new(addr).list("", LONG).await.unwrap_err();
        assert_eq!(error.kind, kind, "{}", String::from_utf8_lossy(response));
        task.await.unwrap();
    }
}

/// Guards against an oversized response that exhausts the memory.
#[tokio::test]
async fn oversized_response() {
    let (addr, task) = raw_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\nx").await;
    let error = HttpObjects::new(addr).get("k", LONG).await.unwrap_err();
    assert!(matches!(error.kind, ErrorKind::Malformed(_)), "{error}");
    task.await.unwrap();
}

/// Guards against the same if the response does not declare its size.
#[tokio::test]
async fn oversized_chunk() {
    let body = "x".repeat(0x12000);
    let response =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n12000\r\n{body}\r\n");
    let (addr, task) = raw_peer(response.leak().as_bytes()).await;
    let error = HttpObjects::new(addr).put("k", "v".into(), LONG).await;
    assert!(matches!(error.unwrap_err().kind, ErrorKind::Malformed(_)));
    task.abort();
}

/// Guards against a call that exceeds its timeout because the body of an error response never arrives.
#[tokio::test]
async fn stalled_error_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpEngine::new(listener.local_addr().unwrap());
    let submit = client.submit(booking_request("a"), SHORT);
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = b"HTTP/1.1 404 Not Found\r\ncontent-length: 9\r\n\r\n";
        stream.write_all(head).await.unwrap();
        tokio::time::sleep(LONG).await;
    };
    let started = std::time::Instant::now();
    let error = tokio::select! {
        response = submit => response.err().unwrap(),
        () = peer => panic!("the call exceeds its timeout"),
    };
    assert_eq!(error.kind, ErrorKind::NotFound);
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Guards against a server error other than 503 that counts as no effect.
#[tokio::test]
async fn server_error() {
    let (addr, task) = raw_peer(b"HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops").await;
    let error = HttpTable::new(addr)
        .commit(insert_row("k", "v"), LONG)
        .await
        .unwrap_err();
    assert!(!error.had_no_effect(), "{error}");
    task.await.unwrap();
}
