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

/// The current fault of a link, whether it holds all data, the number of resets so far, and its
/// connections.
#[derive(Debug, Default)]
struct LinkState {
    fault: Option<LinkFault>,
    held: bool,
    resets: u32,
    /// The numbers of the open connections that are not muted, in the order of their starts.
    open: Vec<u64>,
    /// The number of the next connection.
    next: u64,
}

impl LinkState {
    /// Counts a new connection, and returns its number.
    fn begin_connection(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        self.open.push(number);
        number
    }

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
                connections.spawn(forward_counted(stream, target, shared.clone()));
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

    /// Makes one of the open connections deliver nothing further, without closing it; the others and new ones
    /// work. `draw` selects it. Returns whether there was one.
    pub fn mute_one(&self, draw: u64) -> bool {
        self.link.send_if_modified(|link| {
            let Some(index) = draw.checked_rem(link.open.len() as u64) else {
                return false;
            };
            link.open.remove(index as usize);
            true
        })
    }

    /// Stops the proxy and closes all its connections.
    pub async fn stop(self) {
        self.task.abort();
        // The task has been aborted, so its result carries no information.
        let _ = self.task.await;
    }
}

async fn forward_counted(
    client: TcpStream,
    target: SocketAddr,
    link: Arc<watch::Sender<LinkState>>,
) {
    let mut number = 0;
    link.send_modify(|link| number = link.begin_connection());
    forward(client, target, link.subscribe(), number).await;
    link.send_modify(|link| link.open.retain(|open| *open != number));
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<LinkState>,
    number: u64,
) {
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
            () = copy_data(client_read, server_write, link.clone(), Direction::ToTarget, number) => false,
            () = copy_data(server_read, client_write, link.clone(), Direction::FromTarget, number) => false,
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
    number: u64,
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
        if !link.borrow().open.contains(&number) {
            // A muted connection takes bytes and delivers none.
            continue;
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
