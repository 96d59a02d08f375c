//! A fleet of runners with one model, for tests of placement and state updates.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

pub(crate) mod cases;

use decision::time::Time;
use serving::demand::RateLevel;
use serving::fleet::Fleet;
use serving::link::AdapterStatus;
use serving::link::RunnerState;
use serving::link::RunnerUpdate;
use serving::placement::Requirements;
use serving::request::Artifact;
use serving::runner::Member;
use serving::runner::Phase;

/// The start of the runners that these helpers create.
pub(crate) const BORN: u64 = 1;

/// Returns the membership record of a runner; the number in its id is the port of its address.
pub(crate) fn member(id: &str) -> Member {
    let port: u16 = id[1..]
        .parse()
        .expect("the id has a number after its first letter");
    Member {
        id: id.into(),
        service: "chat".into(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "z".into(),
        slots: 64,
        phase: Phase::Ready,
        models: vec!["m".into()],
        adapters: Vec::new(),
        born: BORN,
    }
}

/// Returns a state with these adapters, given as name, version and expected wait in milliseconds.
pub(crate) fn state(adapters: &[(&str, u64, u32)]) -> RunnerState {
    let adapters = adapters
        .iter()
        .map(|(adapter, version, wait_ms)| AdapterStatus {
            adapter: (*adapter).into(),
            version: *version,
            wait_ms: *wait_ms,
            rate: RateLevel::default(),
        });
    let mut adapters: Vec<AdapterStatus> = adapters.collect();
    adapters.sort_by(|a, b| a.adapter.cmp(&b.adapter));
    RunnerState {
        born: BORN,
        up: true,
        models: vec!["m".into()],
        room: 17,
        entries: 4,
        adapters,
        ..RunnerState::default()
    }
}

/// Returns the full update for a state with these adapters, given as for [`state`].
pub(crate) fn update(adapters: &[(&str, u64, u32)]) -> RunnerUpdate {
    state(adapters).update_since(None)
}

/// Returns a fleet of `count` runners, `r0` and so on, whose agents have reported no adapters.
pub(crate) fn fleet(count: u32, now: Time) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for index in 0..count {
        let id = format!("r{index}");
        fleet.join(now, member(&id));
        fleet.apply_update(now, &id, &update(&[]));
    }
    fleet
}

/// Returns the adapter `m/a{index}` of the model that all runners hold.
pub(crate) fn artifact(index: u32) -> Artifact {
    Artifact {
        model: "m".into(),
        adapter: Some(format!("m/a{index}").into()),
    }
}

pub(crate) fn requirements(artifact: &Artifact, min_version: u64) -> Requirements<'_> {
    Requirements {
        service: "chat",
        artifact: Some(artifact),
        min_version,
        excluded: &[],
        only_runner: None,
        slot: None,
        wait_until: Time::default(),
    }
}

/// Returns the requirements of a request that needs no model.
pub(crate) fn no_model() -> Requirements<'static> {
    Requirements {
        service: "chat",
        artifact: None,
        min_version: 0,
        excluded: &[],
        only_runner: None,
        slot: None,
        wait_until: Time::default(),
    }
}
