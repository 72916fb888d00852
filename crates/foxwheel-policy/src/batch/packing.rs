//! Packing of values into objects, messages and responses of limited size.
//!
//! The sizes are those of the encoded values: text grows by any factor up to six when it is
//! encoded as JSON, so a limit on its raw length does not bound what is sent.

/// Returns how many of the leading values fit into `max_bytes` together, but at least one if there
/// is any. `encoded_bytes` yields the size of each value with its separator.
pub fn leading_values_that_fit(
    encoded_bytes: impl IntoIterator<Item = usize>,
    max_bytes: usize,
) -> usize {
    let mut sum_bytes = 0;
    let sizes = encoded_bytes.into_iter().enumerate();
    sizes
        .take_while(|(index, size_bytes)| {
            sum_bytes += size_bytes;
            *index == 0 || sum_bytes <= max_bytes
        })
        .count()
}

/// Splits `values` into consecutive groups that each fit into `max_bytes`. A value that is larger
/// on its own is a group by itself. `encoded_bytes` returns the size of a value with its separator.
pub fn split_into_groups<T>(
    values: &[T],
    max_bytes: usize,
    encoded_bytes: impl Fn(&T) -> usize,
) -> Vec<&[T]> {
    let mut groups = Vec::new();
    let mut rest = values;
    while !rest.is_empty() {
        let count = leading_values_that_fit(rest.iter().map(&encoded_bytes), max_bytes);
        let (group, others) = rest.split_at(count);
        groups.push(group);
        rest = others;
    }
    groups
}
