//! Guards against changes of one batch that are applied out of their order: a runner that has started
//! again is lost, or one that has left is kept.

use std::time::Duration;

use decision::time::Time;
use serving::members::Change;
use serving::members::MemberRow;
use serving::members::Members;
use serving::runner::Member;
use serving::runner::Phase;

const CONTACT: Duration = Duration::from_millis(3_000);

fn member(born: u64) -> Member {
    Member {
        id: "a".into(),
        service: "chat".into(),
        addr: "10.0.0.1:80".parse().expect("valid address"),
        domain: "z".into(),
        slots: 4,
        phase: Phase::Ready,
        models: Vec::new(),
        adapters: Vec::new(),
        born,
    }
}

#[test]
fn changes_of_a_batch_are_applied_in_their_order() {
    let (written, removed) = (MemberRow::Written, || MemberRow::Removed("a".into()));
    let (present, gone) = (Change::Present, || Change::Gone("a".into()));
    let cases = [
        (
            vec![removed(), written(member(2))],
            vec![gone(), present(member(2))],
            Some(2),
        ),
        (
            vec![written(member(2)), removed()],
            vec![present(member(2)), gone()],
            None,
        ),
        (
            vec![written(member(2)), removed(), written(member(3))],
            vec![present(member(2)), gone(), present(member(3))],
            Some(3),
        ),
    ];
    for (rows, expected, born) in cases {
        let now = Time::from_ms(10);
        let mut members = Members::new(CONTACT);
        members.store_answered(now);
        members.apply_snapshot(now, vec![member(1)]);
        assert_eq!(members.apply_rows(now, rows), expected);
        assert_eq!(members.iter().next().map(|member| member.born), born);
    }
}
