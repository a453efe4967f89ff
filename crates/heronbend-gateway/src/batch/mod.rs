//! Batch jobs: sets of requests that are submitted together, run asynchronously and read as a list
//! of results.
//!
//! A job's specification is a single object, written before the job is acknowledged. Its results
//! are an append-only log of objects named by consecutive numbers. A writer has to know every
//! earlier chunk, and only one writer can create a given number, so a daemon that was paused or
//! lost its ownership may repeat work but never duplicates a result. No lease is required. A small
//! ownership object per job names the daemon that runs it. A daemon that takes a job over seals the
//! log with an empty chunk before it serves readers, which fences off all former owners.
//!
//! Data and decisions, without I/O:
//!
//! - [`specification`]: the contents of a job.
//! - [`result_log`]: the log of results.
//! - [`ownership`]: the owner of a job and whether the job has ended.
//! - [`owner_selection`], [`adoption`]: which daemon runs a job, and when a lost owner is replaced.
//! - [`tenure`]: the runs of a job at one daemon, and adoptions whose outcome is unknown.
//! - [`schedule`]: the order in which items are started.
//! - [`length_estimate`], [`throughput`], [`migration`]: whether an item should move to a faster
//!   server.
//! - [`batching_window`]: how long results are buffered before they are committed.
//! - [`event_stream`]: assembles an item's text from a server's event stream.
//! - [`segment`], [`digest`], [`job_texts`]: partial texts in checkpoints.
//! - [`read_pacing`], [`in_flight`]: load limits.
//!
//! I/O:
//!
//! - [`registry`]: the jobs known to this daemon.
//! - [`submission`], [`results_reader`]: operations for callers.
//! - [`runner`], [`item_run`], [`reward`], [`reward_limit`], [`route_change`], [`appender`],
//!   [`checkpoint`]: run by the owner of a job.
//! - [`expiry`]: removes ended jobs.
//! - [`ownership_manager`]: tracks ownerships and takes over jobs of lost daemons.

pub mod adoption;
pub mod appender;
pub mod batching_window;
pub mod checkpoint;
pub mod digest;
pub mod event_stream;
pub mod expiry;
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
pub mod route_change;
pub mod runner;
pub mod schedule;
pub mod segment;
pub mod specification;
pub mod submission;
pub mod tenure;
pub mod throughput;

pub use result_log::{ItemResult, ItemState, ResultLog, ResultsPage};
pub use specification::{Item, JobSpecification, RewardCall, TrainerStep};
