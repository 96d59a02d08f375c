//! Tests of publishing against a simulated table that loses, delays and rejects swaps.

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
use objects::Manifest;
use objects::Object;
use objects::ObjectKey;
use objects::ObjectKind;
use objects::ObjectSet;
use objects::Workspace;

const SEED: u64 = 20_261_204;
const CASES: u64 = 400;

/// A fault-free table and object store; [`answer_with_faults`] adds the faults.
#[derive(Default)]
struct Platform {
    head: HeadRow,
    rows: BTreeMap<u64, GenerationRow>,
    blobs: BTreeMap<String, Arc<[u8]>>,
    /// Swaps that were sent but have not reached the table yet.
    delayed_swaps: Vec<(u64, GenerationRow)>,
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

    fn deliver_delayed_swaps(&mut self) {
        for (expected, row) in std::mem::take(&mut self.delayed_swaps) {
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

    /// Carries out an action without faults and returns its result.
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
                false => Event::Conflict,
            },
            Action::ReadBack(generation) => Event::ReadBack {
                row: self.head.clone(),
                generation: self.rows.get(generation).cloned().map(Box::new),
            },
            Action::Wait(_) | Action::Finish(_) => Event::Waited,
        }
    }
}

/// A publisher with its next action and its clock.
struct TestPublisher {
    publisher: Publisher,
    action: Action,
    now: Time,
}

impl TestPublisher {
    fn new(request: Request) -> TestPublisher {
        let now = Time::default();
        let (publisher, action) = Publisher::start(request, now);
        TestPublisher {
            publisher,
            action,
            now,
        }
    }

    fn handle_event(&mut self, event: Event, rng: &mut fastrand::Rng) {
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
    fn run_to_end(&mut self, platform: &mut Platform) -> Outcome {
        let mut rng = fastrand::Rng::with_seed(SEED);
        while self.outcome().is_none() {
            let event = platform.answer(&self.action);
            self.handle_event(event, &mut rng);
        }
        self.outcome().cloned().unwrap()
    }

    /// Runs without faults up to the first action for which `stop` holds.
    fn run_until(&mut self, platform: &mut Platform, stop: impl Fn(&Action) -> bool) {
        let mut rng = fastrand::Rng::with_seed(SEED);
        while !stop(&self.action) {
            let event = platform.answer(&self.action);
            self.handle_event(event, &mut rng);
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

/// Publishes the first generation; returns its head and set.
fn publish_first(platform: &mut Platform) -> (Head, ObjectSet) {
    let set = workspaces(&[("a", 1), ("b", 1)]);
    let base = Head::default();
    let request = request("first", &base, &ObjectSet::default(), set.clone(), false);
    let outcome = TestPublisher::new(request).run_to_end(platform);
    assert!(matches!(outcome, Outcome::Published { .. }), "{outcome:?}");
    (platform.head.head.clone(), set)
}

#[test]
fn second_of_two_publishers_gets_a_conflict() {
    // Guards against a lost update when two operators publish at the same time.
    let mut platform = Platform::default();
    let (base, base_set) = publish_first(&mut platform);
    let edit = |list| request("x", &base, &base_set, workspaces(list), false);
    let mut one = TestPublisher::new(edit(&[("a", 2), ("b", 1)]));
    let mut two = TestPublisher::new(edit(&[("a", 3), ("b", 1)]));
    one.run_until(&mut platform, is_swap);
    two.run_until(&mut platform, is_swap);
    assert!(matches!(
        one.run_to_end(&mut platform),
        Outcome::Published { .. }
    ));
    let conflict = Outcome::Conflict {
        head: platform.head.head.clone(),
        overlap: vec![ObjectKey::new(ObjectKind::Workspace, "a")],
    };
    assert_eq!(two.run_to_end(&mut platform), conflict);
    assert_eq!(platform.rows.len(), 2);
}

#[test]
fn rebase_keeps_what_the_other_publisher_wrote() {
    // Guards against a rebase that publishes the directory unmerged and reverts the other edit.
    let mut platform = Platform::default();
    let (base, base_set) = publish_first(&mut platform);
    let edit = |list| request("x", &base, &base_set, workspaces(list), true);
    let mut one = TestPublisher::new(edit(&[("a", 2), ("b", 1)]));
    let mut two = TestPublisher::new(edit(&[("a", 1), ("b", 7)]));
    two.run_until(&mut platform, is_swap);
    one.run_to_end(&mut platform);
    let Outcome::Published {
        row, own_digest, ..
    } = two.run_to_end(&mut platform)
    else {
        panic!("expected a rebase");
    };
    assert_eq!(row.head.generation, 3);
    assert_ne!(own_digest.to_string(), row.head.digest);
    let set = platform.fetch(&row.head).1;
    assert_eq!(set, workspaces(&[("a", 2), ("b", 7)]));
    // The publisher's own set is stored too, as the base for the next edits in its directory.
    let digest = own_digest.to_string();
    let head = Head {
        generation: 3,
        digest,
    };
    assert_eq!(platform.fetch(&head).1, workspaces(&[("a", 1), ("b", 7)]));
}

#[test]
fn lost_response_is_not_reported_as_failed() {
    // Guards against a second publication or a reported failure after a lost response.
    let mut platform = Platform::default();
    let (base, base_set) = publish_first(&mut platform);
    let set = workspaces(&[("a", 2), ("b", 1)]);
    let mut publisher = TestPublisher::new(request("x", &base, &base_set, set, false));
    publisher.run_until(&mut platform, is_swap);
    platform.answer(&publisher.action);
    let mut rng = fastrand::Rng::with_seed(SEED);
    publisher.handle_event(Event::Unknown("no answer".into()), &mut rng);
    // Another publisher publishes on top of this generation before it is read back.
    let theirs = workspaces(&[("a", 2), ("b", 9)]);
    let (base, base_set) = (
        platform.head.head.clone(),
        workspaces(&[("a", 2), ("b", 1)]),
    );
    TestPublisher::new(request("y", &base, &base_set, theirs, false)).run_to_end(&mut platform);
    let Outcome::Published { row, .. } = publisher.run_to_end(&mut platform) else {
        panic!("expected the lost swap to be found");
    };
    assert_eq!(row.head.generation, 2);
    assert_eq!(platform.rows.len(), 3);
}

#[test]
fn merged_set_is_validated() {
    // Guards against two edits that are valid separately but leave a dangling reference if merged.
    let mut platform = Platform::default();
    let (base, base_set) = publish_first(&mut platform);
    let removal = workspaces(&[("b", 1)]);
    let text = "[[workspace]]\nname = \"a\"\nrate = 1.0\ninflight = 1\n\
        [[workspace]]\nname = \"b\"\nrate = 1.0\ninflight = 1\n\
        [[model]]\nname = \"m\"\nbase = \"m\"\n\
        [[adapter]]\nname = \"x\"\nmodel = \"m\"\nworkspace = \"a\"\n";
    let loaded = objects::load([("b.toml", text)]);
    assert!(!objects::has_errors(&loaded.findings));
    TestPublisher::new(request("one", &base, &base_set, removal, false)).run_to_end(&mut platform);
    let mut edit = request("two", &base, &base_set, loaded.set, true);
    edit.sources = Arc::new(loaded.sources);
    let Outcome::Invalid(findings) = TestPublisher::new(edit).run_to_end(&mut platform) else {
        panic!("expected a dangling reference");
    };
    let expected = "b.toml:15: error: adapter \"x\": workspace \"a\" does not exist; add \
                    `[[workspace]]` with this name or correct `workspace`";
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert!(lines.iter().any(|line| line == expected), "{lines:?}");
    assert_eq!(platform.rows.len(), 2);
}

#[test]
fn outage_ends_within_the_timeout() {
    // Guards against a publisher that never ends, or that reports an unverified swap as failed.
    let mut platform = Platform::default();
    let (base, base_set) = publish_first(&mut platform);
    let edit = || request("x", &base, &base_set, workspaces(&[("a", 9)]), false);
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut down = TestPublisher::new(edit());
    while down.outcome().is_none() {
        let event = match down.action {
            Action::Wait(_) => Event::Waited,
            _ => Event::Failed("down".into()),
        };
        down.handle_event(event, &mut rng);
    }
    let step = Step::ReadHead;
    let reason = "down".to_owned();
    assert_eq!(down.outcome(), Some(&Outcome::Unreachable { step, reason }));
    assert!(down.now.as_ms() <= 10_000, "{:?}", down.now);
    let mut lost = TestPublisher::new(edit());
    lost.run_until(&mut platform, is_swap);
    while lost.outcome().is_none() {
        let event = match lost.action {
            Action::Wait(_) => Event::Waited,
            Action::Swap { .. } => Event::Unknown("cut".into()),
            _ => Event::Failed("down".into()),
        };
        lost.handle_event(event, &mut rng);
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
    // Guards against an interleaving of two publishers with lost, delayed and failed calls in which
    // an edit is published twice, or is published but reported as failed.
    let mut outcomes = BTreeMap::new();
    for seed in 0..CASES {
        let mut rng = fastrand::Rng::with_seed(SEED + seed);
        let mut platform = Platform::default();
        let (base, base_set) = publish_first(&mut platform);
        let rebase = rng.bool();
        let faults = [4, 8, 15][rng.usize(..3)];
        let mut publishers = [("one", [("a", 2), ("b", 1)]), ("two", [("a", 1), ("b", 2)])]
            .map(|(name, list)| request(name, &base, &base_set, workspaces(&list), rebase))
            .map(TestPublisher::new);
        while publishers
            .iter()
            .any(|publisher| publisher.outcome().is_none())
        {
            let publisher = &mut publishers[rng.usize(..2)];
            if publisher.outcome().is_none() {
                let event = answer_with_faults(&mut platform, &publisher.action, faults, &mut rng);
                publisher.handle_event(event, &mut rng);
            }
        }
        platform.deliver_delayed_swaps();
        for (publisher, name) in publishers.iter().zip(["one", "two"]) {
            let kind = check_outcome(&platform, publisher.outcome().unwrap(), name, seed);
            *outcomes.entry(kind).or_insert(0) += 1;
        }
    }
    // Each kind of outcome must occur, otherwise the checks above would be vacuous.
    let outcomes: Vec<_> = outcomes.into_keys().collect();
    assert_eq!(
        outcomes,
        ["conflict", "published", "unknown", "unreachable"]
    );
}

/// Carries out an action, with a fault in `faults` of 16 cases.
fn answer_with_faults(
    platform: &mut Platform,
    action: &Action,
    faults: u8,
    rng: &mut fastrand::Rng,
) -> Event {
    if rng.u8(..4) == 0 {
        platform.deliver_delayed_swaps();
    }
    if matches!(action, Action::Wait(_)) || rng.u8(..16) >= faults {
        return platform.answer(action);
    }
    let Action::Swap { expected, row } = action else {
        return Event::Failed("down".into());
    };
    match rng.u8(..3) {
        0 => drop(platform.answer(action)),
        1 => platform
            .delayed_swaps
            .push((*expected, GenerationRow::clone(row))),
        _ => return Event::Failed("not sent".into()),
    }
    Event::Unknown("no answer".into())
}

fn check_outcome(platform: &Platform, outcome: &Outcome, name: &str, seed: u64) -> &'static str {
    let rows = platform.rows.values();
    let own_rows: Vec<_> = rows.filter(|row| &*row.publisher == name).collect();
    assert!(own_rows.len() <= 1, "seed {seed}: {name} published twice");
    match outcome {
        Outcome::Published { row, .. } => {
            assert_eq!(own_rows, [&**row], "seed {seed}: {name}");
            "published"
        }
        Outcome::Conflict { .. } => {
            assert!(
                own_rows.is_empty(),
                "seed {seed}: {name} has a false conflict"
            );
            "conflict"
        }
        Outcome::Unreachable { .. } => {
            assert!(
                own_rows.is_empty(),
                "seed {seed}: {name} is published but reported as failed"
            );
            "unreachable"
        }
        Outcome::Unknown { .. } => "unknown",
        other => panic!("seed {seed}: {other:?}"),
    }
}
