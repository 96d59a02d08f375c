//! Applies new configurations and membership lists to the shared state.

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
use crate::shared::ConfigIndex;
use crate::shared::Shared;

/// Applies every new configuration and membership list until `stop` is set.
pub(crate) async fn run(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut config = shared.adopter.config();
    let mut members = shared.members.clone();
    loop {
        let current = config.borrow_and_update().clone();
        let membership = members.borrow_and_update().clone();
        apply(&shared, current, membership).await;
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            changed = config.changed() => if changed.is_err() { return },
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

async fn apply(shared: &Arc<Shared>, config: Arc<Config>, membership: Arc<Membership>) {
    if shared.config_index().routes.head() != &config.head {
        apply_config_index(shared, &config).await;
    }
    let set = shared.config_index().set.clone();
    let states = agent_states(&membership);
    shared.routing().endpoints.apply_config(&set, &states);
    let agents = agents_of(membership.iter(), &shared.region);
    shared.polls().set_agents(&agents);
}

async fn apply_config_index(shared: &Arc<Shared>, config: &Arc<Config>) {
    let (head, set) = (config.head.clone(), config.set.clone());
    // Indexing a large object set takes tens of milliseconds and would block request tasks.
    let build = tokio::task::spawn_blocking(move || ConfigIndex::build(head, set));
    let config_index = match build.await {
        Ok(config_index) => Arc::new(config_index),
        Err(err) => {
            error!("failed to index configuration {}: {err}", config.head);
            return;
        }
    };
    for route in config_index.routes.unresolved_routes() {
        error!(
            "route {route} cannot be resolved in configuration {}",
            config.head
        );
    }
    shared.set_config_index(config_index);
    let mut accounting = shared.accounting();
    accounting
        .retry_budget
        .set_share(config.set.policy.retry_share);
    accounting
        .limits
        .retain(|name| config.set.workspaces.contains_key(name));
    drop(accounting);
}

fn agent_states(membership: &Membership) -> Map<Name, InstanceState> {
    let state = |state| match state {
        Liveness::Live => InstanceState::Live,
        Liveness::Leaving => InstanceState::Leaving,
    };
    membership
        .iter()
        .filter(|instance| instance.role == Role::Agent)
        .map(|instance| (instance.name.as_str().into(), state(instance.state)))
        .collect()
}
