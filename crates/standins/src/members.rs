//! A membership list whose readers see changes late.

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

/// A membership list.
pub struct Members {
    server: Server,
    core: Arc<Core>,
}

server_methods!(Members);

impl Members {
    /// Starts an empty list whose readers see each change `lag` after it was made.
    pub async fn start(lag: Duration) -> Members {
        let core = Arc::new(Core::default());
        core.lock().lag = lag;
        let server = Server::start(core.clone()).await;
        Members { server, core }
    }

    /// Changes the lag of changes made from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.core.lock().lag = lag;
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put(&self, instance: Instance) {
        let name = instance.name.clone();
        self.core.lock().push(name, Some(instance));
    }

    /// Changes the state of an instance; returns whether it is in the list.
    pub fn set_state(&self, name: &str, state: Liveness) -> bool {
        let mut list = self.core.lock();
        let Some(mut instance) = list.newest(name) else {
            return false;
        };
        instance.state = state;
        list.push(name.to_owned(), Some(instance));
        true
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.core.lock().push(name.to_owned(), None);
    }
}

/// One change; its version is its position in the log, from 1.
struct Change {
    visible: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Default)]
struct List {
    lag: Duration,
    log: Vec<Change>,
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
            let changes = self.lock().changes(since, Instant::now());
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
    fn push(&mut self, name: String, instance: Option<Instance>) {
        let visible = Instant::now() + self.lag;
        // A shorter lag does not let a change overtake an earlier one.
        let visible = self
            .log
            .last()
            .map_or(visible, |last| last.visible.max(visible));
        self.log.push(Change {
            visible,
            name,
            instance,
        });
    }

    fn newest(&self, name: &str) -> Option<Instance> {
        self.log
            .iter()
            .rev()
            .find(|c| c.name == name)?
            .instance
            .clone()
    }

    fn changes(&self, since: u64, now: Instant) -> MemberChanges {
        let visible = self.log.partition_point(|c| c.visible <= now);
        // A reader that knows a version which this list never had starts over.
        let whole = since == 0 || since as usize > visible;
        let start = if whole { 0 } else { since as usize };
        let newest: BTreeMap<&str, Option<&Instance>> = self.log[start..visible]
            .iter()
            .map(|c| (&*c.name, c.instance.as_ref()))
            .collect();
        let gone = newest.iter().filter(|(_, i)| i.is_none() && !whole);
        MemberChanges {
            version: visible as u64,
            whole,
            changed: newest.values().copied().flatten().cloned().collect(),
            gone: gone.map(|(name, _)| (*name).to_owned()).collect(),
        }
    }
}
