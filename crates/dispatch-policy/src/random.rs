//! Seeded pseudo-random numbers and a rendezvous hash.

/// Increment of the linear congruential generator.
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Multiplier of the linear congruential generator.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;

/// A permuted congruential generator (PCG-XSH-RR 64/32).
#[derive(Default)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator. Equal seeds produce equal sequences.
    pub fn new(seed: u64) -> Self {
        let mut generator = SeededRandom(seed.wrapping_add(INCREMENT));
        generator.next_u32();
        generator
    }

    fn next_u32(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32)
    }

    /// Returns a uniformly distributed number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }
}

/// Hashes a pair of numbers. All front ends compute the same value.
pub fn rendezvous_hash(a: u64, b: u64) -> u32 {
    let mut generator = SeededRandom::new(
        a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xd6e8_feb8_6659_fd93),
    );
    generator.next_u32()
}
