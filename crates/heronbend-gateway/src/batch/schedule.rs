//! The order in which a job's items are begun.
//!
//! The longest text decides when a step is whole, so items that are expected to be long go first.
//! Items of groups that are nearly whole go before others when the expectations are close.

use std::cmp::Reverse;

use super::specification::Item;

/// Positions of `items` in the order in which they are begun.
pub fn start_order(items: &[Item]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|&position| {
        let item = &items[position];
        (Reverse(item.expected_output_tokens()), position)
    });
    order
}
