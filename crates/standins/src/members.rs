//! A fake membership list whose readers see changes with a lag.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use edges::members::Instance;
use edges::members::Liveness;
use edges::members::MemberChanges;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::reply;
use crate::reply::Reply;
use crate::server::Handler;
use crate::server::Server;
use crate::server::server_methods;

/// A membership list that keeps every change since its start.
pub struct Members {
    server: Server,
    core: Arc<Core>,
}

server_methods!(Members);

impl Members {
    /// Starts an empty list. Readers see each change `lag` after it was made.
    pub async fn start(lag: Duration) -> Members {
        let core = Arc::new(Core::default());
        core.lock().lag = lag;
        let server = Server::start(core.clone()).await;
        Members { server, core }
    }

    /// Sets the lag of later changes; changes already made keep theirs.
    pub fn set_lag(&self, lag: Duration) {
        self.core.lock().lag = lag;
    }

    /// Adds an instance or replaces the one with the same name.
    pub fn put(&self, instance: Instance) {
        let name = instance.name.clone();
        self.core.lock().record_change(name, Some(instance));
    }

    /// Changes the state of an instance; returns whether it is in the list.
    pub fn set_state(&self, name: &str, state: Liveness) -> bool {
        let mut list = self.core.lock();
        let Some(mut instance) = list.latest(name) else {
            return false;
        };
        instance.state = state;
        list.record_change(name.to_owned(), Some(instance));
        true
    }

    /// Removes an instance. Readers see the removal after the lag.
    pub fn remove(&self, name: &str) {
        self.core.lock().record_change(name.to_owned(), None);
    }
}

/// One change. Its version is its position in the list of changes, counted from 1.
struct Change {
    visible_at: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Default)]
struct List {
    lag: Duration,
    changes: Vec<Change>,
}

#[derive(Default)]
struct Core {
    list: Mutex<List>,
}

impl Handler for Core {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        async move {
            if request.method() != Method::GET || request.uri().path() != "/instances" {
                return reply::empty(StatusCode::NOT_FOUND);
            }
            let since = reply::query_number(request.uri(), "since");
            let changes = self.lock().changes_since(since, Instant::now());
            reply::json(StatusCode::OK, &changes)
        }
        .boxed()
    }
}

impl Core {
    fn lock(&self) -> std::sync::MutexGuard<'_, List> {
        self.list.lock().expect("no panic under this lock")
    }
}

impl List {
    fn record_change(&mut self, name: String, instance: Option<Instance>) {
        let visible_at = Instant::now() + self.lag;
        // Keeps changes visible in order after the lag was shortened.
        let visible_at = self
            .changes
            .last()
            .map_or(visible_at, |last| last.visible_at.max(visible_at));
        self.changes.push(Change {
            visible_at,
            name,
            instance,
        });
    }

    fn latest(&self, name: &str) -> Option<Instance> {
        self.changes
            .iter()
            .rev()
            .find(|c| c.name == name)?
            .instance
            .clone()
    }

    fn changes_since(&self, since: u64, now: Instant) -> MemberChanges {
        let visible = self.changes.partition_point(|c| c.visible_at <= now);
        // A version that is not yet visible comes from another list, so the reader gets a full
        // reply.
        let is_full = since == 0 || since as usize > visible;
        let start = if is_full { 0 } else { since as usize };
        let latest: BTreeMap<&str, Option<&Instance>> = self.changes[start..visible]
            .iter()
            .map(|c| (&*c.name, c.instance.as_ref()))
            .collect();
        let removed = latest.iter().filter(|(_, i)| i.is_none() && !is_full);
        MemberChanges {
            version: visible as u64,
            whole: is_full,
            changed: latest.values().copied().flatten().cloned().collect(),
            gone: removed.map(|(name, _)| (*name).to_owned()).collect(),
        }
    }
}
