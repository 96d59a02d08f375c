//! What an agent takes from the membership view.

use decision::ids::Name;
use decision::member::Liveness;
use decision::member::Membership;
use decision::member::Role;

/// One agent's reading of the membership view.
pub(crate) struct Region {
    own: String,
    region: String,
    /// Whether the list has shown this process as live.
    seen: bool,
}

impl Region {
    pub(crate) fn new(own: String, region: String) -> Region {
        Region {
            own,
            region,
            seen: false,
        }
    }

    /// Returns the live agents of the region; this one is among them if there is no other.
    pub(crate) fn agents(&self, view: &Membership) -> Vec<Name> {
        let live = view.iter().filter(|instance| {
            instance.role == Role::Agent
                && instance.state == Liveness::Live
                && instance.region == self.region
        });
        let mut names: Vec<Name> = live.map(|instance| instance.name.as_str().into()).collect();
        if names.is_empty() {
            names.push(self.own.as_str().into());
        }
        names.sort_unstable();
        names
    }

    /// Returns whether this instance is leaving. The list lags, so that a successor under the same
    /// name first finds its predecessor's entry; only a change from live to leaving counts.
    pub(crate) fn is_leaving(&mut self, view: &Membership) -> bool {
        let state = view.get(&self.own).map(|instance| instance.state);
        self.seen |= state == Some(Liveness::Live);
        self.seen && state == Some(Liveness::Leaving)
    }
}
