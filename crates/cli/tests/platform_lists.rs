//! Days on which the list of executors changes, and its resolver fails: nothing new goes to an executor past the grace
//! after that was told, which it is once an answer that holds it was sent, lost or not.

mod day;

use day::*;
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::platform::AnswerFault;

#[test]
fn executors_drained_gone_and_started_anew_keep_the_rules() {
    let (verdict, succeeded) = play("drain", 2, 3.0, |day| async move {
        day.stage.sleep(0.5).await;
        day.change(0, EndpointState::Draining);
        day.executors[0].draining.set(true);
        (1..3).for_each(|x| day.change(x, EndpointState::Gone));
        day.stage.sleep(0.8).await;
        // What the last ones held goes to those that are cold.
        for x in 1..3 {
            day.executors[x].started_at.set(day.stage.now());
            day.change(x, EndpointState::Ready);
        }
        (3..5).for_each(|x| day.change(x, EndpointState::Gone));
    });
    assert!(
        verdict.rules[2].checked > 0 && verdict.rules[3].checked > 0,
        "{verdict:?}"
    );
    kept("drain", (verdict, succeeded), 0.9);
}

#[test]
fn an_odd_resolver_that_moves_keeps_the_rules() {
    for odd in [
        AnswerFault::Dropped,
        AnswerFault::WrongId,
        AnswerFault::Truncated,
        AnswerFault::CutShort,
        AnswerFault::ServerFailure,
        AnswerFault::PreviousList,
        AnswerFault::Delayed,
    ] {
        let name = format!("{odd:?}");
        let day = play(&name, 2, 3.0, |day| async move {
            day.resolver.answer_fault.set(Some((odd, 0.25)));
            day.stage.sleep(0.3).await;
            day.change(0, EndpointState::Draining);
            day.stage.sleep(0.5).await;
            for j in 0..2 {
                let moved = day.resolver.open(j).unwrap();
                day.dns.borrow_mut()[j as usize] = moved;
                day.configure(j);
                day.signal(j, "HUP");
            }
            day.stage.sleep(0.5).await;
            day.change(3, EndpointState::Gone);
            day.stage.sleep(1.0).await;
        });
        kept(&name, day, 0.95);
    }
}

/// Each answer comes after the next query went out, so that there is never one alone.
#[test]
fn a_resolver_whose_answers_are_all_late_is_heard() {
    let day = play("all-late", 2, 3.0, |day| async move {
        day.resolver
            .answer_fault
            .set(Some((AnswerFault::Delayed, 1.0)));
        day.stage.sleep(0.5).await;
        day.change(0, EndpointState::Draining);
        day.stage.sleep(0.9).await;
        day.change(1, EndpointState::Gone);
        // Those that are told gone take nothing that is sent to them all the same.
        day.stage.sleep(0.7).await;
        day.executors[..2].iter().for_each(|e| e.draining.set(true));
    });
    assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
    kept("all-late", day, 0.98);
}

/// Past 4.5 s what it would have told counts as told: it comes back before the grace after that is over.
#[test]
fn a_resolver_that_is_away_keeps_the_rules() {
    let day = play("away", 2, 6.5, |day| async move {
        day.stage.sleep(0.3).await;
        day.resolver.stop_answering(4.6, 4.5, 2);
        day.stage.sleep(0.3).await;
        day.change(0, EndpointState::Draining);
        day.executors[0].draining.set(true);
        day.stage.sleep(2.0).await;
        day.change(1, EndpointState::Gone);
        day.executors[1].draining.set(true);
    });
    assert!(day.0.rules[2].checked > 0, "{:?}", day.0);
    kept("away", day, 0.95);
}

/// Past that and the grace nobody can know who drains but by what it shows: one that turns away all that comes is left
/// alone, and one that is gone takes no connection. What reaches them before they have shown it is counted.
#[test]
fn little_reaches_executors_that_drain_while_the_resolver_is_away_for_longer() {
    let (verdict, succeeded) = play("away-longer", 2, 10.0, |day| async move {
        day.stage.sleep(0.3).await;
        day.resolver.stop_answering(9.0, 4.5, 2);
        day.stage.sleep(0.3).await;
        day.change(0, EndpointState::Draining);
        day.executors[0].draining.set(true);
        day.change(1, EndpointState::Draining);
        day.executors[1].draining.set(true);
    });
    let late = verdict.rules[2].examples.len();
    println!(
        "{late} of {} dispatches and orders: {:#?}",
        verdict.rules[2].checked, verdict.rules[2].examples
    );
    assert!(succeeded >= 0.95, "{succeeded}");
    // From the grace on for 3.5 s: two executors, two front ends. Without leaving those alone it was 8.
    assert!(late <= 6, "{:#?}", verdict.rules[2].examples);
}
