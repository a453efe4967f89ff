//! A bounded account of what is believed of the other daemons.
//!
//! One line for each change of each member was three quarters of all lines in a fleet of a hundred
//! daemons. So a line a second sums the changes up and names the members that were lost.

use std::time::Duration;

use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend::Moment;

/// Time between two lines.
const PERIOD: Duration = Duration::from_secs(1);
/// Members that a line names.
const MAX_NAMED: usize = 8;

/// Changes since the last line.
#[derive(Debug, Default)]
pub struct ViewLog {
    last_line: Moment,
    changes: u32,
    alive: u32,
    suspect: u32,
    lost: Vec<String>,
}

impl ViewLog {
    /// Counts a change.
    pub fn add(&mut self, member: &Member) {
        self.changes += 1;
        match member.liveness {
            Liveness::Alive => self.alive += 1,
            Liveness::Suspect => self.suspect += 1,
            Liveness::Left | Liveness::Dead => {
                self.lost.push(format!("{}:{:?}", member.id, member.liveness));
            }
        }
    }

    /// The line that is due, if any.
    pub fn line(&mut self, now: Moment, known_alive: usize) -> Option<String> {
        if self.changes == 0 || now < self.last_line + PERIOD {
            return None;
        }
        let Self { changes, alive, suspect, lost, .. } = std::mem::take(self);
        self.last_line = now;
        let named = lost.iter().take(MAX_NAMED).cloned().collect::<Vec<_>>().join(",");
        Some(format!(
            "event=members_changed changes={changes} to_alive={alive} to_suspect={suspect} to_lost={} \
             lost={named} alive_now={known_alive}",
            lost.len()
        ))
    }
}
