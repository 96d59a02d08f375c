//! The number of entries among which limits and budgets are divided.

mod common;

use decision::time::Time;
use serving::backpressure::NoticeSource;
use serving::entry_count::EntryCount;
use serving::fleet::Fleet;
use serving::link::RunnerState;
use serving::runner::Notice;

/// Guards against a share that is too large because an agent that has just started, and knows few
/// entries, is believed.
#[test]
fn restarted_agent_does_not_lower_the_count() {
    let mut entries = EntryCount::default();
    entries.record(Time::from_ms(1_000), 68);
    entries.record(Time::from_ms(2_000), 1);
    assert_eq!(entries.get(), 68);
    entries.record(Time::from_ms(11_500), 60);
    assert_eq!(entries.get(), 60, "entries that are gone count for ever");
}

/// Guards against a budget that all entries take whole, because one agent reports a low number of them.
#[test]
fn fleet_keeps_the_highest_report() {
    let now = Time::from_ms(1_000);
    let mut fleet = common::fleet(2, now);
    let report = |entries| RunnerState {
        entries,
        ..common::state(&[])
    };
    fleet.apply_update(now, "r0", &report(30).update_since(None));
    fleet.apply_update(now, "r1", &report(2).update_since(None));
    assert_eq!(fleet.entries.get(), 30);
}

/// Guards against a limit that is divided among too few entries before any agent has reported their
/// number: in a large deployment there are as many entries as runners at most.
#[test]
fn large_fleet_has_many_entries() {
    let now = Time::from_ms(1_000);
    let mut few = Fleet::new("z".into());
    let mut many = Fleet::new("z".into());
    few.join(now, common::member("r0"));
    for index in 0..100 {
        many.join(now, common::member(&format!("r{index}")));
    }
    assert_eq!(few.entries.get(), 8);
    assert_eq!(many.entries.get(), 100);
    let (few, many) = (requests_taken(few), requests_taken(many));
    assert!(4 * many < few, "{many} of 100 entries, {few} of few");
}

/// Returns how many requests an entry sends in a minute to a runner that names a limit of 6 a second.
fn requests_taken(mut fleet: Fleet) -> usize {
    let notice = Notice {
        rate_limit: Some(6.0),
        ..Notice::default()
    };
    let named_at = Time::from_ms(1_000);
    let source = NoticeSource {
        runner: &"r0".into(),
        born: common::BORN,
        sent_at: named_at,
        ran: true,
    };
    let mut rng = fastrand::Rng::with_seed(1);
    fleet.record_notice(named_at, &mut rng, source, &notice);
    let times = (1_000..60_000).step_by(10).map(Time::from_ms);
    let taken = times.filter(|now| fleet.backpressure.take(*now, "r0", common::BORN, None));
    taken.count()
}
