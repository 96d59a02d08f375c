//! Checks what one entry does with grants, credit and asks, step by step.

mod quota_sim;

use std::time::Duration;

use decision::time::Time;
use quota_sim::quota;
use quota_sim::tenants;
use serving::Name;
use serving::quota::Account;
use serving::quota::Accounts;
use serving::quota::Ask;
use serving::quota::Changes;
use serving::quota::Decision;
use serving::quota::Grant;
use serving::quota::Shares;

/// An entry with one tenant of 1,000 tokens a second, and two agents.
struct Entry {
    accounts: Accounts,
    rng: fastrand::Rng,
}

impl Entry {
    fn start(slack: f64) -> Entry {
        let mut accounts = Accounts::new(
            1,
            Shares {
                entries: 1,
                slack,
                excess_s: 0.0,
            },
        );
        accounts.set_limits(1, Some(&tenants(&[quota(1_000.0)])));
        accounts.link(&"r0".into());
        accounts.link(&"r1".into());
        Entry {
            accounts,
            rng: fastrand::Rng::with_seed(5),
        }
    }

    fn charge(&mut self, ms: u64, cost: u64) -> (Decision, Option<Ask>) {
        self.accounts.charge(at(ms), &tenant(), cost, &mut self.rng)
    }

    fn answer(&mut self, ms: u64, ask: &Ask, granted: u64, wait_ms: u64) -> Changes {
        let wait = Duration::from_millis(wait_ms);
        let grant = Grant {
            granted,
            wait,
            ..Grant::default()
        };
        self.accounts.apply(
            at(ms),
            &ask.agent,
            &ask.tenant,
            ask.id,
            grant,
            &mut self.rng,
        )
    }

    fn held(&mut self) -> u64 {
        self.accounts.get("t0").map_or(0, Account::held)
    }
}

fn tenant() -> Name {
    "t0".into()
}

fn at(ms: u64) -> Time {
    Time::from_ms(60_000 + ms)
}

fn retry_after(decision: Decision) -> Duration {
    match decision {
        Decision::Refused(refusal) => refusal.retry_after,
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against tokens that an entry spends long after they were granted.
#[test]
fn grants_expire() {
    for (ms, served) in [(999, true), (1_000, false)] {
        let mut entry = Entry::start(0.0);
        let (_, ask) = entry.charge(0, 300);
        entry.answer(2, &ask.expect("an ask"), 600, 0);
        assert_eq!(entry.held(), 300);
        let (decision, _) = entry.charge(ms, 300);
        let admitted = matches!(decision, Decision::Admitted(_));
        assert_eq!(admitted, served, "{decision:?} after {ms} ms");
    }
}

/// Guards against a grant that is used though its tokens were asked elsewhere meanwhile.
#[test]
fn late_answer() {
    let mut entry = Entry::start(0.0);
    let (_, ask) = entry.charge(0, 300);
    let ask = ask.expect("an ask");
    let again = entry.accounts.due(at(150));
    assert_ne!(again[0].agent, ask.agent);
    assert_eq!(entry.answer(151, &ask, 300, 0), Changes::default());
    assert_eq!(entry.held(), 0);
    assert_eq!(entry.answer(152, &again[0], 300, 0).settled.len(), 1);
}

/// Guards against credit that no agent subtracts because the ask that reported it had no answer, or because its
/// agent had not been repaid when the link ended.
#[test]
fn credit_reported_again() {
    let mut entry = Entry::start(1_000.0);
    let (decision, ask) = entry.charge(0, 300);
    assert!(matches!(decision, Decision::Admitted(_)));
    let ask = ask.expect("the credit is reported");
    assert_eq!(ask.request.spent, 300);
    let (_, again) = entry.charge(150, 100);
    let again = again.expect("the next agent is asked");
    assert_eq!((again.request.spent, again.request.moved), (400, true));
    // A bucket below 0 has not been repaid.
    entry.answer(152, &again, 0, 400);
    entry.accounts.unlink(at(153), &again.agent, true);
    entry.accounts.unlink(at(153), &ask.agent, true);
    entry.accounts.link(&ask.agent);
    let (_, last) = entry.charge(160, 500);
    assert_eq!(last.map(|ask| ask.request.spent), Some(400));
}

/// Guards against a flood of waiting requests.
#[test]
fn bounded_waits() {
    let mut entry = Entry::start(0.0);
    let waits = (0..300).filter(|_| matches!(entry.charge(0, 1).0, Decision::Waits(_)));
    assert_eq!(waits.count(), 256);
}

/// Guards against requests that wait, or send messages, while the bucket is known to be empty.
#[test]
fn empty_bucket() {
    let mut entry = Entry::start(0.0);
    let (_, ask) = entry.charge(0, 300);
    let changes = entry.answer(2, &ask.expect("an ask"), 0, 1_000);
    assert!(changes.settled[0].result.is_err(), "{changes:?}");
    let mut probes = Vec::new();
    for ms in 3..303 {
        let (decision, ask) = entry.charge(ms, 300);
        match ask {
            Some(ask) => {
                probes.push(ms);
                entry.answer(ms, &ask, 0, 1_000);
            }
            None => assert!(matches!(decision, Decision::Refused(_))),
        }
    }
    assert_eq!(probes, [3, 103, 203]);
}

/// Guards against refused callers that return before the tokens of those refused earlier are there.
#[test]
fn later_return() {
    let mut entry = Entry::start(0.0);
    let (_, ask) = entry.charge(0, 300);
    entry.answer(2, &ask.expect("an ask"), 0, 100);
    let (_, probe) = entry.charge(3, 300);
    assert!(probe.is_some());
    let first = retry_after(entry.charge(4, 100).0);
    assert!(first < Duration::from_millis(1_100), "{first:?}");
    for _ in 0..20 {
        entry.charge(4, 100);
    }
    let last = retry_after(entry.charge(4, 100).0);
    assert!(last >= Duration::from_millis(2_000), "{last:?}");
}

/// Guards against the bucket of an idle tenant that its agent drops, so that it is empty when traffic begins.
#[test]
fn idle_tenant() {
    let mut entry = Entry::start(0.0);
    let named: Vec<u64> = (0..41_000)
        .step_by(250)
        .filter(|ms| {
            let asks = entry.accounts.due(at(*ms));
            for ask in &asks {
                entry.answer(*ms, ask, 0, 0);
            }
            !asks.is_empty()
        })
        .collect();
    assert_eq!(named, [0, 20_000, 40_000]);
}

/// Guards against requests that wait for an agent whose link has ended.
#[test]
fn lost_link() {
    let mut entry = Entry::start(0.0);
    let (_, ask) = entry.charge(0, 300);
    let ask = ask.expect("an ask");
    let again = entry.accounts.unlink(at(10), &ask.agent, true);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].agent, ask.agent);
    assert_eq!(entry.answer(12, &again[0], 300, 0).settled.len(), 1);
}
