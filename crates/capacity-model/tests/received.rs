//! The busiest seconds of front ends, by what each had received in all.

use orchidtally_capacity_model::config::received::ReceivedSamples;

fn samples(samples: &[(f64, [u64; 2])]) -> ReceivedSamples {
    let mut samples_received = ReceivedSamples::default();
    samples
        .iter()
        .for_each(|(at, received)| samples_received.add(*at, received.to_vec()));
    samples_received
}

#[test]
fn the_busiest_window_is_that_of_one_front_end_wherever_it_lies() {
    let samples_received = samples(&[
        (0.0, [0, 0]),
        (1.0, [100, 0]),
        (2.0, [200, 1_000]),
        (3.0, [300, 3_000]),
        (4.0, [400, 3_000]),
        (5.0, [500, 3_000]),
    ]);
    assert_eq!(samples_received.seconds(), 5.0);
    assert_eq!(samples_received.busiest(2.0), Some(1_500.0));
    assert_eq!(samples_received.busiest(1.0), Some(2_000.0));
    assert_eq!(samples_received.busiest(5.0), Some(600.0));
}

#[test]
fn a_burst_between_two_samples_counts_whole() {
    // No window of two seconds begins and ends at samples: the next longer one is taken.
    let samples_received = samples(&[(0.0, [0, 0]), (1.5, [900, 0]), (3.0, [900, 0])]);
    assert_eq!(samples_received.busiest(2.0), Some(450.0));
}

#[test]
fn samples_that_span_less_than_the_window_tell_nothing() {
    let samples_received = samples(&[(0.0, [0, 0]), (1.0, [5_000, 0])]);
    assert_eq!(samples_received.busiest(2.0), None);
    assert_eq!(ReceivedSamples::default().busiest(1.0), None);
    assert_eq!(ReceivedSamples::default().seconds(), 0.0);
}
