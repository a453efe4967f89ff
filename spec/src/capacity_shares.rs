//! Shares of a service's capacity that daemons work out from each other's reports.
//!
//! A tick is [`EVALUATION_INTERVAL`]. In each one every daemon announces its demand, receives
//! reports and computes its share. A report arrives in the same tick, in the next one, at any later
//! one, or never. Daemons change their demand, restart and join; a daemon learns of one that joined
//! at any time within the start wait of that one. The state holds ages instead of times, so the
//! number of ticks is not bounded.
//!
//! Invariant: the shares in use never add up to more than the capacity. Liveness: once messages
//! flow and demand stays, the whole capacity is in use after [`CONVERGENCE_TICKS`].

use heronbend::admission::shares::Demand;
use heronbend::admission::shares::Shares;
use heronbend::admission::shares::CLASSES;
use heronbend::admission::shares::EVALUATION_INTERVAL;
use heronbend::admission::shares::HOLD;
use heronbend::admission::shares::VALIDITY;
use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::explore::System;

/// Requests per second that the servers can handle.
const CAPACITY: f64 = 100.0;
/// Demand levels in requests per second: below and above an equal share.
const LEVELS: [f64; 2] = [10.0, 200.0];
const LOW: u8 = 0;
const HIGH: u8 = 1;
const HOLD_TICKS: u8 = HOLD.as_millis().div_ceil(EVALUATION_INTERVAL.as_millis()) as u8;
const VALIDITY_TICKS: u8 = (VALIDITY.as_millis() / EVALUATION_INTERVAL.as_millis()) as u8;
/// Ticks after which the whole capacity is in use.
const CONVERGENCE_TICKS: u8 = HOLD_TICKS + 2;
/// Age beyond which no report or announcement is in use.
const MAX_AGE: u8 = HOLD_TICKS;
/// The current time, at which a state's ages are turned into times.
const NOW: Moment = Moment::from_secs(100);

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// A daemon uses an increased demand without waiting for its older reports to expire.
    IncreasesAtOnce,
    /// A daemon announces a decrease while its share is still based on the higher demand.
    DecreasesAtOnce,
    /// The validity of a report is counted from its arrival.
    CountsFromArrival,
    /// A daemon that starts does not wait.
    SkipsStartWait,
    /// A daemon without a report is taken to have a low demand.
    LendsOfSilentDaemons,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct CapacityShares {
    /// Number of daemons, 2 or 3.
    pub daemons: usize,
    /// Changes of demand in total.
    pub changes: u8,
    /// Restarts in total.
    pub restarts: u8,
    /// Number of daemons whose reports may be delayed or lost.
    pub unreliable: usize,
    /// Whether reports may arrive in the next tick.
    pub delays: bool,
    /// Reports in total that arrive later than in the next tick.
    pub late: u8,
    /// Whether the last daemon joins later.
    pub joins: bool,
    /// Whether to check that the whole capacity comes into use from every state.
    pub checks_liveness: bool,
    /// The removed guard.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Report {
    level: u8,
    /// Ticks since it was sent.
    age: u8,
    /// Ticks since it arrived.
    arrived: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    /// Ticks since it started; `None` before it joins.
    uptime: Option<u8>,
    demand: u8,
    /// Ticks since the low level was last announced. Other announcements bound nothing.
    low_announced: Option<u8>,
    /// Level behind the share in use.
    in_use: Option<u8>,
    /// Share in use, in thousandths of a request per second.
    rate: u64,
    /// Newest report of each daemon.
    reports: Vec<Option<Report>>,
    /// Transit of the fastest report of each daemon, in ticks.
    fastest: Vec<Option<u8>>,
    /// Which daemons it counts as members.
    knows: Vec<bool>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: usize,
    to: usize,
    level: u8,
    age: u8,
    /// Whether it may arrive at any later tick.
    is_late: bool,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    daemons: Vec<Daemon>,
    in_flight: Vec<Message>,
    /// Whether the shares in use exceeded the capacity during the last tick, in some order of the
    /// daemons.
    is_exceeded: bool,
    changes: u8,
    restarts: u8,
    late: u8,
}

/// What happens to a report that is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Prompt,
    NextTick,
    Late,
    Lost,
    /// Lost to the first of two receivers, prompt to the other one.
    LostToFirst,
}

fn name(index: usize) -> NodeName {
    NodeName(format!("n{index}"))
}

fn ago(ticks: u8) -> Moment {
    NOW - EVALUATION_INTERVAL * u32::from(ticks)
}

fn demand(index: usize, level: u8, sent_at: Moment) -> Demand {
    let mut requests_per_second = [0.0; CLASSES];
    requests_per_second[0] = LEVELS[usize::from(level)];
    let sent_millis = sent_at.as_millis() as u64;
    Demand { daemon: name(index), sent_millis, requests_per_second, tenants: Vec::new() }
}

fn level_of(demand: &Demand) -> u8 {
    if demand.requests_per_second[0] > LEVELS[usize::from(LOW)] {
        HIGH
    } else {
        LOW
    }
}

impl Daemon {
    fn new(count: usize, uptime: Option<u8>) -> Self {
        Self {
            uptime,
            demand: LOW,
            low_announced: None,
            in_use: None,
            rate: 0,
            reports: vec![None; count],
            fastest: vec![None; count],
            knows: vec![true; count],
        }
    }

    fn advance(&mut self) {
        let older = |age: u8| (age + 1).min(MAX_AGE);
        self.uptime = self.uptime.map(older);
        self.low_announced = self.low_announced.map(older).filter(|age| *age < MAX_AGE);
        for report in &mut self.reports {
            let aged = report.map(|report| Report {
                age: older(report.age),
                arrived: older(report.arrived),
                ..report
            });
            *report = aged.filter(|report| report.age <= VALIDITY_TICKS + 2);
        }
    }
}

impl CapacityShares {
    /// Rebuilds the gateway's state machine from the ages in the state.
    fn shares(&self, index: usize, daemon: &Daemon, uptime: u8) -> Shares {
        let has_started_long_ago =
            uptime >= HOLD_TICKS || self.mutation == Mutation::SkipsStartWait;
        let started = if has_started_long_ago { Moment::ZERO } else { ago(uptime) };
        let mut shares = Shares::new(started);
        let known = (0..self.daemons).filter(|other| daemon.knows[*other]);
        shares.set_members(Moment::ZERO, known.map(name));
        if self.mutation != Mutation::IncreasesAtOnce {
            if let Some(age) = daemon.low_announced {
                shares.announce(ago(age), &demand(index, LOW, ago(age)));
            }
        }
        for other in (0..self.daemons).filter(|other| *other != index) {
            self.replay_report(&mut shares, daemon, other);
        }
        shares
    }

    fn replay_report(&self, shares: &mut Shares, daemon: &Daemon, other: usize) {
        let Some(report) = daemon.reports[other] else {
            if self.mutation == Mutation::LendsOfSilentDaemons && daemon.knows[other] {
                shares.report(NOW, &demand(other, LOW, NOW));
            }
            return;
        };
        let fastest = EVALUATION_INTERVAL * u32::from(daemon.fastest[other].unwrap_or(0));
        let arrived_at = ago(report.arrived);
        let sent_at = match self.mutation {
            Mutation::CountsFromArrival => arrived_at - fastest,
            _ => ago(report.age),
        };
        // The fastest report determines the difference between the clocks.
        let reference = sent_at - Moment::from_millis(1);
        shares.report(reference + fastest, &demand(other, report.level, reference));
        shares.report(arrived_at, &demand(other, report.level, sent_at));
    }

    /// The level that a daemon announces.
    fn announced_level(&self, index: usize, daemon: &Daemon, uptime: u8) -> u8 {
        if self.mutation == Mutation::DecreasesAtOnce {
            return daemon.demand;
        }
        let mut shares = self.shares(index, daemon, uptime);
        if let Some(level) = daemon.in_use {
            shares.share(ago(1), &name(index), &demand(index, level, NOW), CAPACITY);
        }
        level_of(&shares.announce(NOW, &demand(index, daemon.demand, NOW)))
    }

    /// All daemons compute their shares, in any order.
    fn evaluate(&self, state: &mut State) {
        let mut peak = 0;
        for index in 0..self.daemons {
            let Some(uptime) = state.daemons[index].uptime else { continue };
            let daemon = &state.daemons[index];
            let mut shares = self.shares(index, daemon, uptime);
            let own = demand(index, daemon.demand, NOW);
            let share = shares.share(NOW, &name(index), &own, CAPACITY);
            // An idle report shows the claim in use.
            let idle = demand(index, LOW, NOW);
            let covered = level_of(&shares.announce(NOW, &idle));
            let has_share = uptime >= HOLD_TICKS || self.mutation == Mutation::SkipsStartWait;
            let daemon = &mut state.daemons[index];
            daemon.in_use = has_share.then_some(covered);
            let rate = (share.requests_per_second * 1000.0).round() as u64;
            peak += rate.max(daemon.rate);
            daemon.rate = rate;
        }
        state.is_exceeded = peak > (CAPACITY * 1000.0) as u64 + self.daemons as u64;
    }

    fn receive(state: &mut State, message: Message) {
        let daemon = &mut state.daemons[message.to];
        if daemon.uptime.is_none() {
            return;
        }
        let fastest = &mut daemon.fastest[message.from];
        // A first report that is late is in flight beyond the bound.
        if fastest.is_none() && message.age > 1 {
            return;
        }
        *fastest = Some(fastest.map_or(message.age, |fastest| fastest.min(message.age)));
        let known = &mut daemon.reports[message.from];
        if known.is_none_or(|known| known.age > message.age) {
            *known = Some(Report { level: message.level, age: message.age, arrived: 0 });
        }
    }

    /// One tick in which the reports of each daemon meet `deliveries`.
    fn tick(&self, state: &State, deliveries: &[Delivery]) -> Option<State> {
        let mut next = state.clone();
        next.daemons.iter_mut().for_each(Daemon::advance);
        for message in &mut next.in_flight {
            message.age += 1;
        }
        let (arriving, waiting) =
            next.in_flight.iter().copied().partition(|message| !message.is_late);
        next.in_flight = waiting;
        let arriving: Vec<Message> = arriving;
        next.in_flight.retain(|message| message.age < MAX_AGE);
        for (from, delivery) in deliveries.iter().enumerate() {
            self.announce(&mut next, from, *delivery)?;
        }
        for message in arriving {
            Self::receive(&mut next, message);
        }
        next.in_flight.sort_unstable();
        self.learn_joined(&mut next);
        self.evaluate(&mut next);
        Some(next)
    }

    fn announce(&self, next: &mut State, from: usize, delivery: Delivery) -> Option<()> {
        let Some(uptime) = next.daemons[from].uptime else {
            return (delivery == Delivery::Prompt).then_some(());
        };
        let level = self.announced_level(from, &next.daemons[from], uptime);
        if level == LOW {
            next.daemons[from].low_announced = Some(0);
        }
        if delivery == Delivery::Late {
            next.late = next.late.checked_sub(1)?;
        }
        let first = usize::from(from == 0);
        for to in (0..self.daemons).filter(|to| *to != from) {
            let is_late = delivery == Delivery::Late;
            let message = Message { from, to, level, age: 0, is_late };
            match delivery {
                Delivery::Prompt => Self::receive(next, message),
                Delivery::NextTick | Delivery::Late => next.in_flight.push(message),
                Delivery::LostToFirst if to != first => Self::receive(next, message),
                Delivery::Lost | Delivery::LostToFirst => {}
            }
        }
        Some(())
    }

    /// Every daemon knows one that joined before that one uses its share.
    fn learn_joined(&self, next: &mut State) {
        for joined in 0..self.daemons {
            if next.daemons[joined].uptime.is_some_and(|uptime| uptime + 1 >= HOLD_TICKS) {
                next.daemons.iter_mut().for_each(|daemon| daemon.knows[joined] = true);
            }
        }
    }

    fn change_demand(state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        next.changes = state.changes.checked_sub(1)?;
        next.daemons[index].demand = HIGH - state.daemons[index].demand;
        Some(next)
    }

    fn restart(&self, state: &State, index: usize) -> Option<State> {
        let daemon = &state.daemons[index];
        daemon.uptime?;
        let mut next = state.clone();
        next.restarts = state.restarts.checked_sub(1)?;
        next.daemons[index] = Daemon::new(self.daemons, Some(0));
        next.daemons[index].demand = daemon.demand;
        next.daemons[index].knows.clone_from(&daemon.knows);
        Some(next)
    }

    fn join(&self, state: &State, index: usize) -> Option<State> {
        if state.daemons[index].uptime.is_some() {
            return None;
        }
        let mut next = state.clone();
        next.daemons[index] = Daemon::new(self.daemons, Some(0));
        Some(next)
    }

    fn learn(state: &State, index: usize, joined: usize) -> Option<State> {
        let is_new = !state.daemons[index].knows[joined] && state.daemons[joined].uptime.is_some();
        let mut next = state.clone();
        next.daemons[index].knows[joined] = true;
        is_new.then_some(next)
    }

    fn deliver_late(state: &State, index: usize) -> Option<State> {
        let message = state.in_flight.get(index).copied().filter(|message| message.is_late)?;
        let mut next = state.clone();
        next.in_flight.remove(index);
        Self::receive(&mut next, message);
        Some(next)
    }

    /// All combinations of deliveries, one for each sender.
    fn deliveries(&self, state: &State) -> Vec<Vec<Delivery>> {
        let mut kinds = vec![Delivery::Prompt, Delivery::Lost];
        kinds.extend((self.daemons > 2).then_some(Delivery::LostToFirst));
        kinds.extend(self.delays.then_some(Delivery::NextTick));
        kinds.extend((state.late > 0).then_some(Delivery::Late));
        (0..self.daemons).fold(vec![Vec::new()], |combinations, sender| {
            let count = if sender < self.unreliable { kinds.len() } else { 1 };
            let extend = |combination: &Vec<Delivery>| {
                let extended =
                    |kind: &Delivery| combination.iter().copied().chain([*kind]).collect();
                kinds[..count].iter().map(extended).collect::<Vec<Vec<Delivery>>>()
            };
            combinations.iter().flat_map(extend).collect()
        })
    }

    fn sum(state: &State) -> f64 {
        state.daemons.iter().map(|daemon| daemon.rate as f64 / 1000.0).sum()
    }

    /// Whether the whole capacity is in use once messages flow.
    fn converges(&self, state: &State) -> bool {
        let prompt = vec![Delivery::Prompt; self.daemons];
        let mut next = state.clone();
        for _ in 0..CONVERGENCE_TICKS {
            next = self.tick(&next, &prompt).expect("prompt deliveries are not bounded");
        }
        Self::sum(&next) >= CAPACITY - 0.001 * self.daemons as f64
    }
}

impl System for CapacityShares {
    type State = State;

    fn initial_state(&self) -> State {
        let last = self.daemons - 1;
        let mut daemons: Vec<Daemon> =
            (0..self.daemons).map(|_| Daemon::new(self.daemons, Some(MAX_AGE))).collect();
        if self.joins {
            daemons[last].uptime = None;
            daemons.iter_mut().for_each(|daemon| daemon.knows[last] = false);
        }
        State {
            daemons,
            in_flight: Vec::new(),
            is_exceeded: false,
            changes: self.changes,
            restarts: self.restarts,
            late: self.late,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for deliveries in self.deliveries(state) {
            let ticked = self.tick(state, &deliveries);
            next.extend(ticked.map(|state| (state, format!("reports are {deliveries:?}"))));
        }
        for index in 0..state.in_flight.len() {
            let delivered = Self::deliver_late(state, index);
            next.extend(delivered.map(|state| (state, "a late report arrives".to_owned())));
        }
        for index in 0..self.daemons {
            let actions = [
                (Self::change_demand(state, index), "changes its demand"),
                (self.restart(state, index), "restarts"),
                (self.join(state, index), "joins"),
            ];
            for (successor, action) in actions {
                next.extend(successor.map(|state| (state, format!("daemon {index} {action}"))));
            }
            for joined in 0..self.daemons {
                let learned = Self::learn(state, index, joined);
                let event = format!("daemon {index} learns of {joined}");
                next.extend(learned.map(|state| (state, event)));
            }
        }
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.is_exceeded {
            return Some("the shares in use add up to more than the capacity");
        }
        let is_stuck = self.checks_liveness && !self.converges(state);
        is_stuck.then_some("a part of the capacity stays unused while messages flow")
    }
}

const _: () = assert!(VALIDITY_TICKS + 2 < HOLD_TICKS);
