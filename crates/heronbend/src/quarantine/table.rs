//! All requests that servers ended under, as one daemon knows them, and what is decided by that.

use std::collections::HashMap;

use super::suspect::Culprit;
use super::suspect::Suspect;
use super::Admission;
use super::Ending;
use super::Fingerprint;
use super::Limits;
use super::Record;
use super::Report;
use crate::Moment;

/// Requests that are remembered at most. A zone of a fleet of 1,400 servers that goes has some
/// hundreds of requests under way; each takes some 200 bytes.
const MOST: usize = 4096;

/// What has changed by some news of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// It has more endings, so many that count.
    Suspected(usize),
    /// It is quarantined, by so many endings that count.
    Quarantined(usize),
    /// Nothing is held against it any more.
    Cleared,
}

/// What is known of requests that servers ended under.
#[derive(Debug, Clone, Default)]
pub struct Table {
    limits: Limits,
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Table {
    /// An empty table with these limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, suspects: HashMap::new() }
    }

    /// Changes the limits; what is known is kept.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.weigh();
    }

    /// Whether nothing is held against any request: nobody has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests that are quarantined.
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

    /// What may become of a request.
    pub fn admission(&self, now: Moment, request: Fingerprint) -> Admission {
        let suspect = self.suspects.get(&request);
        suspect.map_or(Admission::Free, |suspect| suspect.admission(now, &self.limits))
    }

    /// Whether one more ending quarantines a request, or it is quarantined already.
    pub fn is_last_run(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_last_run(&self.limits))
    }

    /// Notes that a request's connection to a server broke before its answer had come.
    pub fn doubt(&mut self, now: Moment, request: Fingerprint, server: &str) {
        self.suspect(request).doubt(now, server);
        self.evict();
    }

    /// Notes that the caller of a request left while a server had it.
    pub fn leave(&mut self, now: Moment, request: Fingerprint, server: &str) {
        self.suspect(request).leave(now, server);
        self.evict();
    }

    /// Notes that a server is gone: an ending for each request whose connection to it broke, or whose
    /// caller left it there. Returns these, with what has changed.
    pub fn confirm(&mut self, now: Moment, server: &str) -> Vec<(Fingerprint, Change)> {
        let limits = self.limits;
        let ended: Vec<(Fingerprint, Standing)> = self
            .suspects
            .iter_mut()
            .filter_map(|(request, suspect)| {
                let before = Standing::of(suspect, &limits);
                suspect.confirm(now, server).then_some((*request, before))
            })
            .collect();
        self.weigh();
        ended.into_iter().map(|(request, before)| (request, self.change(request, before))).collect()
    }

    /// Joins what another daemon, or the store, tells of a request.
    pub fn join(&mut self, now: Moment, request: Fingerprint, endings: &[Ending]) -> Change {
        let limits = self.limits;
        let suspect = self.suspect(request);
        let before = Standing::of(suspect, &limits);
        let news =
            endings.iter().filter(|ending| suspect.add(now, &ending.server, ending.is_excused));
        if news.count() == 0 {
            self.evict();
            return Change::None;
        }
        self.weigh();
        let change = self.change(request, before);
        self.evict();
        change
    }

    /// Whether this daemon itself found a server gone that ran a request.
    pub fn is_witnessed(&self, request: Fingerprint) -> bool {
        self.suspects.get(&request).is_some_and(Suspect::is_witnessed)
    }

    /// Notes a whole answer to a request, or that an operator has released it: nothing that happened
    /// so far is held against it. Returns whether anything was.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let was_held = suspect.excuse();
        if suspect.endings().is_empty() {
            self.suspects.remove(&request);
        }
        if was_held {
            self.weigh();
        }
        was_held
    }

    /// Notes that the store holds nothing of a request any more: it is released, unless its record went
    /// since other requests explain its endings. Returns whether anything was held against it.
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

    /// Requests with a record that are not quarantined any more, since others explain their endings.
    pub fn recorded_in_vain(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let in_vain = self.suspects.iter().filter(|(_, suspect)| {
            suspect.record().is_some() && !suspect.is_quarantined(&self.limits)
        });
        in_vain.map(|(request, _)| *request)
    }

    /// Notes what the store holds of a request; whether that is newer than what was known.
    pub fn set_record(&mut self, now: Moment, request: Fingerprint, record: Record) -> bool {
        self.suspect(request).set_record(now, record)
    }

    /// What the store holds of a request, as far as is known.
    pub fn record(&self, request: Fingerprint) -> Option<Record> {
        self.suspects.get(&request)?.record()
    }

    /// What others are to be told of a request.
    pub fn report(&self, request: Fingerprint) -> Report {
        let endings = self.suspects.get(&request).map(Suspect::endings).unwrap_or_default();
        Report { request, endings }
    }

    /// What a daemon that starts is to be told.
    pub fn reports(&self) -> Vec<Report> {
        let told = self
            .suspects
            .iter()
            .map(|(request, suspect)| Report { request: *request, endings: suspect.endings() });
        told.filter(|report| !report.endings.is_empty()).collect()
    }

    /// Forgets requests of which nothing was heard for long. Returns those whose records are to go from
    /// the store; they are forgotten once these have gone.
    pub fn expire(&mut self, now: Moment) -> Vec<Fingerprint> {
        let limits = self.limits;
        let is_over = |suspect: &Suspect| suspect.left(now, &limits).is_zero();
        self.suspects.retain(|_, suspect| !suspect.is_idle(now));
        self.suspects.retain(|_, suspect| !is_over(suspect) || suspect.record().is_some());
        self.weigh();
        let over = self.suspects.iter().filter(|(_, suspect)| is_over(suspect));
        over.map(|(request, _)| *request).collect()
    }

    /// Finds anew which endings are explained. It depends on what is known alone, not on the order in
    /// which that came.
    fn weigh(&mut self) {
        let limits = self.limits;
        let culprits: Vec<Culprit> =
            self.suspects.values().filter_map(|suspect| suspect.culprit(&limits)).collect();
        self.suspects.values_mut().for_each(|suspect| suspect.weigh(&culprits));
    }

    /// What some news changed for a request.
    fn change(&self, request: Fingerprint, before: Standing) -> Change {
        let Some(suspect) = self.suspects.get(&request) else {
            return Change::None;
        };
        let now = Standing::of(suspect, &self.limits);
        match now.count {
            0 if before.count == 0 => Change::None,
            0 => Change::Cleared,
            count if now.is_quarantined && !before.is_quarantined => Change::Quarantined(count),
            count => Change::Suspected(count),
        }
    }

    fn suspect(&mut self, request: Fingerprint) -> &mut Suspect {
        self.suspects.entry(request).or_default()
    }

    /// Forgets the request with the fewest endings, of these the one that was heard of longest ago,
    /// where there are too many.
    fn evict(&mut self) {
        if self.suspects.len() <= MOST {
            return;
        }
        let unrecorded = self.suspects.iter().filter(|(_, suspect)| suspect.record().is_none());
        let least = unrecorded.min_by_key(|(_, suspect)| (suspect.count(), suspect.latest()));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}

/// How a request stood before some news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Standing {
    count: usize,
    is_quarantined: bool,
}

impl Standing {
    fn of(suspect: &Suspect, limits: &Limits) -> Self {
        Self { count: suspect.count(), is_quarantined: suspect.is_quarantined(limits) }
    }
}
