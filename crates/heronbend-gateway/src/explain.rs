//! Selects the log lines that concern a request, a batch job or a batch item.

use std::collections::BTreeSet;

use crate::call_explanation::rate_change_before;

/// Keys whose values identify the subject of a line.
const SUBJECT_KEYS: [&str; 6] = ["id", "job", "item", "reward", "server", "request"];
/// Pairs of keys, from a subject to the parent that it belongs to.
const LINKED_KEYS: [(&str, &str); 2] = [("item", "job"), ("reward", "item")];

/// Returns the value of `key` in a line of `key=value` pairs.
pub(crate) fn key_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

fn mentions(line: &str, subject: &str) -> bool {
    SUBJECT_KEYS.iter().any(|key| key_value(line, key) == Some(subject))
}

/// Whether the line concerns the job as a whole, not one of its items.
fn concerns_whole_job(line: &str, job: &str) -> bool {
    key_value(line, "job") == Some(job) && key_value(line, "item").is_none()
}

/// Returns the lines that concern `subject`, in their original order: those that mention it or its
/// parent item, those about the job that it belongs to, and the last change of the rate before a
/// call waited or was refused.
pub fn explain<'a>(subject: &str, lines: &[&'a str]) -> Vec<&'a str> {
    let mut subjects = BTreeSet::from([subject.to_owned()]);
    let mut jobs = BTreeSet::new();
    // One pass per link: from a reward call to its item, and from the item to its job.
    for _ in 0..LINKED_KEYS.len() {
        for line in lines {
            for (from, to) in LINKED_KEYS {
                let is_linked = key_value(line, from).is_some_and(|known| subjects.contains(known));
                let Some(next) = key_value(line, to).filter(|_| is_linked) else {
                    continue;
                };
                if to == "job" {
                    jobs.insert(next.to_owned());
                } else {
                    subjects.insert(next.to_owned());
                }
            }
        }
    }
    let is_selected = |line: &str| {
        let is_direct = subjects.iter().any(|subject| mentions(line, subject));
        is_direct || jobs.iter().any(|job| concerns_whole_job(line, job))
    };
    let mut selected = BTreeSet::new();
    for (number, line) in lines.iter().enumerate() {
        if is_selected(line) {
            selected.insert(number);
            selected.extend(rate_change_before(lines, number));
        }
    }
    selected.into_iter().map(|number| lines[number]).collect()
}
