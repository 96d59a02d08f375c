//! Adoption of configurations and membership views by the entry's tables.

use std::sync::Arc;

use decision::collections::Map;
use decision::ids::Name;
use decision::member::Liveness;
use decision::member::Membership;
use decision::member::Role;
use decision::placement::InstanceState;
use process::Config;
use spdlog::error;
use tokio::sync::watch;

use crate::polls::agents_of;
use crate::shared::Directory;
use crate::shared::Shared;

/// Brings the tables up to date until `stop`.
pub(crate) async fn run(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut config = shared.adopter.config();
    let mut members = shared.members.clone();
    loop {
        let held = config.borrow_and_update().clone();
        let view = members.borrow_and_update().clone();
        adopt(&shared, held, view).await;
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            changed = config.changed() => if changed.is_err() { return },
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

async fn adopt(shared: &Arc<Shared>, config: Arc<Config>, view: Arc<Membership>) {
    if shared.directory().table.head() != &config.head {
        adopt_config(shared, &config).await;
    }
    let set = shared.directory().set.clone();
    let live = live_agents(&view);
    shared.routing().places.apply_config(&set, &live);
    let agents = agents_of(view.iter(), &shared.region);
    shared.polls().follow(&agents);
}

async fn adopt_config(shared: &Arc<Shared>, config: &Arc<Config>) {
    let (head, set) = (config.head.clone(), config.set.clone());
    // A large set takes tens of milliseconds, which must not hold up requests.
    let build = tokio::task::spawn_blocking(move || Directory::build(head, set));
    let directory = match build.await {
        Ok(directory) => Arc::new(directory),
        Err(err) => {
            error!("configuration {} cannot be prepared: {err}", config.head);
            return;
        }
    };
    for route in directory.table.unresolved_routes() {
        error!(
            "route {route} leads nowhere in configuration {}",
            config.head
        );
    }
    shared.set_directory(directory);
    let mut book = shared.book();
    book.budget.set_share(config.set.policy.retry_share);
    book.limits
        .retain(|name| config.set.workspaces.contains_key(name));
    drop(book);
}

fn live_agents(view: &Membership) -> Map<Name, InstanceState> {
    let state = |state| match state {
        Liveness::Live => InstanceState::Live,
        Liveness::Leaving => InstanceState::Leaving,
    };
    view.iter()
        .filter(|instance| instance.role == Role::Agent)
        .map(|instance| (instance.name.as_str().into(), state(instance.state)))
        .collect()
}
