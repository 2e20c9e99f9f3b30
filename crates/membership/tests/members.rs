//! Simulates front ends that join, leave, crash and see each other late, in random order, and checks that their shares
//! of strictly shared budgets never add up to more than one.

use orchidtally_membership::MembershipTracker;
use orchidtally_membership::members::MAX_VIEW_DELAY;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE_SECONDS: f64 = 4.0;

struct Member {
    members: MembershipTracker,
    id: u64,
    crashes_at: f64,
    /// The start and the end of a read of the view.
    view_in_flight: Option<(f64, f64)>,
    /// The start and the end of a renewal of the lease.
    renewal_in_flight: Option<(f64, f64)>,
    partitioned_until: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    None,
    /// A front end uses its share before the others must have seen it.
    SharesTooEarly,
    /// A front end uses its share although its lease may have expired.
    SharesAfterExpiry,
}

struct Outcome {
    max_share_sum: f64,
    duplicate_indices: u32,
    max_front_ends: usize,
    /// The fraction of the live time of all front ends in which they have their share.
    sharing_fraction: f64,
}

fn simulate(seed: u64, fault: InjectedFault) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut store: BTreeMap<u32, (u64, f64)> = BTreeMap::new();
    let mut all: Vec<Member> = vec![];
    let mut outcome = Outcome {
        max_share_sum: 0.0,
        duplicate_indices: 0,
        max_front_ends: 0,
        sharing_fraction: 0.0,
    };
    let (mut id, mut live_steps) = (0, 0.0);
    for step in 0..4_000 {
        let now = 0.01 * f64::from(step);
        store.retain(|_, e| e.1 > now);
        // The number of front ends grows from 3 to 200 within ten seconds, and shrinks again to 5.
        let target_count = match now {
            t if t < 5.0 => 3,
            t if t < 15.0 => 3 + (197.0 * (t - 5.0) / 10.0) as usize,
            t if t < 22.0 => 200,
            t if t < 32.0 => 200 - (195.0 * (t - 22.0) / 10.0) as usize,
            _ => 5,
        };
        all.retain(|m| m.crashes_at > now);
        while all.len() < target_count {
            id += 1;
            let members = MembershipTracker::new(3);
            let lifetime = if random.random_range(0..4) == 0 {
                random.random_range(1.0..8.0)
            } else {
                1e9
            };
            let (view_in_flight, renewal_in_flight) = (None, None);
            all.push(Member {
                members,
                id,
                crashes_at: now + lifetime,
                view_in_flight,
                renewal_in_flight,
                partitioned_until: 0.0,
            });
        }
        while all.len() > target_count {
            // A front end crashes: its entry stays until its lease expires.
            all.swap_remove(random.random_range(0..all.len()));
        }
        // Half of the front ends lose the store for a while, so neither their views nor their leases are refreshed.
        if random.random_range(0..600) == 0 {
            let until = now + random.random_range(0.5..8.0);
            all.iter_mut()
                .filter(|m| m.id % 2 == 0)
                .for_each(|m| m.partitioned_until = until);
        }
        for m in &mut all {
            if now < m.partitioned_until {
                continue;
            }
            if let Some((started_at, ends_at)) = m.view_in_flight
                && now >= ends_at
            {
                m.members.record_view(started_at, store.keys().copied());
                m.view_in_flight = None;
            }
            if let Some((started_at, ends_at)) = m.renewal_in_flight
                && now >= ends_at
            {
                m.renewal_in_flight = None;
                let own = m.members.estimate(now).index;
                match own.and_then(|i| store.get_mut(&i)).filter(|e| e.0 == m.id) {
                    Some(entry) => {
                        // The store renews the lease at some time during the request.
                        entry.1 = entry.1.max(
                            started_at
                                + LEASE_SECONDS
                                + random.random_range(0.0..=(ends_at - started_at)),
                        );
                        m.members.on_lease_renewed(started_at, LEASE_SECONDS);
                    }
                    None => {
                        m.members.on_entry_lost();
                        let taken: BTreeSet<u32> = store.keys().copied().collect();
                        let index = MembershipTracker::choose_index(&taken, random.random(), 0);
                        store.insert(index, (m.id, now + LEASE_SECONDS));
                        m.members.on_claimed(now, index, LEASE_SECONDS);
                    }
                }
            }
            // The next read of the view starts when the previous one ends. A change can miss a read that has just
            // started, so two reads of up to 1.5 s make views as late as they may be.
            m.view_in_flight
                .get_or_insert((now, now + random.random_range(0.05..1.5)));
            m.renewal_in_flight
                .get_or_insert((now, now + random.random_range(0.05..0.8)));
        }
        let mut indices = BTreeSet::new();
        let mut share_sum = 0.0;
        for m in &all {
            let estimate = m.members.estimate(now);
            let has_share = match fault {
                InjectedFault::None => estimate.has_budget_share,
                InjectedFault::SharesTooEarly => estimate.index.is_some(),
                InjectedFault::SharesAfterExpiry => {
                    estimate.has_budget_share
                        || now < m.partitioned_until && estimate.index.is_some()
                }
            };
            live_steps += 1.0;
            if has_share {
                outcome.sharing_fraction += 1.0;
                share_sum += 1.0 / f64::from(estimate.count);
                outcome.duplicate_indices += u32::from(!indices.insert(estimate.index));
            }
        }
        outcome.max_share_sum = outcome.max_share_sum.max(share_sum);
        outcome.max_front_ends = outcome.max_front_ends.max(all.len());
    }
    outcome.sharing_fraction /= live_steps;
    // The longest read of the view, 1.5 s, is within the allowed delay.
    const { assert!(MAX_VIEW_DELAY > 1.5) };
    outcome
}

#[test]
fn shares_never_exceed_one_and_indices_are_unique() {
    for seed in 0..12 {
        let outcome = simulate(seed, InjectedFault::None);
        assert!(
            outcome.max_share_sum <= 1.0 + 1e-9,
            "seed {seed}: {}",
            outcome.max_share_sum
        );
        assert_eq!(
            (outcome.duplicate_indices, outcome.max_front_ends),
            (0, 200),
            "seed {seed}"
        );
        assert!(
            outcome.sharing_fraction > 0.4,
            "seed {seed}: {}",
            outcome.sharing_fraction
        );
    }
}

#[test]
fn injected_faults_are_detected() {
    for fault in [
        InjectedFault::SharesTooEarly,
        InjectedFault::SharesAfterExpiry,
    ] {
        let is_detected = (0..4).any(|seed| {
            let outcome = simulate(seed, fault);
            outcome.max_share_sum > 1.05 || outcome.duplicate_indices > 0
        });
        assert!(is_detected);
    }
}
