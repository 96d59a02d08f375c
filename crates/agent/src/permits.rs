//! Load permits: the calls to coordinators, and the coordinator that runs in this agent.

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

/// The timeout of the call that returns a permit. A permit that is not returned expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The permit client and the coordinator of one agent. Permits limit the rate and the number of
/// concurrent loads from the region's weight store.
pub(crate) struct Permits {
    /// The name of this agent.
    name: Name,
    links: Links,
    members: watch::Receiver<Arc<Membership>>,
    // Locked after the driver's state where both are held.
    coordinator: Mutex<Coordinator>,
}

impl Permits {
    pub(crate) fn new(
        name: Name,
        incarnation: Incarnation,
        now: Time,
        links: Links,
        members: watch::Receiver<Arc<Membership>>,
    ) -> Permits {
        let policy = Policy::default();
        // The lower 32 bits of a permit number count the grants of this incarnation.
        let base = incarnation.0 << 32;
        let coordinator = Coordinator::new(now, policy.loads_per_s, policy.loads_at_once, base | 1);
        Permits {
            name,
            links,
            members,
            coordinator: Mutex::new(coordinator),
        }
    }

    /// Applies the limits of the weight store: loads per second and concurrent loads.
    pub(crate) fn set_policy(&self, policy: &Policy) {
        self.lock()
            .set_limits(policy.loads_per_s, policy.loads_at_once);
    }

    /// Handles a permit request as the coordinator.
    pub(crate) fn handle_request(&self, now: Time, request: PermitRequest) -> Grant {
        self.lock().request(now, request).into()
    }

    /// Handles the return of a permit as the coordinator.
    pub(crate) fn handle_release(&self, now: Time, id: u64) {
        self.lock().release(now, id);
    }

    /// Returns the numbers of queued requests and outstanding grants of this coordinator.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.lock().counts()
    }

    /// Requests a permit from the coordinator `to`. The future returns `None` if the coordinator is
    /// unknown, does not reply within [`REPLY_TIMEOUT`] or does not coordinate permits.
    pub(crate) fn request(
        &self,
        now: Time,
        to: &str,
        request: PermitRequest,
    ) -> BoxFuture<'static, Option<PermitReply>> {
        if to == &*self.name {
            let reply = self.lock().request(now, request);
            return futures::future::ready(Some(reply)).boxed();
        }
        let peer = self.addr(to).map(|addr| self.links.peer(addr));
        async move {
            let grant = peer?.request_permit(&request, REPLY_TIMEOUT).await.ok()??;
            Some(grant.into())
        }
        .boxed()
    }

    /// Returns a permit to the coordinator `to`.
    pub(crate) fn release(&self, now: Time, to: &str, id: u64) -> BoxFuture<'static, ()> {
        if to == &*self.name {
            self.handle_release(now, id);
            return futures::future::ready(()).boxed();
        }
        let peer = self.addr(to).map(|addr| self.links.peer(addr));
        async move {
            if let Some(peer) = peer {
                let _ = peer.release_permit(id, RELEASE_TIMEOUT).await;
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
