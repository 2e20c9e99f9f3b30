//! Runs the `orchidtally` binary under crowds of misbehaving clients, and checks that it stays within its memory limit
//! and answers its usual clients in time.

mod crowd;
mod kit;

use crowd::behaviours::*;
use crowd::*;

/// Runs a crowd and a usual client against front ends with memory limits of 48 and of 32 MiB.
fn assert_survives(name: &str, size: usize, behaviour: Behaviour) {
    for memory_mb in [48, 32] {
        let limits = ProcessLimits {
            memory_mb,
            descriptors: DESCRIPTORS,
        };
        assert_survives_with(name, limits, size, behaviour);
    }
}

/// Runs a crowd and a usual client against the smallest memory with the most descriptors that the platform gives.
fn assert_survives_with_many_descriptors(name: &str, behaviour: Behaviour) {
    let limits = ProcessLimits {
        memory_mb: 32,
        descriptors: MANY_DESCRIPTORS,
    };
    assert_survives_with(name, limits, crowd_size(MANY_DESCRIPTORS), behaviour);
}

fn assert_survives_with(name: &str, limits: ProcessLimits, size: usize, behaviour: Behaviour) {
    let _turn = wait_for_turn();
    let mut front_end = start_limited(name, limits);
    let crowd = Crowd::start(front_end.address, size, behaviour);
    let served = serve_usual_client(&front_end, DURATION);
    crowd.stop();
    assert_within_limits(name, &mut front_end, limits.memory_mb, &served);
}

/// Guards against input of slow writers that adds up past the memory limit.
#[test]
fn a_crowd_that_stops_half_way_through_a_large_request_stays_within_the_memory_limit() {
    assert_survives("half-way", CROWD, stop_half_way);
}

/// Guards against input and responses of clients that read nothing, which add up past the memory limit.
#[test]
fn a_crowd_that_reads_no_answers_stays_within_the_memory_limit() {
    assert_survives("unread", CROWD, read_no_answers);
}

/// Guards against holding the responses to all clients until the end of a poll, past the memory limit, and against
/// polls of seconds, in which no usual client gets an answer.
#[test]
fn a_crowd_that_sends_unsound_requests_stays_within_the_memory_limit() {
    assert_survives("unsound", CROWD, send_unsound);
}

/// Guards against heads of many fields, whose comparison kept the front end from answering usual clients in time.
#[test]
fn a_crowd_that_sends_heads_of_many_fields_does_not_delay_usual_clients() {
    assert_survives("many-fields", CROWD, send_many_fields);
}

/// Guards against request bodies that one crowd holds open, so that usual clients are turned away.
#[test]
fn a_crowd_that_keeps_large_requests_open_stays_within_the_memory_limit() {
    assert_survives("open", CROWD, keep_open);
}

/// Guards against responses that nobody reads, past the memory limit.
#[test]
fn a_crowd_that_reads_no_rejections_stays_within_the_memory_limit() {
    assert_survives("unread-rejections", CROWD, send_unsound_unread);
}

/// Guards against records of ever new functions, past the memory limit.
#[test]
fn a_crowd_that_names_ever_new_functions_stays_within_the_memory_limit() {
    assert_survives("new-functions", CROWD, name_new_functions);
}

/// Guards against one client that keeps all others from being answered.
#[test]
fn one_client_at_full_speed_does_not_delay_usual_clients() {
    assert_survives("one-unsound", 1, send_unsound);
    assert_survives("one-many-fields", 1, send_many_fields);
    assert_survives("one-new-functions", 1, name_new_functions);
}

/// Guards against sums over connections that pass the memory limit where there are many descriptors for little memory.
#[test]
fn crowds_stay_within_a_small_memory_limit_where_there_are_many_descriptors() {
    assert_survives_with_many_descriptors("many-half-way", stop_half_way);
    assert_survives_with_many_descriptors("many-unread", read_no_answers);
    assert_survives_with_many_descriptors("many-open", keep_open);
    assert_survives_with_many_descriptors("many-unread-rejections", send_unsound_unread);
    assert_survives_with_many_descriptors("many-unsound", send_unsound);
}

/// Guards against answers to readiness queries that are held without a limit for a client that does not read them, or
/// reads more slowly than it asks.
#[test]
fn clients_that_query_readiness_faster_than_they_read_stay_within_the_memory_limit() {
    assert_survives("one-readiness-unread", 1, query_readiness_unread);
    assert_survives("one-readiness-drops", 1, query_readiness_read_in_drops);
    assert_survives("readiness-drops", CROWD, query_readiness_read_in_drops);
}

/// Guards against large answers to many clients that read slowly, which add up past the memory limit.
#[test]
fn a_crowd_that_reads_large_answers_slowly_stays_within_the_memory_limit() {
    assert_survives("large-answers-drops", CROWD, read_large_answers_in_drops);
}

/// Guards against memory that large requests leave behind between the records of ever new functions.
#[test]
fn a_crowd_that_names_new_functions_and_closes_stays_within_the_memory_limit() {
    assert_survives("new-functions-closed", CROWD, name_new_functions_and_close);
}

/// Runs a crowd with many functions against a front end whose executors misbehave. Usual clients can't be served then,
/// but are answered.
fn assert_survives_executors(name: &str, start_executor: fn() -> std::net::SocketAddr) {
    const EXECUTORS: usize = 100;
    let _turn = wait_for_turn();
    let limits = ProcessLimits {
        memory_mb: 32,
        descriptors: MANY_DESCRIPTORS,
    };
    let hosts: Vec<_> = (0..EXECUTORS)
        .map(|n| kit::host(n, start_executor()))
        .collect();
    let mut front_end = start_limited_with(name, limits, &hosts, kit::DispatchLog::default());
    let crowd = Crowd::start(front_end.address, CROWD, invoke_new_functions);
    let served = serve_usual_client(&front_end, DURATION);
    crowd.stop();
    let answered = Served {
        failed: 0,
        ..served
    };
    assert_within_limits(name, &mut front_end, limits.memory_mb, &answered);
}

/// Guards against partial lines of many executors that add up past the memory limit.
#[test]
fn executors_that_do_not_finish_their_lines_stay_within_the_memory_limit() {
    assert_survives_executors("partial-lines", start_executor_of_partial_lines);
}

/// Guards against commands for many executors that read nothing, which add up past the memory limit.
#[test]
fn executors_that_read_nothing_stay_within_the_memory_limit() {
    assert_survives_executors("no-reads", start_executor_that_reads_nothing);
}
