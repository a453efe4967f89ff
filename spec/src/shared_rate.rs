//! A rate that daemons keep together: lenders that are killed, cut off or slow to notice, and permits
//! that are used late.
//!
//! Whoever wants a permit may ask any daemon, as one would whose view of the others is wrong in any way.
//! Answers may take any time or never come. Time goes in ticks of a quarter of what it takes until
//! nothing that was lent counts any more; a permit holds for less than a tick.
//!
//! Invariant: within a window no more permits are used than two lenders may give.

use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend::rate_limit::MembershipView;
use heronbend::rate_limit::PermitIssuer;
use heronbend::rate_limit::RateLimit;
use heronbend::rate_limit::Refusal;
use heronbend::rate_limit::ACCOUNTING_PERIOD;
use heronbend::Moment;

use crate::explore::System;

const KEY: &str = "key";
const RATE_LIMIT: RateLimit = RateLimit { per_window: 1 };
/// Permits that may be used within a window: those of two lenders.
const BOUND: usize = 2;
/// Ticks until nothing that was lent counts any more.
const SETTLED_TICKS: u32 = 4;
/// Ticks that lie within one window.
const WINDOW_TICKS: u32 = 3;
/// When the daemons have been up for long.
const BEGIN: Duration = Duration::from_secs(60);

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// A lender that takes over from a lost one does not wait.
    TakesOverAtOnce,
    /// A part of the fleet lends however small it is.
    MinorityLends,
    /// A permit holds from when the answer came.
    CountsFromAnswer,
}

/// The system.
#[derive(Debug, Clone, Copy)]
pub struct SharedRate {
    /// Daemons.
    pub daemons: usize,
    /// Ticks in all.
    pub ticks: u32,
    /// Daemons that are killed in all.
    pub kills: u8,
    /// Daemons that are cut off from all others, in all.
    pub cuts: u8,
    /// Permits that are asked for in all.
    pub asks: u8,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    view: MembershipView,
    lender: PermitIssuer,
    is_dead: bool,
    /// Daemons that it sees.
    sees: Vec<usize>,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    tick: u32,
    daemons: Vec<Daemon>,
    /// When each permit was asked for that was given and not used.
    given: Vec<u32>,
    /// When permits were used.
    used: Vec<u32>,
    kills: u8,
    cuts: u8,
    asks: u8,
}

fn name(number: usize) -> NodeName {
    NodeName(format!("n{number}"))
}

fn at(tick: u32) -> Moment {
    BEGIN + ACCOUNTING_PERIOD / SETTLED_TICKS * tick
}

impl Daemon {
    fn see(&mut self, now: Moment, sees: Vec<usize>) {
        self.view.update(now, sees.iter().copied().map(name).collect(), &[]);
        self.sees = sees;
    }
}

impl SharedRate {
    /// A daemon is asked for a permit and may give one.
    fn ask(&self, state: &State, lender: usize) -> Option<State> {
        let asks = state.asks.checked_sub(1)?;
        let daemon = state.daemons.get(lender).filter(|daemon| !daemon.is_dead)?;
        let now = at(state.tick);
        match daemon.view.may_issue(now, KEY) {
            Ok(()) => {}
            Err(Refusal::TakeoverPending(_)) if self.mutation == Mutation::TakesOverAtOnce => {}
            Err(Refusal::Minority) if self.mutation == Mutation::MinorityLends => {}
            Err(_) => return None,
        }
        let mut next = state.clone();
        next.asks = asks;
        let loan = next.daemons[lender].lender.issue(now, KEY, 1, RATE_LIMIT);
        if loan.permits == 0 {
            return None;
        }
        next.given.push(state.tick);
        Some(next)
    }

    /// A borrower uses a permit, if it still holds.
    fn spend(&self, state: &State, index: usize) -> Option<State> {
        let holds = state.given[index] == state.tick;
        if !holds && self.mutation != Mutation::CountsFromAnswer {
            return None;
        }
        let mut next = state.clone();
        next.given.remove(index);
        next.used.push(state.tick);
        Some(next)
    }

    fn tick(&self, state: &State) -> Option<State> {
        if state.tick >= self.ticks {
            return None;
        }
        let mut next = state.clone();
        next.tick += 1;
        let oldest = (next.tick + 1).saturating_sub(WINDOW_TICKS);
        next.used.retain(|used| *used >= oldest);
        if self.mutation != Mutation::CountsFromAnswer {
            next.given.clear();
        }
        Some(next)
    }

    fn kill(&self, state: &State, number: usize) -> Option<State> {
        if state.daemons[number].is_dead {
            return None;
        }
        let mut next = state.clone();
        next.kills = state.kills.checked_sub(1)?;
        next.daemons[number].is_dead = true;
        Some(next)
    }

    /// A daemon notices that another one is lost.
    fn notice(&self, state: &State, number: usize, lost: usize) -> Option<State> {
        let daemon = &state.daemons[number];
        if daemon.is_dead || !state.daemons[lost].is_dead || !daemon.sees.contains(&lost) {
            return None;
        }
        let mut next = state.clone();
        let sees = daemon.sees.iter().copied().filter(|other| *other != lost).collect();
        next.daemons[number].see(at(state.tick), sees);
        Some(next)
    }

    /// A daemon has lost all others.
    fn cut(&self, state: &State, number: usize) -> Option<State> {
        let daemon = &state.daemons[number];
        if daemon.is_dead || daemon.sees.is_empty() {
            return None;
        }
        let mut next = state.clone();
        next.cuts = state.cuts.checked_sub(1)?;
        next.daemons[number].see(at(state.tick), Vec::new());
        Some(next)
    }
}

impl System for SharedRate {
    type State = State;

    fn start(&self) -> State {
        let daemon = |number| {
            let sees: Vec<usize> = (0..self.daemons).filter(|other| *other != number).collect();
            let mut view = MembershipView::new(name(number), Moment::ZERO);
            view.update(Moment::ZERO, sees.iter().copied().map(name).collect(), &[]);
            Daemon { view, lender: PermitIssuer::default(), is_dead: false, sees }
        };
        State {
            tick: 0,
            daemons: (0..self.daemons).map(daemon).collect(),
            given: Vec::new(),
            used: Vec::new(),
            kills: self.kills,
            cuts: self.cuts,
            asks: self.asks,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        next.extend(self.tick(state).map(|state| (state, "time goes on".to_owned())));
        for index in 0..state.given.len() {
            let spent = self.spend(state, index);
            next.extend(spent.map(|state| (state, format!("permit {index} is used"))));
        }
        for number in 0..self.daemons {
            let steps = [
                (self.ask(state, number), "lends a permit"),
                (self.kill(state, number), "is killed"),
                (self.cut(state, number), "is cut off"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|state| (state, format!("daemon {number} {what}"))));
            }
            for lost in 0..self.daemons {
                let noticed = self.notice(state, number, lost);
                let event = format!("daemon {number} notices that {lost} is lost");
                next.extend(noticed.map(|state| (state, event)));
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.used.len() > BOUND).then_some("more is used in a window than two lenders may give")
    }
}
