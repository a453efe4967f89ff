//! One daemon's state of all suspect requests, and the decisions based on it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::suspect::Culprit;
use super::suspect::Suspect;
use super::Admission;
use super::Crash;
use super::Fingerprint;
use super::Limits;
use super::Record;
use super::Report;
use crate::Moment;

/// Maximum number of requests kept; each takes about 200 bytes. A zone of a fleet of 1,400 servers
/// that is lost has some hundreds of requests in flight.
const MAX_REQUESTS: usize = 4096;

/// How an update changed the status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It did not.
    None,
    /// The request is suspect, with this many counted crashes.
    Suspected(usize),
    /// The request is now quarantined, with this many counted crashes.
    Quarantined(usize),
    /// The request has no counted crashes any more.
    Cleared,
}

/// Suspect requests by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Table {
    limits: Limits,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Requests whose crashes reach the threshold.
    culprits: BTreeMap<Fingerprint, Culprit>,
    /// Number of suspects compared with the culprits so far.
    comparisons: u64,
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Changes the limits and keeps all requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let requests: Vec<Fingerprint> = self.suspects.keys().copied().collect();
        self.attribute_crashes(&requests);
    }

    /// Whether the table has no requests, so that lookups may be skipped.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// All quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let quarantined =
            self.suspects.iter().filter(|(_, suspect)| suspect.is_quarantined(&self.limits));
        quarantined.map(|(request, _)| *request)
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_quarantined(&self.limits))
    }

    /// Decides whether and how a request may run.
    pub fn admission(&self, now: Moment, request: Fingerprint) -> Admission {
        let suspect = self.suspects.get(&request);
        suspect.map_or(Admission::Allowed, |suspect| suspect.admission(now, &self.limits))
    }

    /// Whether a request is quarantined, or would be with one more crash.
    pub fn is_one_crash_from_quarantine(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_one_crash_from_quarantine(&self.limits))
    }

    /// Records that a request's connection to a server broke before the response arrived.
    pub fn note_broken_connection(&mut self, now: Moment, request: Fingerprint, server: &str) {
        self.suspect_entry(request).note_broken_connection(now, server);
        self.evict();
    }

    /// Records that the caller of a request disconnected while a server ran it.
    pub fn note_caller_disconnect(&mut self, now: Moment, request: Fingerprint, server: &str) {
        self.suspect_entry(request).note_caller_disconnect(now, server);
        self.evict();
    }

    /// Whether the exit of a server would count as a crash for any request.
    pub fn awaits_exit(&self, now: Moment, server: &str) -> bool {
        self.suspects.values().any(|suspect| suspect.awaits_exit(now, server))
    }

    /// Records that a server is gone: a crash for each request whose connection to it broke, or
    /// whose caller disconnected while it ran there. Returns these requests with their changes.
    pub fn note_server_gone(&mut self, now: Moment, server: &str) -> Vec<(Fingerprint, Change)> {
        let limits = self.limits;
        let affected: Vec<(Fingerprint, Status)> = self
            .suspects
            .iter_mut()
            .filter_map(|(request, suspect)| {
                let before = Status::of(suspect, &limits);
                suspect.note_server_gone(now, server).then_some((*request, before))
            })
            .collect();
        let requests: Vec<Fingerprint> = affected.iter().map(|(request, _)| *request).collect();
        self.attribute_crashes(&requests);
        affected
            .into_iter()
            .map(|(request, before)| (request, self.change(request, before)))
            .collect()
    }

    /// Merges crashes of a request that another daemon or the store reports.
    pub fn merge(&mut self, now: Moment, request: Fingerprint, crashes: &[Crash]) -> Change {
        let limits = self.limits;
        let suspect = self.suspect_entry(request);
        let before = Status::of(suspect, &limits);
        let added =
            crashes.iter().filter(|crash| suspect.add_crash(now, &crash.server, crash.is_excused));
        if added.count() == 0 {
            self.evict();
            return Change::None;
        }
        self.attribute_crashes(&[request]);
        let change = self.change(request, before);
        self.evict();
        change
    }

    /// Whether this daemon itself observed a crash of a request.
    pub fn is_observed_locally(&self, request: Fingerprint) -> bool {
        self.suspects.get(&request).is_some_and(Suspect::is_observed_locally)
    }

    /// Excuses all crashes of a request, after a complete response or a release by an operator.
    /// Returns whether any crash counted.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let had_crashes = suspect.excuse_all();
        if suspect.crashes().is_empty() {
            self.suspects.remove(&request);
        }
        if had_crashes {
            self.attribute_crashes(&[request]);
        }
        had_crashes
    }

    /// Records that a request has no stored record any more. Clears the request, unless the record
    /// was deleted because others explain its crashes. Returns whether any crash was excused.
    pub fn release(&mut self, request: Fingerprint) -> bool {
        let limits = self.limits;
        match self.suspects.get_mut(&request) {
            Some(suspect) if suspect.record().is_some() && !suspect.is_quarantined(&limits) => {
                suspect.drop_record();
                false
            }
            _ => self.clear(request),
        }
    }

    /// Requests with a record that are no longer quarantined, since others explain their crashes.
    pub fn stale_records(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let stale = self.suspects.iter().filter(|(_, suspect)| {
            suspect.record().is_some() && !suspect.is_quarantined(&self.limits)
        });
        stale.map(|(request, _)| *request)
    }

    /// Updates the stored record of a request. Returns whether `record` is newer than the known
    /// one.
    pub fn set_record(&mut self, now: Moment, request: Fingerprint, record: Record) -> bool {
        self.suspect_entry(request).set_record(now, record)
    }

    /// The stored record of a request, if known.
    pub fn record(&self, request: Fingerprint) -> Option<Record> {
        self.suspects.get(&request)?.record()
    }

    /// Builds the report of a request for other daemons.
    pub fn report(&self, request: Fingerprint) -> Report {
        let endings = self.suspects.get(&request).map(Suspect::crashes).unwrap_or_default();
        Report { request, endings }
    }

    /// Builds the reports of all requests with crashes, for a daemon that starts.
    pub fn reports(&self) -> Vec<Report> {
        let reports = self
            .suspects
            .iter()
            .map(|(request, suspect)| Report { request: *request, endings: suspect.crashes() });
        reports.filter(|report| !report.endings.is_empty()).collect()
    }

    /// Removes requests whose retention has ended. Returns those whose records must be deleted from
    /// the store first.
    pub fn expire(&mut self, now: Moment) -> Vec<Fingerprint> {
        let limits = self.limits;
        let is_expired = |suspect: &Suspect| suspect.time_to_expiry(now, &limits).is_zero();
        self.suspects.retain(|_, suspect| !suspect.is_idle(now));
        self.suspects.retain(|_, suspect| !is_expired(suspect) || suspect.record().is_some());
        let removed = self.culprits.keys().filter(|request| !self.suspects.contains_key(*request));
        let removed: Vec<Fingerprint> = removed.copied().collect();
        self.attribute_crashes(&removed);
        let expired = self.suspects.iter().filter(|(_, suspect)| is_expired(suspect));
        expired.map(|(request, _)| *request).collect()
    }

    /// Recomputes which crashes are explained after the crashes of some requests changed. Depends
    /// only on the current state, not on the order of updates.
    ///
    /// The others are compared again only if a culprit is among the changed requests.
    fn attribute_crashes(&mut self, changed: &[Fingerprint]) {
        let mut has_changed_culprit = false;
        for request in changed {
            has_changed_culprit |= self.update_culprit(*request);
        }
        if has_changed_culprit {
            let suspects = self.suspects.values_mut();
            self.comparisons += compare(suspects, &self.culprits);
        } else if !self.culprits.is_empty() {
            for request in changed {
                let suspect = self.suspects.get_mut(request);
                self.comparisons += compare(suspect.into_iter(), &self.culprits);
            }
        }
    }

    /// Updates whether a request is a culprit. Returns whether that changed, or its crashes did.
    fn update_culprit(&mut self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        let culprit = suspect.and_then(|suspect| suspect.as_culprit(&self.limits));
        let previous = match &culprit {
            Some(culprit) => self.culprits.insert(request, culprit.clone()),
            None => self.culprits.remove(&request),
        };
        previous != culprit
    }

    /// Number of suspects compared with the culprits so far, a measure of the work of updates.
    pub fn comparisons(&self) -> u64 {
        self.comparisons
    }

    /// The change of a request's status since `before`.
    fn change(&self, request: Fingerprint, before: Status) -> Change {
        let Some(suspect) = self.suspects.get(&request) else {
            return Change::None;
        };
        let after = Status::of(suspect, &self.limits);
        match after.crash_count {
            0 if before.crash_count == 0 => Change::None,
            0 => Change::Cleared,
            count if after.is_quarantined && !before.is_quarantined => Change::Quarantined(count),
            count => Change::Suspected(count),
        }
    }

    fn suspect_entry(&mut self, request: Fingerprint) -> &mut Suspect {
        self.suspects.entry(request).or_default()
    }

    /// Removes the least recently updated of the requests with the fewest crashes if the table is
    /// full. Requests with a record are kept.
    fn evict(&mut self) {
        if self.suspects.len() <= MAX_REQUESTS {
            return;
        }
        let unrecorded = self.suspects.iter().filter(|(_, suspect)| suspect.record().is_none());
        let evicted =
            unrecorded.min_by_key(|(_, suspect)| (suspect.crash_count(), suspect.updated_at()));
        if let Some(request) = evicted.map(|(request, _)| *request) {
            self.suspects.remove(&request);
            self.attribute_crashes(&[request]);
        }
    }
}

/// Determines which crashes of each suspect the culprits explain. Returns the number of suspects.
fn compare<'a>(
    suspects: impl Iterator<Item = &'a mut Suspect>,
    culprits: &BTreeMap<Fingerprint, Culprit>,
) -> u64 {
    let attribute = |suspect: &mut Suspect| suspect.attribute_crashes(culprits.values());
    suspects.map(attribute).count() as u64
}

/// Status of a request, for comparison across an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Status {
    crash_count: usize,
    is_quarantined: bool,
}

impl Status {
    fn of(suspect: &Suspect, limits: &Limits) -> Self {
        Self { crash_count: suspect.crash_count(), is_quarantined: suspect.is_quarantined(limits) }
    }
}
