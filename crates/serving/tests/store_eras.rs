//! Guards against answers of the store that are taken for answers of another era: a restore that goes
//! unnoticed, or a delayed answer that passes for one.

use std::time::Duration;

use decision::time::Time;
use serving::store_era::Era;
use serving::store_era::EraChange;
use serving::store_era::EraTracker;
use serving::store_era::RestoreCount;

/// Records answers as `(started_ms, now_ms, era)`.
fn record(tracker: &mut EraTracker, answers: &[(u64, u64, u64)]) -> Vec<EraChange> {
    let answers = answers.iter();
    answers
        .map(|(started, now, era)| {
            tracker.record(
                Time::from_ms(*started),
                Time::from_ms(*now),
                Some(Era(*era)),
            )
        })
        .collect()
}

#[test]
fn first_era_is_no_restore() {
    let mut tracker = EraTracker::default();
    assert_eq!(record(&mut tracker, &[(0, 5, 3)]), [EraChange::None]);
    assert_eq!(tracker.restores(), RestoreCount(0));
}

#[test]
fn higher_era_is_one_restore() {
    let mut tracker = EraTracker::default();
    let changes = record(&mut tracker, &[(0, 5, 3), (6, 9, 4), (10, 12, 4)]);
    assert_eq!(
        changes,
        [
            EraChange::None,
            EraChange::Restored(Era(3)),
            EraChange::None
        ]
    );
    assert_eq!(tracker.restores(), RestoreCount(1));
}

#[test]
fn delayed_answer_of_the_era_before_is_outdated() {
    let mut tracker = EraTracker::default();
    let changes = record(&mut tracker, &[(0, 5, 3), (6, 9, 4), (2, 12, 3)]);
    assert_eq!(changes[2], EraChange::Outdated);
    assert_eq!(tracker.restores(), RestoreCount(1));
}

/// A store that counts its eras anew must not be ignored for ever.
#[test]
fn lower_era_in_answer_to_a_later_call_is_a_restore() {
    let mut tracker = EraTracker::default();
    let changes = record(&mut tracker, &[(0, 5, 3), (6, 9, 1)]);
    assert_eq!(changes[1], EraChange::Restored(Era(3)));
}

#[test]
fn answer_without_an_era_changes_nothing() {
    let mut tracker = EraTracker::default();
    record(&mut tracker, &[(0, 5, 3)]);
    let change = tracker.record(Time::from_ms(6), Time::from_ms(7), None);
    assert_eq!(change, EraChange::None);
}

#[test]
fn store_settles_a_while_after_a_restore() {
    let period = Duration::from_millis(100);
    let mut tracker = EraTracker::default();
    assert!(tracker.is_settled(Time::default(), period));
    record(&mut tracker, &[(0, 5, 3), (6, 50, 4)]);
    assert!(!tracker.is_settled(Time::from_ms(149), period));
    assert!(tracker.is_settled(Time::from_ms(150), period));
}
