//! What is known of one request that servers ended under.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Admission;
use super::Ending;
use super::Limits;
use super::Record;
use crate::Moment;

/// How long a broken connection is held against a request while nothing tells whether its server is
/// gone. The entry of a server that is gone lapses within that.
pub const DOUBT: Duration = Duration::from_secs(10);
/// How long it counts as an ending that may yet be shown: several looks at the server's address.
const DOUBT_COUNTS: Duration = Duration::from_secs(1);
/// How much sooner the first probe of a request comes that is tied with another one: it releases one of
/// them, whichever is probed.
const TIED_PROBE_SHARE: u32 = 5;
/// Servers that are told of a request: more than any decision needs.
const MOST_ENDINGS: usize = 16;

/// A request with so many endings that it is quarantined, unless a likelier one explains them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Culprit {
    endings: BTreeSet<String>,
}

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Suspect {
    /// Servers that went while they ran it; whether each is excused.
    endings: BTreeMap<String, bool>,
    /// How many of those that count are explained by a likelier request.
    explained: usize,
    /// Whether another request has just the same endings: nothing tells which of them it was.
    is_tied: bool,
    /// Whether this daemon itself found one of the servers gone, and was not told.
    is_witnessed: bool,
    /// Servers at which its connection broke, and when.
    doubts: BTreeMap<String, Moment>,
    /// Servers that had it when its caller left, and when. Callers leave for reasons of their own, so that
    /// this alone keeps it from nothing.
    left: BTreeMap<String, Moment>,
    /// What the store holds of it, and when that was learnt.
    record: Option<(Record, Moment)>,
    /// When the last thing was learnt of it.
    latest: Moment,
}

impl Suspect {
    fn counted(&self) -> impl Iterator<Item = &String> {
        let counted = self.endings.iter().filter(|(_, is_excused)| !**is_excused);
        counted.map(|(server, _)| server)
    }

    /// Servers that count against it.
    pub fn count(&self) -> usize {
        self.counted().count()
    }

    /// Servers that count against it and that no likelier request explains.
    fn unexplained(&self) -> usize {
        self.count() - self.explained.min(self.count())
    }

    /// Notes which of its endings the likelier ones of `culprits` explain.
    pub fn weigh(&mut self, culprits: &[Culprit]) {
        let count = self.count();
        let likelier = || culprits.iter().filter(|culprit| culprit.endings.len() > count);
        let is_explained =
            |server: &&String| likelier().any(|culprit| culprit.endings.contains(*server));
        self.explained = self.counted().filter(is_explained).count();
        let has_same = |culprit: &&Culprit| {
            culprit.endings.len() == count
                && self.counted().all(|server| culprit.endings.contains(server))
        };
        // One of them is this request itself.
        self.is_tied = count > 0 && culprits.iter().filter(has_same).count() > 1;
    }

    /// The request as one that may explain what is held against others, if it has endings enough.
    pub fn culprit(&self, limits: &Limits) -> Option<Culprit> {
        if self.count() < limits.endings {
            return None;
        }
        Some(Culprit { endings: self.counted().cloned().collect() })
    }

    /// Whether this daemon itself found one of the servers gone.
    pub fn is_witnessed(&self) -> bool {
        self.is_witnessed
    }

    fn open_doubts(&self, now: Moment) -> usize {
        self.doubts.values().filter(|since| now < **since + DOUBT_COUNTS).count()
    }

    /// Whether nothing has come of the doubts that it was kept for.
    pub fn is_idle(&self, now: Moment) -> bool {
        let mut since = self.doubts.values().chain(self.left.values());
        let is_open = since.any(|since| now < *since + DOUBT);
        !is_open && self.endings.is_empty() && self.record.is_none()
    }

    pub fn doubt(&mut self, now: Moment, server: &str) {
        if !self.endings.contains_key(server) {
            self.doubts.insert(server.to_owned(), now);
            self.latest = now;
        }
    }

    /// Notes that its caller left while a server had it.
    pub fn leave(&mut self, now: Moment, server: &str) {
        self.left.retain(|_, since| now < *since + DOUBT);
        if !self.endings.contains_key(server) {
            self.left.insert(server.to_owned(), now);
            self.latest = now;
        }
    }

    /// Takes a server that was in doubt, or had it when its caller left, for gone; false for any other.
    pub fn confirm(&mut self, now: Moment, server: &str) -> bool {
        let since = self.doubts.remove(server).max(self.left.remove(server));
        let is_ending = since.is_some_and(|since| now < since + DOUBT);
        if is_ending {
            self.add(now, server, false);
            self.is_witnessed = true;
        }
        is_ending
    }

    /// Takes in an ending; whether it tells anything new.
    pub fn add(&mut self, now: Moment, server: &str, is_excused: bool) -> bool {
        self.doubts.remove(server);
        let is_known = self.endings.get(server).copied();
        let is_news = match is_known {
            Some(known) => is_excused && !known,
            None => self.endings.len() < MOST_ENDINGS,
        };
        if is_news {
            self.endings.insert(server.to_owned(), is_excused);
            self.latest = now;
        }
        is_news
    }

    /// Excuses all that is held against it; whether anything was.
    pub fn excuse(&mut self) -> bool {
        let was_held = self.count() > 0;
        self.endings.values_mut().for_each(|is_excused| *is_excused = true);
        self.doubts.clear();
        self.left.clear();
        self.record = None;
        was_held
    }

    /// Forgets what the store held of it.
    pub fn drop_record(&mut self) {
        self.record = None;
    }

    pub fn record(&self) -> Option<Record> {
        self.record.map(|(record, _)| record)
    }

    /// Takes in what the store holds; whether that is newer.
    pub fn set_record(&mut self, now: Moment, record: Record) -> bool {
        let is_newer = self.record.is_none_or(|(known, _)| known.revision < record.revision);
        if is_newer {
            self.record = Some((record, now));
            self.latest = now;
        }
        is_newer
    }

    pub fn is_quarantined(&self, limits: &Limits) -> bool {
        let is_held = self.record.is_some() || self.count() >= limits.endings;
        is_held && !self.is_explained(limits)
    }

    /// Whether likelier requests explain so much that too little is left to quarantine it.
    fn is_explained(&self, limits: &Limits) -> bool {
        let may_be_explained = self.count() < limits.most_endings();
        self.explained > 0 && may_be_explained && self.unexplained() < limits.endings
    }

    /// Whether one more ending quarantines it. Doubts do not count: links that break end nobody.
    pub fn is_last_run(&self, limits: &Limits) -> bool {
        self.is_quarantined(limits) || self.unexplained() + 1 >= limits.endings
    }

    pub fn admission(&self, now: Moment, limits: &Limits) -> Admission {
        if self.is_quarantined(limits) {
            return self.quarantined(now, limits);
        }
        let (endings, doubts) = (self.unexplained(), self.open_doubts(now));
        match endings + doubts {
            0 => Admission::Free,
            known if known >= limits.endings => Admission::Refused { come_back: DOUBT_COUNTS },
            _ => Admission::Alone,
        }
    }

    fn quarantined(&self, now: Moment, limits: &Limits) -> Admission {
        let Some((record, learnt)) = self.record else {
            // Probes are granted by the record, which is being written.
            return Admission::Refused { come_back: limits.first_probe };
        };
        let due = match limits.probe_rest(record.probes) {
            Some(rest) if self.is_tied && record.probes == 0 => learnt + rest / TIED_PROBE_SHARE,
            Some(rest) => learnt + rest,
            None => return Admission::Refused { come_back: self.left(now, limits) },
        };
        if now >= due {
            Admission::Probe
        } else {
            Admission::Refused { come_back: due - now }
        }
    }

    /// Time until it is forgotten.
    pub fn left(&self, now: Moment, limits: &Limits) -> Duration {
        (self.latest + limits.retention).saturating_sub(now)
    }

    pub fn latest(&self) -> Moment {
        self.latest
    }

    pub fn endings(&self) -> Vec<Ending> {
        let ending = |(server, is_excused): (&String, &bool)| Ending {
            server: server.clone(),
            is_excused: *is_excused,
        };
        self.endings.iter().map(ending).collect()
    }
}
