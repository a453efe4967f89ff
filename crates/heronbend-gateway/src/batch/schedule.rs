//! Start order of a job's items: longest expected output first, since the longest text determines
//! when the job completes.

use std::cmp::Reverse;

use super::specification::Item;

/// Returns the positions of `items` in start order.
pub fn start_order(items: &[Item]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|&position| {
        let item = &items[position];
        (Reverse(item.expected_output_tokens()), position)
    });
    order
}
