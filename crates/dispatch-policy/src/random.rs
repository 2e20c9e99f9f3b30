//! A permuted congruential generator (PCG-XSH-RR 64/32).

#[derive(Default)]
pub struct SeededRandom(u64);

impl SeededRandom {
    pub fn new(seed: u64) -> Self {
        let mut chance = SeededRandom(seed.wrapping_add(1_442_695_040_888_963_407));
        chance.draw();
        chance
    }

    fn draw(&mut self) -> u32 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32)
    }

    /// A number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.draw()) / 4_294_967_296.0
    }
}

/// One fixed number for each pair, the same at every front end: the generator seeded with the pair.
pub fn rendezvous_hash(a: u64, b: u64) -> u32 {
    let mut chance = SeededRandom::new(
        a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xd6e8_feb8_6659_fd93),
    );
    chance.draw()
}
