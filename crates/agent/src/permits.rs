//! Load permits between agents: the calls to coordinators, and this agent's own part as one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use decision::ids::Incarnation;
use decision::ids::Name;
use decision::member::Membership;
use decision::permit::Coordinator;
use decision::permit::Grant;
use decision::permit::PermitReply;
use decision::permit::PermitRequest;
use decision::permit::REPLY_TIMEOUT;
use decision::time::Time;
use futures::FutureExt;
use futures::future::BoxFuture;
use objects::Policy;
use tokio::sync::watch;
use wire::Links;

/// The timeout of the return of a permit; a permit that is not returned expires.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// The permits of the region's weight store, as one agent sees them.
pub(crate) struct Permits {
    own: Name,
    links: Links,
    members: watch::Receiver<Arc<Membership>>,
    // Taken after the shell's lock, if both are held.
    coordinator: Mutex<Coordinator>,
}

impl Permits {
    pub(crate) fn new(
        own: Name,
        incarnation: Incarnation,
        now: Time,
        links: Links,
        members: watch::Receiver<Arc<Membership>>,
    ) -> Permits {
        let policy = Policy::default();
        // Half of the number stays free for grants of this incarnation.
        let base = incarnation.0 << 32;
        let coordinator = Coordinator::new(now, policy.loads_per_s, policy.loads_at_once, base | 1);
        Permits {
            own,
            links,
            members,
            coordinator: Mutex::new(coordinator),
        }
    }

    /// Takes the limits of the weight store over.
    pub(crate) fn set_policy(&self, policy: &Policy) {
        self.lock()
            .set_limits(policy.loads_per_s, policy.loads_at_once);
    }

    /// Answers an ask as the coordinator.
    pub(crate) fn grant(&self, now: Time, ask: PermitRequest) -> Grant {
        self.lock().request(now, ask).into()
    }

    /// Takes a permit back as the coordinator.
    pub(crate) fn take_back(&self, now: Time, id: u64) {
        self.lock().release(now, id);
    }

    /// Returns the numbers of queued asks and outstanding grants of this coordinator.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.lock().counts()
    }

    /// Asks the coordinator `to`; the future returns `None` if it does not answer in time.
    pub(crate) fn ask(
        &self,
        now: Time,
        to: &str,
        ask: PermitRequest,
    ) -> BoxFuture<'static, Option<PermitReply>> {
        if to == &*self.own {
            let reply = self.lock().request(now, ask);
            return futures::future::ready(Some(reply)).boxed();
        }
        let peer = self.addr(to).map(|addr| self.links.peer(addr));
        async move {
            let grant = peer?.request_permit(&ask, REPLY_TIMEOUT).await.ok()??;
            Some(grant.into())
        }
        .boxed()
    }

    /// Returns a permit to the coordinator `to`.
    pub(crate) fn release(&self, now: Time, to: &str, id: u64) -> BoxFuture<'static, ()> {
        if to == &*self.own {
            self.take_back(now, id);
            return futures::future::ready(()).boxed();
        }
        let peer = self.addr(to).map(|addr| self.links.peer(addr));
        async move {
            if let Some(peer) = peer {
                let _ = peer.release_permit(id, RETURN_TIMEOUT).await;
            }
        }
        .boxed()
    }

    fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.members.borrow().get(name).map(|peer| peer.peer)
    }

    fn lock(&self) -> MutexGuard<'_, Coordinator> {
        self.coordinator
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
