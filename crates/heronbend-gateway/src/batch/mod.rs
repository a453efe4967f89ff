//! Batch jobs: many requests handed in together, run later, and read as a list of results.
//!
//! A job's specification is one object, made before the job is acknowledged. Its results are an
//! append-only log of objects whose names are consecutive numbers: whoever appends must know all
//! that stands before, and of two that append the same number only one succeeds. So a daemon that
//! was paused or lost its ownership can repeat work and never a result, and no lease is needed.
//! Ownership, a small object for each job, says who runs it. Who takes a job over seals the log with
//! an empty chunk before it answers readers: from then on nobody else appends.
//!
//! - [`specification`]: what a job consists of.
//! - [`result_log`]: the log of results, without I/O.
//! - [`ownership`]: who runs a job, and whether it has ended, without I/O.
//! - [`schedule`]: the order in which items are begun, without I/O.
//! - [`length`]: how long texts are expected to become, without I/O.
//! - [`moves`]: whether a text had better go on at a faster server, without I/O.
//! - [`gathering`]: how long results wait until they are listed together, without I/O.
//! - [`event_stream`]: the text of an item from a server's events, without I/O.
//! - [`checkpoint`], [`digest`]: texts under way, saved for whoever takes a job over.
//! - [`registry`]: the jobs that this daemon knows.
//! - [`hand_in`], [`reading`]: the callers' side.
//! - [`runner`], [`item_run`], [`placement`], [`pace`], [`reward`], [`gate`], [`appender`]: the owner's side.
//! - [`adoption`]: when a lost daemon's job is taken over, without I/O.
//! - [`ownership_manager`]: who owns what, and jobs taken over.

pub mod adoption;
pub mod appender;
pub mod batching_window;
pub mod checkpoint;
pub mod digest;
pub mod event_stream;
pub mod in_flight;
pub mod item_run;
pub mod job_texts;
pub mod length_estimate;
pub mod migration;
pub mod owner_selection;
pub mod ownership;
pub mod ownership_manager;
pub mod read_pacing;
pub mod registry;
pub mod result_log;
pub mod results_reader;
pub mod reward;
pub mod reward_limit;
pub mod runner;
pub mod schedule;
pub mod segment;
pub mod specification;
pub mod submission;
pub mod throughput;

pub use result_log::{ItemResult, ItemState, ResultLog, ResultsPage};
pub use specification::{Item, JobSpecification, RewardCall, TrainerStep};
