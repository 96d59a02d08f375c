//! A loopback proxy that disturbs the connections through it.

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

use crate::plan::Harm;

/// The state of a link: what harms it, and the number of resets so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Link {
    harm: Option<Harm>,
    resets: u32,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    link: Arc<watch::Sender<Link>>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Forwards connections at `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen).await?;
        let link = Arc::new(watch::Sender::new(Link::default()));
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

    /// Sets what harms the link from now on.
    pub fn harm(&self, harm: Option<Harm>) {
        self.link.send_modify(|link| match harm {
            Some(Harm::Reset) => link.resets += 1,
            harm => link.harm = harm,
        });
    }

    /// Ends all connections.
    pub async fn stop(self) {
        self.task.abort();
        // The task was ended here; its result says nothing.
        let _ = self.task.await;
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    let resets = link.borrow().resets;
    // Nothing is forwarded while the link is silent; the connection stays open, unanswered.
    while link.borrow().harm == Some(Harm::Silence) {
        if link.changed().await.is_err() {
            return;
        }
    }
    let Ok(far) = TcpStream::connect(target).await else {
        reset(&near);
        return;
    };
    // A socket without the option sends its data a little later, which no check depends on.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let reset_requested = {
        let mut link = link.clone();
        async move {
            // The proxy is gone if the sender is; its connections end with it.
            let _ = link.wait_for(|link| link.resets > resets).await;
        }
    };
    let (mut near, mut far) = (near, far);
    let was_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            () = pump(near_read, far_write, link.clone(), Way::There) => false,
            () = pump(far_read, near_write, link.clone(), Way::Back) => false,
            () = reset_requested => true,
        }
    };
    if was_reset {
        reset(&near);
        reset(&far);
    }
}

/// Moves data one way until either side ends.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut link: watch::Receiver<Link>,
    way: Way,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let harm = link.borrow().harm;
        match harm {
            Some(Harm::Delay(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
            // Like lost packets: they arrive after the link has healed.
            Some(Harm::Silence) => wait_healed(&mut link).await,
            Some(Harm::OneWay) if way == Way::Back => wait_healed(&mut link).await,
            Some(Harm::OneWay | Harm::Reset) | None => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_healed(link: &mut watch::Receiver<Link>) {
    let stuck = |link: &Link| matches!(link.harm, Some(Harm::Silence | Harm::OneWay));
    // The proxy is gone if the sender is; its connections end with it.
    let _ = link.wait_for(|link| !stuck(link)).await;
}

/// Makes the socket's close a reset.
fn reset(stream: &TcpStream) {
    // If the option is refused, the connection ends with a plain close instead.
    let _ = stream.set_zero_linger();
}
