//! The state of the agent's region and of its own instance, as the membership view shows them.

use decision::ids::Name;
use decision::member::Liveness;
use decision::member::Membership;
use decision::member::Role;

/// Evaluates membership views for one agent.
pub(crate) struct RegionMembership {
    /// The name of this instance.
    name: String,
    region: String,
    /// Whether a view has shown this instance as live since the process started.
    was_live: bool,
}

impl RegionMembership {
    pub(crate) fn new(name: String, region: String) -> RegionMembership {
        RegionMembership {
            name,
            region,
            was_live: false,
        }
    }

    /// Returns the sorted names of the live agents of the region, or only this agent if the view
    /// contains none.
    pub(crate) fn agents(&self, view: &Membership) -> Vec<Name> {
        let live = view.iter().filter(|instance| {
            instance.role == Role::Agent
                && instance.state == Liveness::Live
                && instance.region == self.region
        });
        let mut names: Vec<Name> = live.map(|instance| instance.name.as_str().into()).collect();
        if names.is_empty() {
            names.push(self.name.as_str().into());
        }
        names.sort_unstable();
        names
    }

    /// Returns whether this instance is leaving. Only a change from live to leaving counts: the
    /// membership list lags, so a restarted instance may first find the leaving entry of its
    /// predecessor under its own name.
    pub(crate) fn is_leaving(&mut self, view: &Membership) -> bool {
        let state = view.get(&self.name).map(|instance| instance.state);
        self.was_live |= state == Some(Liveness::Live);
        self.was_live && state == Some(Liveness::Leaving)
    }
}
