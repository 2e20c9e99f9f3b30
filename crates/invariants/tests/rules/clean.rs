//! Records without violations.

use crate::support::*;
use orchidtally_invariants::*;

#[test]
fn clean_records_are_checked_and_violate_no_rule() {
    let fleet = [0, 0, 1].map(|cell| Executor { zone: 0, cell });
    let verdict = check_rules(&limits(), &fleet, &clean_records());
    assert!(verdict.holds(), "{:?}", verdict.rules);
    assert_eq!((verdict.invocations, verdict.succeeded), (1, 1));
    let checked: Vec<u64> = verdict.rules.iter().map(|rule| rule.checked).collect();
    assert!(
        checked[0] == 1 && checked[1] >= 4 && checked[2] == 3 && checked[4] == 1,
        "{checked:?}"
    );
}
