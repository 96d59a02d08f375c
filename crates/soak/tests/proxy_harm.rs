//! Guards against a proxy that lets data through a disturbed link, or loses what was only held back.

use std::net::SocketAddr;
use std::time::Duration;

use soak::plan::Harm;
use soak::proxy::Proxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Longer than anything takes on an undisturbed link.
const WAIT: Duration = Duration::from_millis(300);

/// Starts an echo server behind a proxy at this address and connects to it.
async fn echo(proxy: SocketAddr) -> (Proxy, TcpStream) {
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

/// Sends a byte and returns whether it comes back at once; `None` if the connection broke.
async fn comes_back(stream: &mut TcpStream) -> Option<bool> {
    stream.write_all(b"x").await.ok()?;
    let mut byte = [0];
    match tokio::time::timeout(WAIT, stream.read_exact(&mut byte)).await {
        Ok(Ok(_)) => Some(true),
        Ok(Err(_)) => None,
        Err(_) => Some(false),
    }
}

#[tokio::test]
async fn silent_and_one_way_links_hold_data_until_they_heal() {
    let ports = [41_871, 41_872];
    for (harm, port) in [Harm::Silence, Harm::OneWay].into_iter().zip(ports) {
        let (proxy, mut stream) = echo(([127, 0, 9, 1], port).into()).await;
        assert_eq!(comes_back(&mut stream).await, Some(true));
        proxy.harm(Some(harm));
        assert_eq!(comes_back(&mut stream).await, Some(false), "{harm}");
        proxy.harm(None);
        let mut byte = [0];
        let read = tokio::time::timeout(WAIT * 10, stream.read_exact(&mut byte)).await;
        assert!(matches!(read, Ok(Ok(_))), "{harm}");
        proxy.stop().await;
    }
}

#[tokio::test]
async fn reset_breaks_connections_and_takes_new_ones() {
    let at: SocketAddr = ([127, 0, 9, 1], 41_873).into();
    let (proxy, mut stream) = echo(at).await;
    assert_eq!(comes_back(&mut stream).await, Some(true));
    proxy.harm(Some(Harm::Reset));
    tokio::time::sleep(WAIT).await;
    assert_eq!(comes_back(&mut stream).await, None);
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    assert_eq!(comes_back(&mut stream).await, Some(true));
    proxy.stop().await;
}
