use super::*;

const MEBIBYTE: usize = 1 << 20;

#[test]
fn the_shares_leave_a_quarter_of_the_limit_at_least() {
    for memory_mb in [8, 32, 48, 192] {
        let limit = memory_mb * MEBIBYTE;
        let budget = MemoryBudget::new(limit);
        let functions = max_functions(limit) * FUNCTION_BYTES;
        let total = budget.shares().total() + functions + executed_id_bytes(limit);
        assert!(total <= limit * 3 / 4, "{total} of {memory_mb} MiB");
    }
}

#[test]
fn a_check_is_due_after_a_part_of_a_share_was_read() {
    let mut budget = MemoryBudget::new(32 * MEBIBYTE);
    budget.record_read(256 * 1024 - 1);
    assert!(!budget.take_check());
    budget.record_read(1);
    assert!(budget.take_check());
    assert!(!budget.take_check(), "the count starts anew");
}

/// However many clients take as much as they can, one that holds nothing gets something.
#[test]
fn a_crowd_leaves_room_for_one_that_holds_nothing() {
    const LIMIT: usize = 1_000;
    for clients in [1, 2, 30, 190] {
        let mut held = vec![0; clients];
        for n in (0..clients).cycle().take(100 * LIMIT) {
            if may_take(1, held[n], held.iter().sum(), LIMIT) {
                held[n] += 1;
            }
        }
        let held_by_all: usize = held.iter().sum();
        assert!(held_by_all >= LIMIT / 2, "{held_by_all} by {clients}");
        assert!(
            may_take(1, 0, held_by_all, LIMIT),
            "{held_by_all} by {clients}"
        );
    }
}
