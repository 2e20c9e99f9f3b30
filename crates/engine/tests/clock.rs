//! The engine's clock when the wall clock is stepped.

use orchidtally_engine::clock::Clock;

#[test]
fn the_clock_neither_steps_nor_stops_if_the_wall_clock_is_stepped_by_a_minute() {
    for step in [-60.0, 60.0] {
        let mut clock = Clock::new(100.0, 1_000_000.0);
        let mut last = clock.read(100.0);
        for n in 1..=6_000 {
            let monotonic = 100.0 + f64::from(n) * 0.1;
            if n % 50 == 0 {
                clock.synchronize(monotonic, 1_000_000.0 + f64::from(n) * 0.1 + step);
            }
            let now = clock.read(monotonic);
            assert!(now > last && now - last < 0.100_1, "{} after {last}", now);
            last = now;
        }
        assert!(
            (last - 1_000_600.0).abs() < 0.31,
            "corrected by at most 0.05 % of the elapsed time: {last}"
        );
        assert!(clock.wall_clock_lag().abs() > 59.0);
    }
}
