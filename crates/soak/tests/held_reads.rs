//! Guards against a soak whose callers see the close of an idle connection before they send on it.

use std::time::Duration;

use soak::held::HeldStream;
use soak::held::ReadHold;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(10);

#[tokio::test]
async fn close_shows_only_after_the_next_write() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(addr).await.expect("listening");
    let (mut peer, _) = listener.accept().await.expect("connected");
    let hold = ReadHold::default();
    let (mut reader, mut writer) = tokio::io::split(HeldStream::new(stream, hold.clone()));
    let mut byte = [0];
    peer.write_all(b"a").await.expect("open");
    assert_eq!(reader.read(&mut byte).await.expect("open"), 1);
    hold.set();
    peer.shutdown().await.expect("open");
    let mut read = tokio::spawn(async move { reader.read(&mut byte).await });
    assert!(timeout(SHORT, &mut read).await.is_err(), "held");
    writer.write_all(b"b").await.expect("sent");
    let read = timeout(LONG, read).await.expect("woken");
    assert_eq!(read.expect("no panic").expect("a clean end"), 0);
}
