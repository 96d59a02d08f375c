//! A TCP proxy that injects network faults into the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::plan::LinkFault;

/// The current fault of a link, whether it holds all data, and the number of resets so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    fault: Option<LinkFault>,
    held: bool,
    resets: u32,
}

impl LinkState {
    fn is_blocked(&self) -> bool {
        self.held || matches!(self.fault, Some(LinkFault::Partition | LinkFault::OneWay))
    }
}

/// A running proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    link: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    /// Starts a proxy that forwards connections at `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen).await?;
        let link = Arc::new(watch::Sender::new(LinkState::default()));
        let shared = link.clone();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(forward(stream, target, shared.subscribe()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Proxy { link, task })
    }

    /// Sets the fault of the link, or clears it with `None`. A reset happens at once and does not
    /// change the current fault.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.link.send_modify(|link| match fault {
            Some(LinkFault::Reset) => link.resets += 1,
            fault => link.fault = fault,
        });
    }

    /// Holds all data, ends of connections and new connections back, or lets them go on in their order, as
    /// a target does that is suspended and resumed.
    pub fn set_held(&self, held: bool) {
        self.link.send_modify(|link| link.held = held);
    }

    /// Stops the proxy and closes all its connections.
    pub async fn stop(self) {
        self.task.abort();
        // The task has been aborted, so its result carries no information.
        let _ = self.task.await;
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mut link: watch::Receiver<LinkState>) {
    let resets = link.borrow().resets;
    // A new connection stays open meanwhile without a connection to the target.
    let is_closed = |link: &LinkState| link.held || link.fault == Some(LinkFault::Partition);
    if link.wait_for(|link| !is_closed(link)).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        close_with_reset(&client);
        return;
    };
    // Without the option, data is sent a little later, which affects no check.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let reset_requested = {
        let mut link = link.clone();
        async move {
            // An error means that the proxy was dropped, which also closes this connection.
            let _ = link.wait_for(|link| link.resets > resets).await;
        }
    };
    let (mut client, mut server) = (client, server);
    let was_reset = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            () = copy_data(client_read, server_write, link.clone(), Direction::ToTarget) => false,
            () = copy_data(server_read, client_write, link.clone(), Direction::FromTarget) => false,
            () = reset_requested => true,
        }
    };
    if was_reset {
        close_with_reset(&client);
        close_with_reset(&server);
    }
}

/// Copies data in one direction until either side closes, and applies the current fault.
async fn copy_data(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut link: watch::Receiver<LinkState>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut buffer).await;
        wait_while_held(&mut link).await;
        let Ok(count @ 1..) = read else {
            return;
        };
        let fault = link.borrow().fault;
        match fault {
            Some(LinkFault::Delay(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
            // As with retransmitted packets, the data arrives after the end of the fault.
            Some(LinkFault::Partition) => wait_until_passing(&mut link).await,
            Some(LinkFault::OneWay) if direction == Direction::FromTarget => {
                wait_until_passing(&mut link).await
            }
            Some(LinkFault::OneWay | LinkFault::Reset) | None => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_until_passing(link: &mut watch::Receiver<LinkState>) {
    // An error means that the proxy was dropped, which also closes this connection.
    let _ = link.wait_for(|link| !link.is_blocked()).await;
}

async fn wait_while_held(link: &mut watch::Receiver<LinkState>) {
    // The same holds for this error.
    let _ = link.wait_for(|link| !link.held).await;
}

/// Makes the socket send a reset when it is closed.
fn close_with_reset(stream: &TcpStream) {
    // If the option cannot be set, the connection is closed in the normal way.
    let _ = stream.set_zero_linger();
}
