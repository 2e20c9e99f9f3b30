//! Random sampling without replacement.

/// Draws two elements at random and returns them in their original order; returns all elements if there are at most
/// two. The result equals that of removing random elements until two are left. `next_unit` returns random numbers from
/// 0 up to 1 and is called once for each element that is not returned.
pub fn draw_two<T: Copy>(elements: Vec<T>, mut next_unit: impl FnMut() -> f64) -> Vec<T> {
    let removed: Vec<usize> = (3..=elements.len())
        .rev()
        .map(|remaining| (next_unit() * remaining as f64) as usize)
        .collect();
    // Undoes the removals, last one first, to find the original positions of the two remaining elements.
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
