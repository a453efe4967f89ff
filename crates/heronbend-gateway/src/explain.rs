//! Finds the log lines that tell what became of a request, a batch job or an item.

use std::collections::BTreeSet;

/// Keys whose values identify what a line is about.
const SUBJECTS: [&str; 6] = ["id", "job", "item", "reward", "server", "request"];
/// Keys that lead from one subject to another that explains it.
const LEADS: [(&str, &str); 2] = [("item", "job"), ("reward", "item")];

/// The value of a key in a line of `key=value` pairs.
pub(crate) fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

fn is_about(line: &str, subject: &str) -> bool {
    SUBJECTS.iter().any(|key| value(line, key) == Some(subject))
}

/// Lines about a job as a whole, and not about one of its items.
fn is_of_job(line: &str, job: &str) -> bool {
    value(line, "job") == Some(job) && value(line, "item").is_none()
}

/// The lines that tell of `subject`, in the order given: those that name it, and those about the
/// job that it is a part of.
pub fn explain<'a>(subject: &str, lines: &[&'a str]) -> Vec<&'a str> {
    let mut subjects = BTreeSet::from([subject.to_owned()]);
    let mut jobs = BTreeSet::new();
    // A reward call leads to its item, and the item to its job.
    for _ in 0..LEADS.len() {
        for line in lines {
            for (from, to) in LEADS {
                let leads = value(line, from).is_some_and(|known| subjects.contains(known));
                let Some(next) = value(line, to).filter(|_| leads) else {
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
    lines
        .iter()
        .copied()
        .filter(|line| {
            let is_named = subjects.iter().any(|subject| is_about(line, subject));
            is_named || jobs.iter().any(|job| is_of_job(line, job))
        })
        .collect()
}
