use super::*;

#[test]
fn the_latest_ids_are_known_and_the_earliest_is_forgotten() {
    let mut ids = ExecutedIds::new(3 * ID_BYTES);
    for id in [1, 2, 3, 2, 4] {
        ids.insert(id);
    }
    let known: Vec<u64> = (1..=5).filter(|&id| ids.contains(id)).collect();
    assert_eq!(known, [2, 3, 4]);
    assert_eq!(ids.order.len(), 3);
}
