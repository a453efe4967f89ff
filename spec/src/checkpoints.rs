//! Checkpoints of the output of one batch item. Several daemons may run the job at once; each of
//! them migrates the item between servers, restarts its generation, writes checkpoints and restores
//! from them.
//!
//! A write may be executed at any later time or never, and its response may be lost.
//!
//! Invariants: the output that a daemon continues is a sequence of server runs, each of which was
//! requested to continue after the event that precedes it; and a prefix that a daemon considers
//! saved can be restored.

use heronbend_gateway::batch::digest::Digest;
use heronbend_gateway::batch::event_stream::EventReader;
use heronbend_gateway::batch::event_stream::ItemText;
use heronbend_gateway::batch::job_texts::longest_text;
use heronbend_gateway::batch::job_texts::SavedPrefix;
use heronbend_gateway::batch::segment::Segment;

use crate::explore::System;

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// A segment is appended to any text with the expected number of events, whatever their
    /// contents.
    JoinsByEventNumber,
    /// A text that is longer than the saved prefix is assumed to extend it.
    ComparesLengthOnly,
    /// A checkpoint is considered saved when its write is sent.
    SavedOnSend,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Checkpoints {
    /// Daemons that may run the job.
    pub daemons: usize,
    /// Largest number of events of the item.
    pub events: u64,
    /// Server runs in total.
    pub runs: u8,
    /// Writes in total.
    pub writes: u8,
    /// Takeovers of the job in total.
    pub takeovers: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// Whether the daemon assumes that it owns the job.
    is_running: bool,
    text: ItemText,
    saved: SavedPrefix,
    /// The current server run, and the event after which it was requested to continue.
    run: Option<(u8, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    daemon: usize,
    segment: Segment,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    daemons: Vec<Daemon>,
    stored: Vec<Segment>,
    writes: Vec<Write>,
    runs_left: u8,
    writes_left: u8,
    takeovers_left: u8,
}

/// Appends the next event of a run. The event contains the run and the event that the run
/// continues.
fn append_event(text: &mut ItemText, run: u8, after: u64) {
    let number = text.last_event() + 1;
    let event = format!("id: {number}\ndata: {run}:{after}\n\n");
    let read = EventReader::new("version", Some(1)).read(event.as_bytes(), text);
    assert_eq!(read, Ok(1), "the next event is accepted");
}

/// Whether each run in a text follows the event after which it was requested to continue.
fn is_consistent(text: &ItemText) -> bool {
    let text = text.text();
    let mut before = "";
    text.lines().enumerate().all(|(index, event)| {
        let is_same_run = event == before;
        before = event;
        is_same_run || event.split_once(':').is_some_and(|(_, after)| after == index.to_string())
    })
}

impl State {
    /// Sorts the writes and the stored segments, whose order is irrelevant.
    fn sorted(mut self) -> Self {
        self.stored.sort_by_key(|segment| (segment.after, segment.events.clone()));
        self.stored.dedup();
        self.writes
            .sort_by_key(|write| (write.daemon, write.segment.after, write.segment.events.clone()));
        self
    }
}

impl Checkpoints {
    /// Returns the text that a daemon restores.
    fn restored(&self, stored: &[Segment]) -> ItemText {
        if self.mutation == Mutation::JoinsByEventNumber {
            return join_by_event_number(stored);
        }
        longest_text(&ItemText::default(), stored.iter().collect())
    }

    fn receive_event(&self, state: &State, daemon: usize) -> Option<State> {
        let daemon_state = &state.daemons[daemon];
        let (run, after) = daemon_state.run?;
        if daemon_state.text.last_event() >= self.events {
            return None;
        }
        let mut next = state.clone();
        append_event(&mut next.daemons[daemon].text, run, after);
        Some(next)
    }

    /// Starts a run on another server, which continues the text or, `from_scratch`, generates it
    /// anew.
    fn start_run(&self, state: &State, daemon: usize, from_scratch: bool) -> Option<State> {
        let mut next = state.clone();
        let run = next.runs_left.checked_sub(1).filter(|_| state.daemons[daemon].is_running)?;
        next.runs_left = run;
        let daemon_state = &mut next.daemons[daemon];
        if from_scratch {
            if daemon_state.text.last_event() == 0 {
                return None;
            }
            daemon_state.text = ItemText::default();
        }
        daemon_state.run = Some((run, daemon_state.text.last_event()));
        Some(next)
    }

    fn write_checkpoint(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.writes_left = next.writes_left.checked_sub(1)?;
        let daemon_state = &mut next.daemons[daemon];
        if SavedPrefix::all_of(&daemon_state.text) == daemon_state.saved
            || daemon_state.text.last_event() == 0
        {
            return None;
        }
        let segment = if self.mutation == Mutation::ComparesLengthOnly {
            let is_longer = daemon_state.text.last_event() >= daemon_state.saved.events;
            daemon_state.text.segment(0, if is_longer { daemon_state.saved.events } else { 0 })
        } else {
            daemon_state.saved.unsaved(0, &daemon_state.text)
        };
        if self.mutation == Mutation::SavedOnSend {
            daemon_state.saved = SavedPrefix::through(&segment);
        }
        next.writes.push(Write { daemon, segment });
        Some(next)
    }

    /// Executes a write; its response is received or lost.
    fn execute(&self, state: &State, index: usize, is_acknowledged: bool) -> State {
        let mut next = state.clone();
        let Write { daemon, segment } = next.writes.remove(index);
        if is_acknowledged {
            next.daemons[daemon].saved = SavedPrefix::through(&segment);
        }
        next.stored.push(segment);
        next
    }

    fn take_over(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.takeovers_left = next.takeovers_left.checked_sub(1)?;
        let text = self.restored(&next.stored);
        let saved = SavedPrefix::all_of(&text);
        next.daemons[daemon] = Daemon { is_running: true, text, saved, run: None };
        // Earlier writes of this daemon may still be executed.
        Some(next)
    }
}

/// Joins segments by event numbers alone, which may combine segments of different writers.
fn join_by_event_number(stored: &[Segment]) -> ItemText {
    let mut text = ItemText::default();
    for segment in stored {
        let known = text.last_event();
        if segment.after > known {
            continue;
        }
        let skipped = usize::try_from(known - segment.after).unwrap_or(usize::MAX);
        let rest = Segment {
            after: known,
            follows: text.digest_at(known).unwrap_or(Digest::EMPTY),
            events: segment.events.iter().skip(skipped).cloned().collect(),
            versions: segment.versions.iter().skip(skipped).copied().collect(),
            ..segment.clone()
        };
        text = text.continued_by(&rest).unwrap_or(text);
    }
    text
}

impl System for Checkpoints {
    type State = State;

    fn initial_state(&self) -> State {
        let mut daemons = vec![Daemon::default(); self.daemons];
        daemons[0].is_running = true;
        State {
            daemons,
            stored: Vec::new(),
            writes: Vec::new(),
            runs_left: self.runs,
            writes_left: self.writes,
            takeovers_left: self.takeovers,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for index in 0..state.writes.len() {
            let daemon = state.writes[index].daemon;
            let event =
                |outcome| format!("write {index} of daemon {daemon} is executed, {outcome}");
            next.push((self.execute(state, index, true), event("response received")));
            next.push((self.execute(state, index, false), event("response lost")));
        }
        for daemon in 0..state.daemons.len() {
            let actions = [
                (self.receive_event(state, daemon), "receives an event"),
                (self.start_run(state, daemon, false), "migrates the item"),
                (self.start_run(state, daemon, true), "restarts the generation"),
                (self.write_checkpoint(state, daemon), "writes a checkpoint"),
                (self.take_over(state, daemon), "takes over the job"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor
                        .map(|successor| (successor, format!("daemon {daemon} {description}"))),
                );
            }
        }
        next.into_iter().map(|(state, event)| (state.sorted(), event)).collect()
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        let restored = self.restored(&state.stored);
        let is_lost = |daemon_state: &Daemon| daemon_state.saved.events > restored.last_event();
        if !is_consistent(&restored)
            || !state.daemons.iter().all(|daemon_state| is_consistent(&daemon_state.text))
        {
            return Some("a text combines runs that do not follow each other");
        }
        let has_loss = state.daemons.iter().any(is_lost);
        has_loss.then_some("a saved prefix cannot be restored")
    }
}
