//! Guards against rate levels that change with every request, which would be told to all entries.

use serving::demand::RateLevel;

#[test]
fn level_follows_the_rate() {
    let level = |rate| RateLevel::default().follow(rate);
    assert!(level(0.9).is_low());
    assert!(level(3.0) < level(30.0));
    for rate in [2.0, 5.0, 17.0, 100.0, 4_000.0] {
        let known = level(rate).per_second();
        assert!(
            known >= rate / 1.5 && known <= rate * 1.5,
            "{rate}: {known}"
        );
    }
    assert!(level(1e12).per_second().is_finite());
}

#[test]
fn small_changes_keep_the_level() {
    let level = RateLevel::default().follow(4.1);
    assert_eq!(level.follow(3.6), level);
    assert_eq!(level.follow(8.4), level);
    assert_ne!(level.follow(2.0), level);
    assert_ne!(level.follow(12.0), level);
}
