//! The rollout service over ports: it passes calls on to servers, keeps and runs batch jobs, and
//! brings servers to the versions of weights that trainers name.
//!
//! It stands between callers and servers on every machine alike. Whatever must last is in an object
//! store, reached through [`ports::ObjectStore`]; how calls and objects are spelled is behind
//! [`ports::Dialect`]. An adapter implements both and starts [`service::run`].
//!
//! - [`duties`], [`lease_keeper`], [`lease_news`]: what one daemon at a time does for all.
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
//! - [`relayed_store`], [`mirror`], [`replica`], [`packed_news`],
//!   [`news_way`], [`dissemination`], [`configuration`]:
//!   the store and what it says.
//! - [`service`], [`keeper`], [`settings`], [`reload`]: the programs and their settings.
//! - [`logging`], [`metrics`]: what they tell.
//! - [`explain`], [`steps`], [`fleet_summary`], [`summary_plot`]: what their logs tell afterwards.

pub mod access;
pub mod batch;
pub mod calls;
pub mod clock;
pub mod configuration;
pub mod directory;
pub mod dissemination;
pub mod duties;
pub mod encoded_object;
pub mod evacuations;
pub mod events;
pub mod exchange;
pub mod explain;
pub mod fleet_summary;
pub mod forward;
pub mod gateway;
pub mod headers;
pub mod homes;
pub mod http;
pub mod keeper;
pub mod lease_keeper;
pub mod lease_news;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod mirror;
pub mod news_way;
pub mod packed_news;
pub mod peers;
pub mod permits;
pub mod places;
pub mod pool;
pub mod ports;
pub mod quarantine;
pub mod relayed_store;
pub mod reload;
pub mod replica;
pub mod service;
pub mod settings;
pub mod split;
pub mod steps;
pub mod stream;
pub mod summary_plot;
pub mod versions;
pub mod wait;
