//! What the platform's front end believes of the executors, and from when: answers of the resolver that don't fit
//! together. Nothing new goes to an executor past the grace after an answer that tells it draining was sent.

mod day;

use day::*;
use orchidtally_invariants::Standing;
use orchidtally_test_servers::platform::Odd;

/// A list came under the serial of a drain and lacked it; the true lists under the same serial were never read
/// (docs/incidents/2026-12-02-drain-after-restart.md).
#[test]
fn a_list_that_lacks_what_its_serial_stands_for_is_put_right_by_the_next() {
    let day = play("old-rows", 1, 4.0, |day| async move {
        day.stage.sleep(0.5).await;
        day.resolver.odd.set(Some((Odd::OldRows, 1.0)));
        day.change(0, Standing::Draining);
        day.stage.sleep(0.3).await;
        day.resolver.odd.set(None);
    });
    assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
    kept("old-rows", day, 0.95);
}
