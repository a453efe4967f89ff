//! The rollout service over ports: it passes calls on to servers, keeps and runs batch jobs, and
//! brings servers to the versions of weights that trainers name.
//!
//! It stands between callers and servers on every machine alike. Whatever must last is in an object
//! store, reached through [`ports::ObjectStore`]; how calls and objects are spelled is behind
//! [`ports::Dialect`]. An adapter implements both and starts [`service::run`].
//!
//! - [`duties`], [`lease_manager`], [`lease_state`]: what one daemon at a time does for all.
//! - [`access`]: on whose behalf a call is made.
//! - [`calls`], [`forward`], [`stream`], [`exchange`], [`split`]: requests passed on.
//! - [`directory`], [`places`], [`permits`], [`evacuations`], [`homes`]: what decides where they go.
//! - [`events`]: the events of a server's stream.
//! - [`quarantine`]: requests that end the servers that run them.
//! - [`clock`]: the time that rights and deadlines are judged by.
//! - [`memory`]: the bound on what clients make a daemon hold.
//! - [`batch`]: batch jobs.
//! - [`versions`]: versions of weights.
//! - [`peers`]: the daemons among themselves.
//! - [`failover_store`], [`reflector`], [`replica`], [`compressed_update`],
//!   [`upstream`], [`dissemination`], [`configuration`]:
//!   the store and what it says.
//! - [`service`], [`keeper`], [`settings`], [`reload`]: the programs and their settings.
//! - [`logging`], [`metrics`]: what they tell.
//! - [`explain`], [`steps`], [`day`], [`day_plot`]: what their logs tell afterwards.

pub mod access;
pub mod batch;
pub mod calls;
pub mod clock;
pub mod compressed_update;
pub mod configuration;
pub mod day;
pub mod day_plot;
pub mod directory;
pub mod dissemination;
pub mod duties;
pub mod encoded_object;
pub mod evacuations;
pub mod events;
pub mod exchange;
pub mod explain;
pub mod failover_store;
pub mod forward;
pub mod gateway;
pub mod headers;
pub mod homes;
pub mod http;
pub mod keeper;
pub mod lease_manager;
pub mod lease_state;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod permits;
pub mod places;
pub mod pool;
pub mod ports;
pub mod quarantine;
pub mod reflector;
pub mod reload;
pub mod replica;
pub mod service;
pub mod settings;
pub mod split;
pub mod steps;
pub mod stream;
pub mod upstream;
pub mod versions;
pub mod wait;
