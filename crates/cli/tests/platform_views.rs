//! What the platform's front end believes of the executors, and from when: answers of the resolver that don't fit
//! together. Nothing new goes to an executor past the grace after an answer that tells it draining was sent.

mod day;

use day::*;
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::platform::AnswerFault;

/// A list came under the serial of a drain and lacked it; the true lists under the same serial were never read
/// (docs/incidents/2026-12-02-drain-after-restart.md).
#[test]
fn a_list_that_lacks_what_its_serial_stands_for_is_put_right_by_the_next() {
    let day = play("old-rows", 1, 4.0, |day| async move {
        day.stage.sleep(0.5).await;
        day.resolver
            .answer_fault
            .set(Some((AnswerFault::PreviousRows, 1.0)));
        day.change(0, EndpointState::Draining);
        day.stage.sleep(0.3).await;
        day.resolver.answer_fault.set(None);
    });
    assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
    kept("old-rows", day, 0.95);
}

/// What stays in the network or at the resolver after a fault is over must not cost more than the fault's own time.
#[test]
fn a_serial_too_high_an_odd_row_or_an_odd_standing_hide_no_drain() {
    let odds = [
        AnswerFault::SerialJump(1),
        AnswerFault::SerialJump(1_000),
        AnswerFault::SerialJump(u32::MAX / 2),
        AnswerFault::UnreadableText,
        AnswerFault::WrongState,
        AnswerFault::Duplicated,
    ];
    for odd in odds {
        let name = format!("hides-{odd:?}");
        let day = play(&name, 1, 3.5, |day| async move {
            day.stage.sleep(0.5).await;
            day.resolver.answer_fault.set(Some((odd, 1.0)));
            day.stage.sleep(0.3).await;
            // A row that can't be read, or a doubled answer, may go on for good.
            let goes_on = matches!(odd, AnswerFault::UnreadableText | AnswerFault::Duplicated);
            day.resolver
                .answer_fault
                .set(Some((odd, 1.0)).filter(|_| goes_on));
            day.change(0, EndpointState::Draining);
            day.executors[0].draining.set(true);
        });
        assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
        kept(&name, day, 0.95);
    }
}

/// A process that is stopped, and goes on with clients' bytes in its sockets and a list from before.
#[test]
fn a_front_end_that_stood_still_sends_nothing_before_it_has_heard_again() {
    for silent in [0.0, 1.0] {
        let name = format!("stopped-{silent}");
        let day = play(&name, 1, 7.0, |day| async move {
            day.stage.sleep(1.0).await;
            day.signal(0, "STOP");
            day.stage.sleep(0.1).await;
            // What happens while it is stopped counts as told by the time limit.
            day.change(0, EndpointState::Draining);
            day.resolver.initial_list(0);
            day.stage.sleep(2.4).await;
            if silent > 0.0 {
                day.resolver.stop_answering(silent, 4.5, 1);
            }
            day.signal(0, "CONT");
        });
        assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
        kept(&name, day, 0.5);
    }
}

/// Each answer is three seconds late, for good: what it tells was told three seconds ago. Nobody can keep the grace
/// then, but it ends with the answer; one that drains turns away what comes.
#[test]
fn answers_that_are_all_seconds_late_are_believed() {
    let (verdict, succeeded) = play("seconds-late", 1, 9.0, |day| async move {
        day.resolver
            .answer_fault
            .set(Some((AnswerFault::DelayedBy(3_000), 1.0)));
        day.stage.sleep(4.0).await;
        day.change(0, EndpointState::Draining);
        day.executors[0].draining.set(true);
    });
    println!("{:#?}", verdict.rules[2]);
    assert!(verdict.rules[2].violations <= 2, "{:#?}", verdict.rules[2]);
    assert!(succeeded >= 0.95, "{succeeded}");
}

/// SIGHUP came while the file could not be read, for longer than it is read again at short intervals.
#[test]
fn a_file_that_is_whole_long_after_the_signal_is_taken() {
    let day = play("whole-late", 1, 13.0, |day| async move {
        day.stage.sleep(0.3).await;
        std::fs::write(day.file(0), "{ half").unwrap();
        day.signal(0, "HUP");
        day.stage.sleep(5.0).await;
        let moved = day.resolver.open(0).unwrap();
        day.dns.borrow_mut()[0] = moved;
        day.resolver.answer_only_at(moved);
        day.configure(0);
        day.stage.sleep(4.2).await;
        day.change(0, EndpointState::Draining);
    });
    assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
    kept("whole-late", day, 0.95);
}
