//! Checkpoints of one item's text: daemons that may all run the job at once, each of which moves the
//! text between servers, begins it anew, saves what it has gained, and goes on with what is saved.
//!
//! A write that was sent may be executed at any later time or never, and its answer may be lost.
//!
//! Invariants: every text that a daemon goes on with consists of runs, each of which was asked to
//! follow the event after which it stands; and what a daemon believes saved can be restored.

use heronbend_gateway::batch::digest::Digest;
use heronbend_gateway::batch::event_stream::EventReader;
use heronbend_gateway::batch::event_stream::ItemText;
use heronbend_gateway::batch::job_texts::longest_text;
use heronbend_gateway::batch::job_texts::SavedPrefix;
use heronbend_gateway::batch::segment::Segment;

use crate::explore::System;

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// A segment is joined to any text that has as many events, whatever these are.
    JoinsByNumber,
    /// A text that is longer than what was saved is taken to go on from it.
    GoesByLength,
    /// What a write holds is taken for saved before its answer.
    SavedWhenSent,
}

/// The system; bounds are small numbers of each event.
#[derive(Debug, Clone, Copy)]
pub struct SavedTexts {
    /// Daemons that may run the job.
    pub daemons: usize,
    /// Events that a text has at most.
    pub events: u64,
    /// Runs at servers in all.
    pub runs: u8,
    /// Writes in all.
    pub writes: u8,
    /// Times that a daemon takes the job over.
    pub takeovers: u8,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Part {
    /// Whether it has owned the job, and believes that it still does.
    is_running: bool,
    text: ItemText,
    saved: SavedPrefix,
    /// The run that makes the next event, and the event that it was asked to follow.
    run: Option<(u8, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    daemon: usize,
    segment: Segment,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    parts: Vec<Part>,
    stored: Vec<Segment>,
    writes: Vec<Write>,
    runs_left: u8,
    writes_left: u8,
    takeovers_left: u8,
}

/// Takes in the next event of a run; it names the run and what that was asked to follow.
fn push(text: &mut ItemText, run: u8, after: u64) {
    let number = text.last_event() + 1;
    let event = format!("id: {number}\ndata: {run}:{after}\n\n");
    let read = EventReader::new("version", Some(1)).read(event.as_bytes(), text);
    assert_eq!(read, Ok(1), "an event in turn is taken in");
}

/// Whether each run in a text was asked to follow the event after which it stands.
fn is_whole(text: &ItemText) -> bool {
    let text = text.text();
    let mut before = "";
    text.lines().enumerate().all(|(index, event)| {
        let goes_on = event == before;
        before = event;
        goes_on || event.split_once(':').is_some_and(|(_, after)| after == index.to_string())
    })
}

impl State {
    /// Writes and what is stored are sets.
    fn sorted(mut self) -> Self {
        self.stored.sort_by_key(|segment| (segment.after, segment.events.clone()));
        self.stored.dedup();
        self.writes
            .sort_by_key(|write| (write.daemon, write.segment.after, write.segment.events.clone()));
        self
    }
}

impl SavedTexts {
    /// The text that a daemon goes on with.
    fn restored(&self, stored: &[Segment]) -> ItemText {
        if self.mutation == Mutation::JoinsByNumber {
            return join_by_number(stored);
        }
        longest_text(&ItemText::default(), stored.iter().collect())
    }

    fn make(&self, state: &State, daemon: usize) -> Option<State> {
        let part = &state.parts[daemon];
        let (run, after) = part.run?;
        if part.text.last_event() >= self.events {
            return None;
        }
        let mut next = state.clone();
        push(&mut next.parts[daemon].text, run, after);
        Some(next)
    }

    /// Has another server go on with the text, or make it anew.
    fn ask(&self, state: &State, daemon: usize, anew: bool) -> Option<State> {
        let mut next = state.clone();
        let run = next.runs_left.checked_sub(1).filter(|_| state.parts[daemon].is_running)?;
        next.runs_left = run;
        let part = &mut next.parts[daemon];
        if anew {
            if part.text.last_event() == 0 {
                return None;
            }
            part.text = ItemText::default();
        }
        part.run = Some((run, part.text.last_event()));
        Some(next)
    }

    fn send(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.writes_left = next.writes_left.checked_sub(1)?;
        let part = &mut next.parts[daemon];
        if SavedPrefix::all_of(&part.text) == part.saved || part.text.last_event() == 0 {
            return None;
        }
        let segment = if self.mutation == Mutation::GoesByLength {
            let is_longer = part.text.last_event() >= part.saved.events;
            part.text.segment(0, if is_longer { part.saved.events } else { 0 })
        } else {
            part.saved.unsaved(0, &part.text)
        };
        if self.mutation == Mutation::SavedWhenSent {
            part.saved = SavedPrefix::through(&segment);
        }
        next.writes.push(Write { daemon, segment });
        Some(next)
    }

    /// Executes a write; its answer arrives or not.
    fn execute(&self, state: &State, index: usize, answered: bool) -> State {
        let mut next = state.clone();
        let Write { daemon, segment } = next.writes.remove(index);
        if answered {
            next.parts[daemon].saved = SavedPrefix::through(&segment);
        }
        next.stored.push(segment);
        next
    }

    fn take_over(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.takeovers_left = next.takeovers_left.checked_sub(1)?;
        let text = self.restored(&next.stored);
        let saved = SavedPrefix::all_of(&text);
        next.parts[daemon] = Part { is_running: true, text, saved, run: None };
        // What it sent before is not awaited any more, and may be executed all the same.
        Some(next)
    }
}

/// What was done before segments named what they follow: the first part from one writer, the rest
/// from another, by the numbers of the events.
fn join_by_number(stored: &[Segment]) -> ItemText {
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

impl System for SavedTexts {
    type State = State;

    fn start(&self) -> State {
        let mut parts = vec![Part::default(); self.daemons];
        parts[0].is_running = true;
        State {
            parts,
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
            let event = |outcome| format!("write {index} of daemon {daemon} is done, {outcome}");
            next.push((self.execute(state, index, true), event("and answered")));
            next.push((self.execute(state, index, false), event("its answer is lost")));
        }
        for daemon in 0..state.parts.len() {
            let steps = [
                (self.make(state, daemon), "gets an event"),
                (self.ask(state, daemon, false), "has another server go on"),
                (self.ask(state, daemon, true), "begins anew"),
                (self.send(state, daemon), "sends a checkpoint"),
                (self.take_over(state, daemon), "takes the job over"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|step| (step, format!("daemon {daemon} {what}"))));
            }
        }
        next.into_iter().map(|(state, event)| (state.sorted(), event)).collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let restored = self.restored(&state.stored);
        let is_lost = |part: &Part| part.saved.events > restored.last_event();
        if !is_whole(&restored) || !state.parts.iter().all(|part| is_whole(&part.text)) {
            return Some("a text joins runs that do not follow each other");
        }
        let loses = state.parts.iter().any(is_lost);
        loses.then_some("what a daemon believes saved cannot be restored")
    }
}
