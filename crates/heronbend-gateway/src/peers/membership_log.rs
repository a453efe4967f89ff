//! Rate-limited log of membership changes.
//!
//! Summarizes the changes in at most one line per second, which lists the members that were lost.

use std::time::Duration;

use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend::Moment;

/// Shortest time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Most members that are listed in a line.
const MAX_LISTED: usize = 8;

/// Membership changes since the last line.
#[derive(Debug, Default)]
pub struct MembershipLog {
    last_logged: Moment,
    changes: u32,
    alive: u32,
    suspect: u32,
    lost: Vec<String>,
}

impl MembershipLog {
    /// Records a change of a member.
    pub fn record(&mut self, member: &Member) {
        self.changes += 1;
        match member.liveness {
            Liveness::Alive => self.alive += 1,
            Liveness::Suspect => self.suspect += 1,
            Liveness::Left | Liveness::Dead => {
                self.lost.push(format!("{}:{:?}", member.id, member.liveness));
            }
        }
    }

    /// Returns the next line if there were changes and the interval has passed.
    pub fn next_line(&mut self, now: Moment, alive_count: usize) -> Option<String> {
        if self.changes == 0 || now < self.last_logged + LOG_INTERVAL {
            return None;
        }
        let Self { changes, alive, suspect, lost, .. } = std::mem::take(self);
        self.last_logged = now;
        let listed = lost.iter().take(MAX_LISTED).cloned().collect::<Vec<_>>().join(",");
        Some(format!(
            "event=members_changed changes={changes} to_alive={alive} to_suspect={suspect} to_lost={} \
             lost={listed} alive_now={alive_count}",
            lost.len()
        ))
    }
}
