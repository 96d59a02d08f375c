//! A fleet of runners with one model, for tests of the choice.

// Each test file uses a part of these.
#![allow(dead_code)]

pub(crate) mod cases;

use decision::time::Time;
use serving::fleet::Fleet;
use serving::link::AdapterStatus;
use serving::link::RunnerState;
use serving::link::RunnerUpdate;
use serving::placement::Requirements;
use serving::request::Artifact;
use serving::runner::Member;
use serving::runner::Phase;

/// Returns a member whose address follows from its id.
pub(crate) fn member(id: &str) -> Member {
    let port: u16 = id[1..].parse().expect("a number after the first letter");
    Member {
        id: id.into(),
        service: "chat".into(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "z".into(),
        slots: 64,
        phase: Phase::Ready,
        models: vec!["m".into()],
        adapters: Vec::new(),
        born: 1,
    }
}

pub(crate) fn state(places: &[(&str, u64, u32)]) -> RunnerState {
    let places = places
        .iter()
        .map(|(adapter, version, wait_ms)| AdapterStatus {
            adapter: (*adapter).into(),
            version: *version,
            wait_ms: *wait_ms,
        });
    let mut places: Vec<AdapterStatus> = places.collect();
    places.sort_by(|a, b| a.adapter.cmp(&b.adapter));
    RunnerState {
        born: 1,
        up: true,
        models: vec!["m".into()],
        room: 17,
        entries: 4,
        adapters: places,
        ..RunnerState::default()
    }
}

/// Returns the message that tells an entry all of a state.
pub(crate) fn update(places: &[(&str, u64, u32)]) -> RunnerUpdate {
    state(places).update_since(None)
}

pub(crate) fn fleet(count: u32, now: Time) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for index in 0..count {
        let id = format!("r{index}");
        fleet.join(now, member(&id));
        fleet.apply_update(now, &id, &update(&[]));
    }
    fleet
}

pub(crate) fn chat(index: u32) -> Artifact {
    Artifact {
        model: "m".into(),
        adapter: Some(format!("m/a{index}").into()),
    }
}

pub(crate) fn want(artifact: &Artifact, required: u64) -> Requirements<'_> {
    Requirements {
        service: "chat",
        artifact: Some(artifact),
        min_version: required,
        excluded: &[],
        only_runner: None,
    }
}

pub(crate) fn plain() -> Requirements<'static> {
    Requirements {
        service: "chat",
        artifact: None,
        min_version: 0,
        excluded: &[],
        only_runner: None,
    }
}
