//! State of one request that is suspected of crashing servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Admission;
use super::Crash;
use super::Limits;
use super::Record;
use crate::Moment;

/// How long an unconfirmed crash is kept while waiting for evidence that the server is gone. The
/// registration of a server that is gone expires within this time.
pub const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(10);
/// How long an unconfirmed crash counts towards the threshold. Covers several connection probes of
/// the server's address.
const UNCONFIRMED_COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Divides the first probe delay of a request that is tied with another one, since the probe's
/// outcome releases one of them.
const TIED_PROBE_DIVISOR: u32 = 5;
/// Maximum number of crashes kept for one request; more than any decision needs.
const MAX_CRASHES: usize = 16;

/// A request whose crashes reach the quarantine threshold, and which may explain those of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Culprit {
    crashes: BTreeSet<String>,
}

/// Crashes and probes of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Suspect {
    /// Servers that crashed while they ran it, and whether each crash is excused.
    crashes: BTreeMap<String, bool>,
    /// Number of counted crashes that a likelier culprit explains.
    explained: usize,
    /// Whether another culprit has exactly the same crashes.
    is_tied: bool,
    /// Whether this daemon itself found one of the servers gone, rather than learning it from a
    /// peer.
    is_observed_locally: bool,
    /// Servers to which its connection broke, and when.
    unconfirmed: BTreeMap<String, Moment>,
    /// Servers that ran it when its caller disconnected, and when. Does not restrict the request,
    /// since callers disconnect for many reasons.
    disconnects: BTreeMap<String, Moment>,
    /// Its stored record, and when that was received.
    record: Option<(Record, Moment)>,
    /// Time of the last change.
    updated_at: Moment,
}

impl Suspect {
    /// Servers whose crashes are not excused.
    fn counted_crashes(&self) -> impl Iterator<Item = &String> {
        let counted = self.crashes.iter().filter(|(_, is_excused)| !**is_excused);
        counted.map(|(server, _)| server)
    }

    /// Number of crashes that are not excused.
    pub fn crash_count(&self) -> usize {
        self.counted_crashes().count()
    }

    /// Number of counted crashes that no likelier culprit explains.
    fn unexplained(&self) -> usize {
        self.crash_count() - self.explained.min(self.crash_count())
    }

    /// Determines which of its crashes are explained by `culprits` with more crashes.
    pub fn attribute_crashes<'a>(&mut self, culprits: impl Iterator<Item = &'a Culprit> + Clone) {
        let count = self.crash_count();
        let likelier = || culprits.clone().filter(|culprit| culprit.crashes.len() > count);
        let is_explained =
            |server: &&String| likelier().any(|culprit| culprit.crashes.contains(*server));
        self.explained = self.counted_crashes().filter(is_explained).count();
        let has_same = |culprit: &&Culprit| {
            culprit.crashes.len() == count
                && self.counted_crashes().all(|server| culprit.crashes.contains(server))
        };
        // `culprits` includes this request itself.
        self.is_tied = count > 0 && culprits.clone().filter(has_same).count() > 1;
    }

    /// Returns the request as a culprit if its crashes reach the threshold.
    pub fn as_culprit(&self, limits: &Limits) -> Option<Culprit> {
        if self.crash_count() < limits.crash_threshold {
            return None;
        }
        Some(Culprit { crashes: self.counted_crashes().cloned().collect() })
    }

    /// Whether this daemon itself found one of the servers gone.
    pub fn is_observed_locally(&self) -> bool {
        self.is_observed_locally
    }

    /// Number of unconfirmed crashes that count towards the threshold.
    fn recent_unconfirmed(&self, now: Moment) -> usize {
        self.unconfirmed.values().filter(|since| now < **since + UNCONFIRMED_COUNT_PERIOD).count()
    }

    /// Whether it has no crashes or record, and all unconfirmed crashes have expired.
    pub fn is_idle(&self, now: Moment) -> bool {
        let mut since = self.unconfirmed.values().chain(self.disconnects.values());
        let is_pending = since.any(|since| now < *since + UNCONFIRMED_RETENTION);
        !is_pending && self.crashes.is_empty() && self.record.is_none()
    }

    /// Records that its connection to a server broke.
    pub fn note_broken_connection(&mut self, now: Moment, server: &str) {
        if !self.crashes.contains_key(server) {
            self.unconfirmed.insert(server.to_owned(), now);
            self.updated_at = now;
        }
    }

    /// Records that its caller disconnected while a server ran it.
    pub fn note_caller_disconnect(&mut self, now: Moment, server: &str) {
        self.disconnects.retain(|_, since| now < *since + UNCONFIRMED_RETENTION);
        if !self.crashes.contains_key(server) {
            self.disconnects.insert(server.to_owned(), now);
            self.updated_at = now;
        }
    }

    /// Whether the exit of a server would count as a crash.
    pub fn awaits_exit(&self, now: Moment, server: &str) -> bool {
        let since = self.unconfirmed.get(server).max(self.disconnects.get(server));
        since.is_some_and(|since| now < *since + UNCONFIRMED_RETENTION)
    }

    /// Turns an unconfirmed crash of a server that is gone, or a disconnect from it, into a crash.
    /// Returns whether there was one.
    pub fn note_server_gone(&mut self, now: Moment, server: &str) -> bool {
        let since = self.unconfirmed.remove(server).max(self.disconnects.remove(server));
        let is_crash = since.is_some_and(|since| now < since + UNCONFIRMED_RETENTION);
        if is_crash {
            self.add_crash(now, server, false);
            self.is_observed_locally = true;
        }
        is_crash
    }

    /// Adds a crash, or excuses a known one. Returns whether anything changed.
    pub fn add_crash(&mut self, now: Moment, server: &str, is_excused: bool) -> bool {
        self.unconfirmed.remove(server);
        let known = self.crashes.get(server).copied();
        let is_new = match known {
            Some(was_excused) => is_excused && !was_excused,
            None => self.crashes.len() < MAX_CRASHES,
        };
        if is_new {
            self.crashes.insert(server.to_owned(), is_excused);
            self.updated_at = now;
        }
        is_new
    }

    /// Excuses all crashes and drops the record. Returns whether any crash counted.
    pub fn excuse_all(&mut self) -> bool {
        let had_crashes = self.crash_count() > 0;
        self.crashes.values_mut().for_each(|is_excused| *is_excused = true);
        self.unconfirmed.clear();
        self.disconnects.clear();
        self.record = None;
        had_crashes
    }

    /// Drops the stored record without excusing crashes.
    pub fn drop_record(&mut self) {
        self.record = None;
    }

    /// Its stored record, if known.
    pub fn record(&self) -> Option<Record> {
        self.record.map(|(record, _)| record)
    }

    /// Replaces the record by a newer one. Returns whether `record` is newer.
    pub fn set_record(&mut self, now: Moment, record: Record) -> bool {
        let is_newer = self.record.is_none_or(|(known, _)| known.revision < record.revision);
        if is_newer {
            self.record = Some((record, now));
            self.updated_at = now;
        }
        is_newer
    }

    /// Whether it is quarantined: it has a record or enough crashes, and they are not explained.
    pub fn is_quarantined(&self, limits: &Limits) -> bool {
        let is_candidate = self.record.is_some() || self.crash_count() >= limits.crash_threshold;
        is_candidate && !self.is_explained(limits)
    }

    /// Whether likelier culprits explain so many crashes that the rest stays below the threshold.
    fn is_explained(&self, limits: &Limits) -> bool {
        let may_be_explained = self.crash_count() < limits.max_crashes();
        self.explained > 0 && may_be_explained && self.unexplained() < limits.crash_threshold
    }

    /// Whether it is quarantined, or would be with one more crash. Unconfirmed crashes do not
    /// count.
    pub fn is_one_crash_from_quarantine(&self, limits: &Limits) -> bool {
        self.is_quarantined(limits) || self.unexplained() + 1 >= limits.crash_threshold
    }

    /// Decides whether and how it may run.
    pub fn admission(&self, now: Moment, limits: &Limits) -> Admission {
        if self.is_quarantined(limits) {
            return self.quarantined_admission(now, limits);
        }
        let (crashes, unconfirmed) = (self.unexplained(), self.recent_unconfirmed(now));
        match crashes + unconfirmed {
            0 => Admission::Allowed,
            count if count >= limits.crash_threshold => {
                Admission::Refused { retry_after: UNCONFIRMED_COUNT_PERIOD }
            }
            _ => Admission::Isolated,
        }
    }

    fn quarantined_admission(&self, now: Moment, limits: &Limits) -> Admission {
        let Some((record, recorded_at)) = self.record else {
            // Probes are granted by the record, which is still being written.
            return Admission::Refused { retry_after: limits.first_probe_delay };
        };
        let due = match limits.probe_delay(record.probes) {
            Some(delay) if self.is_tied && record.probes == 0 => {
                recorded_at + delay / TIED_PROBE_DIVISOR
            }
            Some(delay) => recorded_at + delay,
            None => return Admission::Refused { retry_after: self.time_to_expiry(now, limits) },
        };
        if now >= due {
            Admission::Probe
        } else {
            Admission::Refused { retry_after: due - now }
        }
    }

    /// Time until its retention ends.
    pub fn time_to_expiry(&self, now: Moment, limits: &Limits) -> Duration {
        (self.updated_at + limits.retention).saturating_sub(now)
    }

    /// Time of the last change.
    pub fn updated_at(&self) -> Moment {
        self.updated_at
    }

    /// Its crashes, including excused ones.
    pub fn crashes(&self) -> Vec<Crash> {
        let crash = |(server, is_excused): (&String, &bool)| Crash {
            server: server.clone(),
            is_excused: *is_excused,
        };
        self.crashes.iter().map(crash).collect()
    }
}
