//! Front ends that come and go, die without notice and see each other late, over drawn courses: what they share
//! strictly never adds up to more than one.

use orchidtally_membership::Members;
use orchidtally_membership::members::MAX_VIEW_DELAY;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: f64 = 4.0;

struct Member {
    members: Members,
    id: u64,
    dies_at: f64,
    /// Exchanges with the store: a view or a renewal that was begun then, and comes to its end.
    looking: Option<(f64, f64)>,
    renewing: Option<(f64, f64)>,
    cut_off_until: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// One that just came takes its share before the others can know.
    Eager,
    /// One whose lease may be over goes on.
    Stubborn,
}

struct Seen {
    worst: f64,
    same_index: u32,
    most: usize,
    /// Of the time of those that live, the part in which they have their share.
    used: f64,
}

fn course(seed: u64, planted: Planted) -> Seen {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut store: BTreeMap<u32, (u64, f64)> = BTreeMap::new();
    let mut all: Vec<Member> = vec![];
    let mut seen = Seen {
        worst: 0.0,
        same_index: 0,
        most: 0,
        used: 0.0,
    };
    let (mut id, mut total) = (0, 0.0);
    for step in 0..4_000 {
        let now = 0.01 * f64::from(step);
        store.retain(|_, e| e.1 > now);
        // From 3 to 200 in ten seconds, and back.
        let wanted = match now {
            t if t < 5.0 => 3,
            t if t < 15.0 => 3 + (197.0 * (t - 5.0) / 10.0) as usize,
            t if t < 22.0 => 200,
            t if t < 32.0 => 200 - (195.0 * (t - 22.0) / 10.0) as usize,
            _ => 5,
        };
        all.retain(|m| m.dies_at > now);
        while all.len() < wanted {
            id += 1;
            let members = Members::new(3);
            let lives = if random.random_range(0..4) == 0 {
                random.random_range(1.0..8.0)
            } else {
                1e9
            };
            let (looking, renewing) = (None, None);
            all.push(Member {
                members,
                id,
                dies_at: now + lives,
                looking,
                renewing,
                cut_off_until: 0.0,
            });
        }
        while all.len() > wanted {
            // Without notice: its entry stays until its lease is over.
            all.swap_remove(random.random_range(0..all.len()));
        }
        // A part is cut off from the store for a while; its views are not renewed, nor its leases.
        if random.random_range(0..600) == 0 {
            let until = now + random.random_range(0.5..8.0);
            all.iter_mut()
                .filter(|m| m.id % 2 == 0)
                .for_each(|m| m.cut_off_until = until);
        }
        for m in &mut all {
            if now < m.cut_off_until {
                continue;
            }
            if let Some((began, ends)) = m.looking
                && now >= ends
            {
                m.members.record_view(began, store.keys().copied());
                m.looking = None;
            }
            if let Some((began, ends)) = m.renewing
                && now >= ends
            {
                m.renewing = None;
                let own = m.members.estimate(now).index;
                match own.and_then(|i| store.get_mut(&i)).filter(|e| e.0 == m.id) {
                    Some(entry) => {
                        // The store renews somewhere in between.
                        entry.1 = entry
                            .1
                            .max(began + LEASE + random.random_range(0.0..=(ends - began)));
                        m.members.on_lease_renewed(began, LEASE);
                    }
                    None => {
                        m.members.on_entry_lost();
                        let taken: BTreeSet<u32> = store.keys().copied().collect();
                        let index = Members::choose_index(&taken, random.random(), 0);
                        store.insert(index, (m.id, now + LEASE));
                        m.members.on_claimed(now, index, LEASE);
                    }
                }
            }
            // A view begins after the last one, each as late as it may be.
            m.looking
                .get_or_insert((now, now + random.random_range(0.05..1.5)));
            m.renewing
                .get_or_insert((now, now + random.random_range(0.05..0.8)));
        }
        let mut indices = BTreeSet::new();
        let mut sum = 0.0;
        for m in &all {
            let estimate = m.members.estimate(now);
            let shares = match planted {
                Planted::Nothing => estimate.has_budget_share,
                Planted::Eager => estimate.index.is_some(),
                Planted::Stubborn => {
                    estimate.has_budget_share || now < m.cut_off_until && estimate.index.is_some()
                }
            };
            total += 1.0;
            if shares {
                seen.used += 1.0;
                sum += 1.0 / f64::from(estimate.count);
                seen.same_index += u32::from(!indices.insert(estimate.index));
            }
        }
        seen.worst = seen.worst.max(sum);
        seen.most = seen.most.max(all.len());
    }
    seen.used /= total;
    // Views are as late as they may be here.
    const { assert!(MAX_VIEW_DELAY > 1.5) };
    seen
}

#[test]
fn shares_never_add_up_to_more_than_one_and_no_two_have_one_index() {
    for seed in 0..12 {
        let seen = course(seed, Planted::Nothing);
        assert!(seen.worst <= 1.0 + 1e-9, "seed {seed}: {}", seen.worst);
        assert_eq!((seen.same_index, seen.most), (0, 200), "seed {seed}");
        assert!(seen.used > 0.4, "seed {seed}: {}", seen.used);
    }
}

#[test]
fn planted_faults_are_found() {
    for planted in [Planted::Eager, Planted::Stubborn] {
        let found = (0..4).any(|seed| {
            let seen = course(seed, planted);
            seen.worst > 1.05 || seen.same_index > 0
        });
        assert!(found);
    }
}
