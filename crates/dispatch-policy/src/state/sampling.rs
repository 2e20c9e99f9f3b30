//! Random samples.

/// Draws two of the elements at random, in their order, or takes all of fewer: as if elements were removed at
/// random until two are left. `next_unit` draws numbers from 0 up to 1, one for each element removed.
pub fn draw_two<T: Copy>(elements: Vec<T>, mut next_unit: impl FnMut() -> f64) -> Vec<T> {
    let removed: Vec<usize> = (3..=elements.len())
        .rev()
        .map(|remaining| (next_unit() * remaining as f64) as usize)
        .collect();
    // From the last removal back: where the two that are left stood before each of them.
    let position_before =
        |position: usize, removed: usize| position + usize::from(position >= removed);
    let (first, second) = removed
        .iter()
        .rev()
        .fold((0, 1), |(first, second), &removed| {
            (
                position_before(first, removed),
                position_before(second, removed),
            )
        });
    [first, second]
        .into_iter()
        .filter_map(|position| elements.get(position).copied())
        .collect()
}
