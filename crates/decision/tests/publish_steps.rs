//! Publishing against a simulated table that loses, delays and refuses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use decision::ids::Head;
use decision::publish::Action;
use decision::publish::Event;
use decision::publish::GenerationRow;
use decision::publish::HeadRow;
use decision::publish::Outcome;
use decision::publish::Publisher;
use decision::publish::Request;
use decision::publish::Step;
use decision::time::Time;
use objects::Kind;
use objects::Manifest;
use objects::Object;
use objects::ObjectKey;
use objects::ObjectSet;
use objects::Workspace;

const SEED: u64 = 20_261_204;
const RUNS: u64 = 400;

/// The table and the object store, without any fault of their own.
#[derive(Default)]
struct Platform {
    head: HeadRow,
    rows: BTreeMap<u64, GenerationRow>,
    blobs: BTreeMap<String, Arc<[u8]>>,
    /// Swaps that were sent and are still on their way.
    late: Vec<(u64, GenerationRow)>,
}

impl Platform {
    fn swap(&mut self, expected: u64, row: &GenerationRow) -> bool {
        let next = row.head.generation;
        if self.head.version != expected || self.rows.contains_key(&next) {
            return false;
        }
        self.head.version += 1;
        self.head.head = row.head.clone();
        assert_eq!(next, self.rows.len() as u64 + 1, "a generation was skipped");
        self.rows.insert(next, row.clone());
        true
    }

    fn deliver_late(&mut self) {
        for (expected, row) in std::mem::take(&mut self.late) {
            self.swap(expected, &row);
        }
    }

    fn fetch(&self, head: &Head) -> (Manifest, ObjectSet) {
        if head.generation == 0 {
            return (Manifest::empty(), ObjectSet::default());
        }
        let manifest = Manifest::decode(&self.blobs[&head.digest]).unwrap();
        let digests = manifest.buckets.iter().map(ToString::to_string);
        let buckets: Vec<_> = digests
            .enumerate()
            .filter_map(|(index, digest)| Some((index, self.blobs.get(&digest)?)))
            .collect();
        let set = ObjectSet::from_buckets(&manifest, &buckets).unwrap();
        (manifest, set)
    }

    /// Answers an action without a fault.
    fn answer(&mut self, action: &Action) -> Event {
        match action {
            Action::ReadHead => Event::Head(self.head.clone()),
            Action::Fetch(head) => {
                let (manifest, set) = self.fetch(head);
                Event::Fetched {
                    manifest: Box::new(manifest),
                    set: Arc::new(set),
                }
            }
            Action::Store(upload) => {
                let blobs = upload.buckets.iter().chain(&upload.manifests);
                let blobs = blobs.map(|blob| (blob.digest.to_string(), blob.bytes.clone()));
                self.blobs.extend(blobs);
                Event::Stored
            }
            Action::Swap { expected, row } => match self.swap(*expected, row) {
                true => Event::Swapped,
                false => Event::ConditionFailed,
            },
            Action::ReadBack(generation) => Event::ReadBack {
                row: self.head.clone(),
                generation: self.rows.get(generation).cloned().map(Box::new),
            },
            Action::Wait(_) | Action::Finish(_) => Event::Waited,
        }
    }
}

/// One publisher with its next action.
struct Run {
    publisher: Publisher,
    action: Action,
    now: Time,
}

impl Run {
    fn new(request: Request) -> Run {
        let now = Time::default();
        let (publisher, action) = Publisher::start(request, now);
        Run {
            publisher,
            action,
            now,
        }
    }

    fn feed(&mut self, event: Event, rng: &mut fastrand::Rng) {
        let pause = match self.action {
            Action::Wait(pause) => pause,
            _ => Duration::from_millis(5),
        };
        self.now = self.now.after(pause);
        self.action = self.publisher.handle(event, self.now, rng);
    }

    fn outcome(&self) -> Option<&Outcome> {
        match &self.action {
            Action::Finish(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Runs to the end without faults.
    fn finish(&mut self, platform: &mut Platform) -> Outcome {
        let mut rng = fastrand::Rng::with_seed(SEED);
        while self.outcome().is_none() {
            let event = platform.answer(&self.action);
            self.feed(event, &mut rng);
        }
        self.outcome().cloned().unwrap()
    }

    /// Runs without faults up to the first action for which `stop` holds.
    fn run_to(&mut self, platform: &mut Platform, stop: impl Fn(&Action) -> bool) {
        let mut rng = fastrand::Rng::with_seed(SEED);
        while !stop(&self.action) {
            let event = platform.answer(&self.action);
            self.feed(event, &mut rng);
        }
    }
}

fn workspaces(list: &[(&str, u32)]) -> ObjectSet {
    let mut set = ObjectSet::default();
    for (name, inflight) in list {
        set.insert(Object::Workspace(Arc::new(Workspace {
            name: (*name).into(),
            rate: 1.0,
            inflight: *inflight,
            secret: None,
        })));
    }
    set
}

fn request(name: &str, base: &Head, base_set: &ObjectSet, set: ObjectSet, rebase: bool) -> Request {
    Request {
        base: base.clone(),
        base_set: Arc::new(base_set.clone()),
        set: Arc::new(set),
        sources: Arc::default(),
        rebase,
        publisher: name.into(),
        unix_time: 1_800_000_000,
        restores: None,
    }
}

fn is_swap(action: &Action) -> bool {
    matches!(action, Action::Swap { .. })
}

/// Publishes a first generation; returns its head and set.
fn first(platform: &mut Platform) -> (Head, ObjectSet) {
    let set = workspaces(&[("a", 1), ("b", 1)]);
    let base = Head::default();
    let request = request("first", &base, &ObjectSet::default(), set.clone(), false);
    let outcome = Run::new(request).finish(platform);
    assert!(matches!(outcome, Outcome::Published { .. }), "{outcome:?}");
    (platform.head.head.clone(), set)
}

#[test]
fn second_of_two_publishers_gets_a_conflict() {
    // Guards against the loss of an edit when two operators publish at the same time.
    let mut platform = Platform::default();
    let (base, before) = first(&mut platform);
    let edit = |list| request("x", &base, &before, workspaces(list), false);
    let mut one = Run::new(edit(&[("a", 2), ("b", 1)]));
    let mut two = Run::new(edit(&[("a", 3), ("b", 1)]));
    one.run_to(&mut platform, is_swap);
    two.run_to(&mut platform, is_swap);
    assert!(matches!(
        one.finish(&mut platform),
        Outcome::Published { .. }
    ));
    let conflict = Outcome::Conflict {
        head: platform.head.head.clone(),
        overlap: vec![ObjectKey::new(Kind::Workspace, "a")],
    };
    assert_eq!(two.finish(&mut platform), conflict);
    assert_eq!(platform.rows.len(), 2);
}

#[test]
fn rebase_keeps_what_the_other_publisher_wrote() {
    // Guards against a rebase that publishes the directory as it is and reverts the other edit.
    let mut platform = Platform::default();
    let (base, before) = first(&mut platform);
    let edit = |list| request("x", &base, &before, workspaces(list), true);
    let mut one = Run::new(edit(&[("a", 2), ("b", 1)]));
    let mut two = Run::new(edit(&[("a", 1), ("b", 7)]));
    two.run_to(&mut platform, is_swap);
    one.finish(&mut platform);
    let Outcome::Published {
        row, own_digest, ..
    } = two.finish(&mut platform)
    else {
        panic!("expected a rebase");
    };
    assert_eq!(row.head.generation, 3);
    assert_ne!(own_digest.to_string(), row.head.digest);
    let set = platform.fetch(&row.head).1;
    assert_eq!(set, workspaces(&[("a", 2), ("b", 7)]));
    // The own set is stored as well, as the base of the next edits of the same directory.
    let digest = own_digest.to_string();
    let head = Head {
        generation: 3,
        digest,
    };
    assert_eq!(platform.fetch(&head).1, workspaces(&[("a", 1), ("b", 7)]));
}

#[test]
fn lost_response_is_not_reported_as_failed() {
    // Guards against a second publication, or a reported failure, after a response was lost.
    let mut platform = Platform::default();
    let (base, before) = first(&mut platform);
    let set = workspaces(&[("a", 2), ("b", 1)]);
    let mut run = Run::new(request("x", &base, &before, set, false));
    run.run_to(&mut platform, is_swap);
    platform.answer(&run.action);
    let mut rng = fastrand::Rng::with_seed(SEED);
    run.feed(Event::ResponseLost("no answer".into()), &mut rng);
    // Another publisher builds on it before it is read back.
    let theirs = workspaces(&[("a", 2), ("b", 9)]);
    let (base, before) = (
        platform.head.head.clone(),
        workspaces(&[("a", 2), ("b", 1)]),
    );
    Run::new(request("y", &base, &before, theirs, false)).finish(&mut platform);
    let Outcome::Published { row, .. } = run.finish(&mut platform) else {
        panic!("expected the lost swap to be found");
    };
    assert_eq!(row.head.generation, 2);
    assert_eq!(platform.rows.len(), 3);
}

#[test]
fn merged_set_is_validated() {
    // Guards against two valid edits that together leave a dangling reference.
    let mut platform = Platform::default();
    let (base, before) = first(&mut platform);
    let removal = workspaces(&[("b", 1)]);
    let text = "[[workspace]]\nname = \"a\"\nrate = 1.0\ninflight = 1\n\
        [[workspace]]\nname = \"b\"\nrate = 1.0\ninflight = 1\n\
        [[model]]\nname = \"m\"\nbase = \"m\"\n\
        [[adapter]]\nname = \"x\"\nmodel = \"m\"\nworkspace = \"a\"\n";
    let loaded = objects::load([("b.toml", text)]);
    assert!(!objects::has_errors(&loaded.findings));
    Run::new(request("one", &base, &before, removal, false)).finish(&mut platform);
    let mut edit = request("two", &base, &before, loaded.set, true);
    edit.sources = Arc::new(loaded.sources);
    let Outcome::Invalid(findings) = Run::new(edit).finish(&mut platform) else {
        panic!("expected a dangling reference");
    };
    let expected = "b.toml:15: error: adapter \"x\": workspace \"a\" does not exist; add \
                    `[[workspace]]` with this name or correct `workspace`";
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert!(lines.iter().any(|line| line == expected), "{lines:?}");
    assert_eq!(platform.rows.len(), 2);
}

#[test]
fn outage_ends_within_the_budget() {
    // Guards against a publisher that waits forever or reports an unverified swap as failed.
    let mut platform = Platform::default();
    let (base, before) = first(&mut platform);
    let edit = || request("x", &base, &before, workspaces(&[("a", 9)]), false);
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut down = Run::new(edit());
    while down.outcome().is_none() {
        let event = match down.action {
            Action::Wait(_) => Event::Waited,
            _ => Event::Failed("down".into()),
        };
        down.feed(event, &mut rng);
    }
    let step = Step::ReadHead;
    let reason = "down".to_owned();
    assert_eq!(down.outcome(), Some(&Outcome::Unreachable { step, reason }));
    assert!(down.now.as_ms() <= 10_000, "{:?}", down.now);
    let mut lost = Run::new(edit());
    lost.run_to(&mut platform, is_swap);
    while lost.outcome().is_none() {
        let event = match lost.action {
            Action::Wait(_) => Event::Waited,
            Action::Swap { .. } => Event::ResponseLost("cut".into()),
            _ => Event::Failed("down".into()),
        };
        lost.feed(event, &mut rng);
    }
    assert!(matches!(lost.outcome(), Some(Outcome::Unknown { .. })));
    assert!(
        (28_000..=40_000).contains(&lost.now.as_ms()),
        "{:?}",
        lost.now
    );
}

#[test]
fn faults_never_lose_or_repeat_a_publication() {
    // Guards against any interleaving of two publishers with lost, late and failed calls in which
    // an edit is published twice, or reported as failed although it is published.
    let mut ends = BTreeMap::new();
    for seed in 0..RUNS {
        let mut rng = fastrand::Rng::with_seed(SEED + seed);
        let mut platform = Platform::default();
        let (base, before) = first(&mut platform);
        let rebase = rng.bool();
        let faults = [4, 8, 15][rng.usize(..3)];
        let mut runs = [("one", [("a", 2), ("b", 1)]), ("two", [("a", 1), ("b", 2)])]
            .map(|(name, list)| request(name, &base, &before, workspaces(&list), rebase))
            .map(Run::new);
        while runs.iter().any(|run| run.outcome().is_none()) {
            let run = &mut runs[rng.usize(..2)];
            if run.outcome().is_none() {
                let event = faulty(&mut platform, &run.action, faults, &mut rng);
                run.feed(event, &mut rng);
            }
        }
        platform.deliver_late();
        for (run, name) in runs.iter().zip(["one", "two"]) {
            let end = check(&platform, run.outcome().unwrap(), name, seed);
            *ends.entry(end).or_insert(0) += 1;
        }
    }
    // Each way to end is reached, so the check above means something.
    let ends: Vec<_> = ends.into_keys().collect();
    assert_eq!(ends, ["conflict", "published", "unknown", "unreachable"]);
}

/// Answers an action, with a fault in `faults` of 16 cases.
fn faulty(platform: &mut Platform, action: &Action, faults: u8, rng: &mut fastrand::Rng) -> Event {
    if rng.u8(..4) == 0 {
        platform.deliver_late();
    }
    if matches!(action, Action::Wait(_)) || rng.u8(..16) >= faults {
        return platform.answer(action);
    }
    let Action::Swap { expected, row } = action else {
        return Event::Failed("down".into());
    };
    match rng.u8(..3) {
        0 => drop(platform.answer(action)),
        1 => platform.late.push((*expected, GenerationRow::clone(row))),
        _ => return Event::Failed("not sent".into()),
    }
    Event::ResponseLost("no answer".into())
}

fn check(platform: &Platform, outcome: &Outcome, name: &str, seed: u64) -> &'static str {
    let rows = platform.rows.values();
    let own: Vec<_> = rows.filter(|row| &*row.publisher == name).collect();
    assert!(own.len() <= 1, "seed {seed}: {name} published twice");
    match outcome {
        Outcome::Published { row, .. } => {
            assert_eq!(own, [&**row], "seed {seed}: {name}");
            "published"
        }
        Outcome::Conflict { .. } => {
            assert!(own.is_empty(), "seed {seed}: {name} has a false conflict");
            "conflict"
        }
        Outcome::Unreachable { .. } => {
            assert!(
                own.is_empty(),
                "seed {seed}: {name} is published but reported as failed"
            );
            "unreachable"
        }
        Outcome::Unknown { .. } => "unknown",
        other => panic!("seed {seed}: {other:?}"),
    }
}
