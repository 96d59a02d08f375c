//! Which configuration is in force after the store has lost some. Guards against a confirmed version
//! that an older one replaces, and against a version that is given out again and not taken.

use std::time::Duration;

use serving::config::Config;
use serving::config::Limits;
use serving::config::Precedence;
use serving::config::Service;
use serving::store_era::RestoreCount;

const LIMITS: Limits = Limits {
    header_bytes: 1_000,
    body_bytes: 1_000,
    read_timeout: Duration::from_secs(1),
    idle_timeout: Duration::from_secs(1),
};
const BEFORE: RestoreCount = RestoreCount(0);
const AFTER: RestoreCount = RestoreCount(1);

fn config(version: u64, service: &str) -> Config {
    let service = Service {
        name: service.into(),
        max_conns: 1,
        engine: None,
    };
    Config::new(version, Vec::new(), vec![service], LIMITS)
}

#[test]
fn first_configuration_takes_effect() {
    let precedence = config(1, "a").precedence(BEFORE, None);
    assert_eq!(precedence, Precedence::Newer);
}

#[test]
fn configurations_before_and_after_a_restore() {
    let known = config(5, "a");
    let cases = [
        (config(6, "b"), BEFORE, Precedence::Newer),
        (config(5, "a"), BEFORE, Precedence::Same),
        // Without a restore, a version has one content; the first one read stays.
        (config(5, "b"), BEFORE, Precedence::Same),
        (config(4, "b"), BEFORE, Precedence::Older),
        (config(6, "b"), AFTER, Precedence::Newer),
        (config(5, "a"), AFTER, Precedence::Same),
        (config(5, "b"), AFTER, Precedence::Newer),
        (config(4, "b"), AFTER, Precedence::Older),
    ];
    for (offered, restores, expected) in cases {
        let precedence = offered.precedence(restores, Some((&known, BEFORE)));
        assert_eq!(precedence, expected, "{offered:?} after {restores}");
    }
}
