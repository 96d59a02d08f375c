//! Guards against a proxy that forwards data in spite of a fault, or loses data that it must only
//! hold back.

use std::net::SocketAddr;
use std::time::Duration;

use soak::plan::LinkFault;
use soak::proxy::Proxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The time limit for an echo, far longer than it takes on a link without a fault.
const ECHO_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts an echo server behind a proxy at this address and connects to it through the proxy.
async fn connect_echo(proxy: SocketAddr) -> (Proxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut from, mut to) = stream.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut from, &mut to).await });
        }
    });
    let proxy_task = Proxy::start(proxy, target).await.expect("a proxy");
    let stream = TcpStream::connect(proxy).await.expect("a connection");
    (proxy_task, stream)
}

/// Sends a byte and returns whether it is echoed in time; `None` if the connection failed.
async fn echoes(stream: &mut TcpStream) -> Option<bool> {
    stream.write_all(b"x").await.ok()?;
    let mut byte = [0];
    match tokio::time::timeout(ECHO_TIMEOUT, stream.read_exact(&mut byte)).await {
        Ok(Ok(_)) => Some(true),
        Ok(Err(_)) => None,
        Err(_) => Some(false),
    }
}

#[tokio::test]
async fn partitions_hold_data_until_they_end() {
    let ports = [41_871, 41_872];
    for (fault, port) in [LinkFault::Partition, LinkFault::OneWay]
        .into_iter()
        .zip(ports)
    {
        let (proxy, mut stream) = connect_echo(([127, 0, 9, 1], port).into()).await;
        assert_eq!(echoes(&mut stream).await, Some(true));
        proxy.set_fault(Some(fault));
        assert_eq!(echoes(&mut stream).await, Some(false), "{fault}");
        proxy.set_fault(None);
        let mut byte = [0];
        let read = tokio::time::timeout(ECHO_TIMEOUT * 10, stream.read_exact(&mut byte)).await;
        assert!(matches!(read, Ok(Ok(_))), "{fault}");
        proxy.stop().await;
    }
}

#[tokio::test]
async fn reset_closes_connections_and_allows_new_ones() {
    let at: SocketAddr = ([127, 0, 9, 1], 41_873).into();
    let (proxy, mut stream) = connect_echo(at).await;
    assert_eq!(echoes(&mut stream).await, Some(true));
    proxy.set_fault(Some(LinkFault::Reset));
    tokio::time::sleep(ECHO_TIMEOUT).await;
    assert_eq!(echoes(&mut stream).await, None);
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    assert_eq!(echoes(&mut stream).await, Some(true));
    proxy.stop().await;
}

#[tokio::test]
async fn held_link_delivers_everything_later() {
    let at: SocketAddr = ([127, 0, 9, 1], 41_874).into();
    let (proxy, mut stream) = connect_echo(at).await;
    proxy.set_held(true);
    for _ in 0..2 {
        assert_eq!(echoes(&mut stream).await, Some(false));
    }
    let mut new = TcpStream::connect(at).await.expect("a connection");
    assert_eq!(echoes(&mut new).await, Some(false));
    proxy.set_held(false);
    for (mut stream, count) in [(stream, 2), (new, 1)] {
        let mut bytes = [0; 2];
        let read = stream.read_exact(&mut bytes[..count]);
        let read = tokio::time::timeout(ECHO_TIMEOUT * 10, read).await;
        assert!(matches!(read, Ok(Ok(_))));
    }
    proxy.stop().await;
}

#[tokio::test]
async fn muted_connection_stays_open_and_others_work() {
    let at: SocketAddr = ([127, 0, 9, 1], 41_875).into();
    let (proxy, mut first) = connect_echo(at).await;
    let mut second = TcpStream::connect(at).await.expect("a connection");
    assert_eq!(echoes(&mut first).await, Some(true));
    assert_eq!(echoes(&mut second).await, Some(true));
    assert!(proxy.mute_one(2));
    assert_eq!(echoes(&mut first).await, Some(false));
    assert_eq!(echoes(&mut second).await, Some(true));
    let mut third = TcpStream::connect(at).await.expect("a connection");
    assert_eq!(echoes(&mut third).await, Some(true));
    proxy.stop().await;
}
