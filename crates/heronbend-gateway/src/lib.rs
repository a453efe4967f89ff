//! Gateway daemon of the rollout service: forwards requests to servers, stores and runs batch jobs,
//! and updates servers to the model versions that trainers publish.
//!
//! An identical daemon runs on every machine, between callers and servers. Persistent data is kept
//! in an object store behind [`ports::ObjectStore`]; the encoding of calls and objects is behind
//! [`ports::Dialect`]. An adapter implements both ports and calls [`service::run`].
//!
//! - [`gateway`]: shared state of a daemon.
//! - [`calls`], [`forward`], [`stream`], [`attempt`], [`traffic_split`]: request forwarding.
//! - [`directory`], [`slot_queue`], [`permits`], [`evacuations`], [`region_policy`]: placement of
//!   requests on servers.
//! - [`access`]: authentication of callers.
//! - [`admission_settings`]: which calls have precedence under load.
//! - [`events`]: parser for event streams.
//! - [`demand_exchange`]: shares of services' capacities among daemons.
//! - [`quarantine`]: quarantine of requests that crash servers.
//! - [`batch`]: batch jobs.
//! - [`versions`]: rollout of model versions.
//! - [`duties`], [`lease_manager`], [`lease_state`]: tasks that one lease holder runs for the
//!   fleet.
//! - [`peers`]: membership and messages between daemons.
//! - [`failover_store`], [`list_pages`], [`reflector`], [`replica`], [`compressed_update`], [`upstream`],
//!   [`dissemination`], [`silence`], [`configuration`]: access to the store and distribution of its updates.
//! - [`clock`], [`wait`]: time and timeouts.
//! - [`memory`]: memory budget for request bodies.
//! - [`service`], [`shutdown`], [`retirement`], [`settings`], [`reload`]: programs and their settings.
//! - [`logging`], [`metrics`]: logs and metrics.
//! - [`explain`], [`call_explanation`], [`steps`], [`fleet_summary`], [`load_summary`],
//!   [`summary_plot`]: log analysis.

pub mod access;
pub mod admission_settings;
pub mod attempt;
pub mod batch;
pub mod call_admission;
pub mod call_explanation;
pub mod calls;
pub mod clock;
pub mod compressed_update;
pub mod configuration;
pub mod demand_exchange;
pub mod directory;
pub mod dissemination;
pub mod duties;
pub mod encoded_object;
pub mod evacuations;
pub mod events;
pub mod explain;
pub mod failover_store;
pub mod fleet_summary;
pub mod forward;
pub mod gateway;
pub mod headers;
pub mod http;
pub mod interner;
pub mod lease_manager;
pub mod lease_state;
pub mod list_pages;
pub mod load_summary;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod permits;
pub mod ports;
pub mod quarantine;
pub mod reflector;
pub mod region_policy;
pub mod reload;
pub mod replacements;
pub mod replica;
pub mod retirement;
pub mod route_parts;
pub mod service;
pub mod settings;
pub mod shutdown;
pub mod silence;
pub mod slot_queue;
pub mod steps;
pub mod stream;
pub mod summary_plot;
pub mod traffic_split;
pub mod upstream;
pub mod versions;
pub mod wait;
