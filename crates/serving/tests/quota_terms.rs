//! Guards against an entry that turns to another agent while the one before may still grant its part of a limit, and
//! against one that waits for no reason.

mod quota_sim;

use std::time::Duration;

use decision::time::Time;
use quota_sim::quota;
use quota_sim::tenants;
use serving::Name;
use serving::quota::Accounts;
use serving::quota::Ask;
use serving::quota::BUSY_TERM;
use serving::quota::Decision;
use serving::quota::Grant;
use serving::quota::Shares;

/// What a request costs.
const COST: u64 = 300;
/// The interval of requests, in milliseconds.
const STEP: u64 = 20;

/// An entry with one tenant and two agents, the first of which has answered it for a while.
struct Entry {
    accounts: Accounts,
    rng: fastrand::Rng,
    /// The agent that it asks.
    first: Name,
    /// The time of the last answer, in milliseconds.
    now: u64,
}

fn at(ms: u64) -> Time {
    Time::from_ms(60_000 + ms)
}

impl Entry {
    fn start() -> Entry {
        let mut accounts = Accounts::new(
            1,
            Shares {
                entries: 4,
                slack: 0.0,
                excess_s: 0.0,
            },
        );
        accounts.set_limits(1, Some(&tenants(&[quota(100_000.0)])));
        accounts.link(&"r0".into());
        accounts.link(&"r1".into());
        let mut entry = Entry {
            accounts,
            rng: fastrand::Rng::with_seed(5),
            first: Name::from(""),
            now: 0,
        };
        for _ in 0..50 {
            entry.now += STEP;
            let (_, ask) = entry.charge(entry.now);
            if let Some(ask) = ask {
                entry.first = ask.agent.clone();
                entry.answer_all(entry.now, ask);
            }
        }
        entry
    }

    fn charge(&mut self, ms: u64) -> (Decision, Option<Ask>) {
        let tenant = "t0".into();
        self.accounts.charge(at(ms), &tenant, COST, &mut self.rng)
    }

    fn answer(&mut self, ms: u64, ask: &Ask) -> Vec<Ask> {
        let grant = Grant {
            granted: ask.request.want,
            wait: Duration::ZERO,
            stamp: ms,
        };
        let (now, rng) = (at(ms), &mut self.rng);
        let changes = self
            .accounts
            .apply(now, &ask.agent, &ask.tenant, ask.id, grant, rng);
        changes.asks
    }

    /// Answers an ask, and those that follow from the answer.
    fn answer_all(&mut self, ms: u64, ask: Ask) {
        let mut asks = vec![ask];
        while let Some(ask) = asks.pop() {
            asks.extend(self.answer(ms, &ask));
        }
    }

    /// Sends requests until one asks an agent, at most until this time; returns when, and what it asks.
    fn next_ask(&mut self, from: u64, until: u64) -> Option<(u64, Ask)> {
        (from..until).find_map(|ms| {
            let (_, ask) = self.charge(ms);
            let due = self.accounts.due(at(ms)).into_iter();
            let mut asks = ask.into_iter().chain(due);
            let ask = asks.find(|ask| ask.request.membership.is_some_and(|m| m.entries > 0));
            ask.map(|ask| (ms, ask))
        })
    }
}

/// The asks name the last answer, so that the agent knows how old they can be.
#[test]
fn asks_name_the_last_answer() {
    let mut entry = Entry::start();
    let (_, ask) = entry.next_ask(entry.now, entry.now + 500).expect("an ask");
    let membership = ask.request.membership.expect("it brings a part");
    assert_eq!((membership.holder, membership.entries), (1, 4));
    assert!(membership.stamp + 200 >= entry.now, "{membership:?}");
}

#[test]
fn silent_agent_is_left_when_its_term_is_over() {
    let mut entry = Entry::start();
    let term = BUSY_TERM.as_millis() as u64;
    let (asked_at, ask) = entry.next_ask(entry.now, entry.now + 500).expect("an ask");
    let stamp = ask.request.membership.map_or(0, |part| part.stamp);
    let (moved_at, moved) = entry
        .next_ask(asked_at + 1, asked_at + 2 * term)
        .expect("the next agent is asked");
    assert_ne!(moved.agent, entry.first);
    assert!(moved.request.moved);
    assert_eq!(moved.request.membership.map(|part| part.stamp), Some(0));
    assert!(moved_at >= stamp + term, "{moved_at} ms, {stamp} + {term}");
}

/// An answer that is late but comes within the term is used, and the entry stays.
#[test]
fn late_answer_within_the_term_counts() {
    let mut entry = Entry::start();
    let (asked_at, ask) = entry.next_ask(entry.now, entry.now + 500).expect("an ask");
    assert_eq!(entry.next_ask(asked_at + 1, asked_at + 300), None);
    entry.answer_all(asked_at + 300, ask);
    let (_, next) = entry
        .next_ask(asked_at + 301, asked_at + 800)
        .expect("an ask");
    assert_eq!(next.agent, entry.first);
    assert!(!next.request.moved);
}

/// A closed connection shows that the agent counts the part no longer, unless the entry has closed it itself.
#[test]
fn closed_link() {
    for (by_agent, waits) in [(true, false), (false, true)] {
        let mut entry = Entry::start();
        let first = entry.first.clone();
        entry.accounts.unlink(at(entry.now), &first, by_agent);
        let (moved_at, moved) = entry
            .next_ask(entry.now + 1, entry.now + 1_000)
            .expect("the next agent is asked");
        assert_ne!(moved.agent, first);
        assert_eq!(moved_at > entry.now + 300, waits, "after {moved_at} ms");
    }
}

/// An agent that answers gives the part up at once when another one comes before it.
#[test]
fn part_is_taken_away_before_another_agent_is_asked() {
    let mut entry = Entry::start();
    let first = entry.first.clone();
    let other: Name = if &*first == "r0" { "r1" } else { "r0" }.into();
    entry.accounts.unlink(at(entry.now), &other, true);
    entry.accounts.unlink(at(entry.now), &first, true);
    entry.accounts.link(&other);
    for _ in 0..20 {
        entry.now += STEP;
        if let (_, Some(ask)) = entry.charge(entry.now) {
            assert_eq!(ask.agent, other);
            entry.answer_all(entry.now, ask);
        }
    }
    entry.accounts.link(&first);
    let (left_at, leave) = entry
        .next_ask(entry.now + 1, entry.now + 500)
        .expect("an ask");
    let term = leave.request.membership.map(|part| part.term);
    assert_eq!(
        (leave.agent.clone(), term),
        (other.clone(), Some(Duration::ZERO))
    );
    assert_eq!(entry.next_ask(left_at + 1, left_at + 10), None);
    let joined = entry.answer(left_at + 10, &leave);
    let agents: Vec<&Name> = joined.iter().map(|ask| &ask.agent).collect();
    assert_eq!(agents, [&first]);
}

/// Requests that nobody can serve before a term ends are refused at once, and are told when to return.
#[test]
fn blocked_requests_do_not_wait() {
    let mut entry = Entry::start();
    let first = entry.first.clone();
    entry.accounts.unlink(at(entry.now), &first, false);
    let refused = (0..200).find_map(|_| match entry.charge(entry.now + 1).0 {
        Decision::Refused(refusal) => Some(refusal),
        Decision::Admitted(_) => None,
        Decision::Waits(ticket) => panic!("request {ticket} waits"),
    });
    let refusal = refused.expect("the grants are used up");
    assert!(
        refusal.retry_after >= Duration::from_millis(300),
        "{refusal:?}"
    );
}
