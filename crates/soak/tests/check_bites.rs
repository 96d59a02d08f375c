//! Guards against checks that pass whatever the programs do: each broken promise is seen in a small
//! history, and its excused counterpart is not.

use soak::checks::Promise;
use soak::checks::breaches;
use soak::history::Arrival;
use soak::history::Call;
use soak::history::End;
use soak::history::History;
use soak::history::Kind;
use soak::history::Ms;
use soak::history::Order;
use soak::history::Span;
use soak::history::Target;
use soak::world::BOUNDS;

const LAST_EVENT: u64 = 2;

fn history() -> History {
    History::new(BOUNDS, LAST_EVENT)
}

fn call(id: &str, kind: Kind, sent: Ms, end: End) -> Call {
    Call {
        id: id.into(),
        kind,
        entry: 0,
        life: 1,
        sent,
        ended: sent + 50,
        end,
    }
}

fn answer(status: u16, seal: Option<&str>, body: &str, whole: bool) -> End {
    End::Answer {
        status,
        seal: seal.map(str::to_owned),
        body: body.into(),
        whole,
    }
}

fn served(id: &str) -> End {
    answer(200, Some(&format!("1.200.{id}")), &format!("ok {id}"), true)
}

fn refused() -> End {
    answer(503, None, "", true)
}

fn stream(id: &str, body: &str, whole: bool) -> End {
    answer(200, Some(&format!("1.200.{id}")), body, whole)
}

fn arrival(request: &str, runner: &str, begun: Ms) -> Arrival {
    Arrival {
        runner: runner.into(),
        service: runner[..1].into(),
        request: request.into(),
        ran: true,
        adapter: None,
        begun,
        ended: Some(begun + 20),
    }
}

fn disturbed(target: Target, planned: bool, from: Ms, to: Ms) -> Span {
    Span {
        target,
        planned,
        from,
        to,
    }
}

fn promises(history: &History) -> Vec<Promise> {
    let mut promises: Vec<Promise> = Vec::new();
    for breach in breaches(history) {
        if !promises.contains(&breach.promise) {
            promises.push(breach.promise);
        }
    }
    promises
}

#[test]
fn second_run_of_a_once_request_is_seen() {
    let mut seen = history();
    seen.calls.push(call("a", Kind::Once, 100, served("a")));
    seen.arrivals.push(arrival("a", "s-4.1", 110));
    assert_eq!(promises(&seen), []);
    seen.arrivals.push(arrival("a", "s-5.1", 140));
    assert_eq!(promises(&seen), [Promise::Once]);
}

#[test]
fn run_behind_a_refusal_is_seen() {
    let mut seen = history();
    seen.calls.push(call("a", Kind::Once, 100, refused()));
    assert_eq!(promises(&seen), []);
    seen.arrivals.push(arrival("a", "s-4.1", 5_000));
    assert_eq!(promises(&seen), [Promise::Refused]);
}

#[test]
fn foreign_and_unsealed_answers_are_seen() {
    let cases = [
        served("b"),
        answer(200, None, "ok a", true),
        answer(200, Some("1.200.a"), "ok b", true),
        answer(502, Some("1.500.a"), "bad", true),
    ];
    for end in cases {
        let mut seen = history();
        seen.calls.push(call("a", Kind::Safe, 100, end.clone()));
        assert_eq!(promises(&seen), [Promise::Whole], "{end:?}");
    }
}

#[test]
fn missing_repeated_and_unfinished_events_are_seen() {
    let event = |number: u64| format!("id: {number}\ndata: e{number} a\n\n");
    let whole = event(1) + &event(2);
    let cases = [
        (whole.clone(), true, vec![]),
        (event(1), false, vec![]),
        (event(2), false, vec![Promise::Order]),
        (event(1) + &whole, true, vec![Promise::Order]),
        (event(1), true, vec![Promise::Order]),
        (event(1) + "id: 2\nda", false, vec![Promise::Order]),
    ];
    for (body, complete, broken) in cases {
        let mut seen = history();
        let end = stream("a", &body, complete);
        seen.calls.push(call("a", Kind::Stream, 100, end));
        assert_eq!(promises(&seen), broken, "{body:?}");
    }
}

#[test]
fn unknown_request_and_wrong_service_are_seen() {
    let mut seen = history();
    seen.arrivals.push(arrival("a", "s-4.1", 110));
    assert_eq!(promises(&seen), [Promise::Asked]);
    seen.calls.push(call("a", Kind::Safe, 100, served("a")));
    assert_eq!(promises(&seen), []);
    seen.arrivals[0].service = "t".into();
    assert_eq!(promises(&seen), [Promise::Asked]);
}

#[test]
fn request_to_a_runner_that_left_is_seen() {
    let late = 10_000 + BOUNDS.drain + 10;
    let mut seen = history();
    seen.calls
        .push(call("a", Kind::Safe, late - 10, served("a")));
    seen.arrivals.push(arrival("a", "s-4.1", late));
    seen.leaving.push(("s-4.1".into(), 10_000));
    assert_eq!(promises(&seen), [Promise::Drain]);
    for target in [Target::Store, Target::Entry(0), Target::Runner(4)] {
        let mut excused = seen.clone();
        excused.spans.push(disturbed(target, false, 9_000, 9_500));
        assert_eq!(promises(&excused), [], "{target:?}");
    }
    seen.spans
        .push(disturbed(Target::Entry(1), false, 9_000, 9_500));
    assert_eq!(promises(&seen), [Promise::Drain], "another entry's fault");
}

#[test]
fn late_and_forgotten_manifests_are_seen() {
    let missing = || answer(404, None, "", true);
    let mut seen = history();
    seen.configs = vec![(1, 0), (2, 10_000)];
    let sent = 10_000 + BOUNDS.config + 10;
    seen.calls.push(call("a", Kind::Dated(2), sent, missing()));
    assert_eq!(promises(&seen), [Promise::Manifest]);
    seen.calls[0].sent = 10_500;
    seen.calls[0].ended = 10_550;
    assert_eq!(promises(&seen), []);
    seen.calls
        .insert(0, call("b", Kind::Dated(2), 10_100, served("b")));
    assert_eq!(promises(&seen), [Promise::Manifest], "it was served before");
    seen.calls[1].life = 2;
    assert_eq!(promises(&seen), [], "the entry started again");
}

#[test]
fn dropped_route_that_is_still_served_is_seen() {
    let mut seen = history();
    seen.configs = vec![(1, 0), (2, 10_000), (3, 20_000)];
    let sent = 20_000 + BOUNDS.config + 10;
    seen.calls
        .push(call("a", Kind::Dated(1), sent, served("a")));
    assert_eq!(promises(&seen), [Promise::Manifest]);
}

#[test]
fn denied_route_that_every_manifest_has_is_seen() {
    let mut seen = history();
    let end = answer(404, None, "", true);
    seen.calls.push(call("a", Kind::Safe, 100, end));
    assert_eq!(promises(&seen), [Promise::Manifest]);
}

#[test]
fn second_attempts_beyond_the_budget_are_seen() {
    let mut seen = history();
    let allowed = BOUNDS.retry_slack as u64 + (BOUNDS.retry_ratio * 40.0) as u64;
    for index in 0..40 {
        let id = format!("a{index}");
        seen.calls
            .push(call(&id, Kind::Safe, 100 + index, served(&id)));
        seen.arrivals.push(arrival(&id, "s-4.1", 110 + index));
    }
    for index in 0..=allowed {
        assert_eq!(promises(&seen), []);
        let id = format!("a{}", index % 40);
        seen.arrivals.push(arrival(&id, "s-5.1", 200 + index));
    }
    assert_eq!(promises(&seen), [Promise::Budget]);
}

#[test]
fn outdated_adapter_version_is_seen() {
    let late = 10_000 + BOUNDS.version + 10;
    let mut seen = history();
    seen.versions.push(("a1".into(), 2, 10_000));
    let end = answer(503, None, "", true);
    seen.calls.push(call("a", Kind::Stream, late - 10, end));
    seen.arrivals.push(arrival("a", "e-0.1", late));
    seen.arrivals[0].adapter = Some(("a1".into(), 2));
    assert_eq!(promises(&seen), []);
    seen.arrivals[0].adapter = Some(("a1".into(), 1));
    assert_eq!(promises(&seen), [Promise::Version]);
    seen.spans
        .push(disturbed(Target::Store, false, 11_000, 12_000));
    assert_eq!(promises(&seen), []);
}

#[test]
fn second_holder_and_overfull_runner_are_seen() {
    let order = |holder: &str, over| Order {
        runner: "e-0.1".into(),
        holder: holder.into(),
        at: 100,
        over,
    };
    let mut seen = history();
    seen.orders = vec![order("x", false), order("x", false)];
    assert_eq!(promises(&seen), []);
    seen.orders.push(order("y", false));
    assert_eq!(promises(&seen), [Promise::Holder]);
    seen.orders = vec![order("x", true)];
    assert_eq!(promises(&seen), [Promise::Holder]);
}

#[test]
fn work_for_callers_that_left_is_seen() {
    let mut seen = history();
    for index in 0..8 {
        let id = format!("a{index}");
        seen.calls.push(call(&id, Kind::Safe, 100, End::Left));
        let mut run = arrival(&id, "s-4.1", 110);
        run.ended = Some(150 + BOUNDS.gone);
        seen.arrivals.push(run);
    }
    assert_eq!(promises(&seen), []);
    for run in &mut seen.arrivals {
        run.ended = None;
    }
    assert_eq!(promises(&seen), [Promise::Gone]);
}

#[test]
fn answer_lost_at_a_planned_stop_is_seen() {
    let mut seen = history();
    seen.calls.push(call("a", Kind::Once, 5_000, End::Closed));
    seen.spans
        .push(disturbed(Target::Entry(0), true, 4_900, 6_000));
    assert_eq!(promises(&seen), [], "it was not passed on");
    seen.arrivals.push(arrival("a", "s-4.1", 5_010));
    assert_eq!(promises(&seen), [Promise::Lost]);
    seen.spans
        .push(disturbed(Target::Entry(0), false, 5_005, 5_006));
    assert_eq!(promises(&seen), [], "the entry was killed too");
}

#[test]
fn missing_service_after_a_kill_of_all_is_seen() {
    let mut seen = history();
    seen.killed = Some(1_000);
    let back = 1_000 + BOUNDS.recovery;
    seen.calls
        .push(call("a", Kind::Safe, back - 100, refused()));
    assert_eq!(promises(&seen), []);
    for index in 0..4 {
        let id = format!("b{index}");
        seen.calls
            .push(call(&id, Kind::Safe, back + 100, refused()));
    }
    assert_eq!(promises(&seen), [Promise::Recovery]);
    seen.calls
        .push(call("c", Kind::Safe, back + 200, served("c")));
    seen.calls
        .push(call("d", Kind::Safe, back + 200, served("d")));
    assert_eq!(promises(&seen), []);
}

#[test]
fn exit_without_a_request_is_seen() {
    let mut seen = history();
    seen.exits.push("entry 0 ended by itself".into());
    assert_eq!(promises(&seen), [Promise::Exit]);
}
