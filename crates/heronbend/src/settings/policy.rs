//! Typed policies compiled from the settings tree.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use sha2::{Digest, Sha256};

use super::schema::{FieldSpec, Section, FIELDS};
use super::tree::{NodePath, RawValue, Tree};
use super::units::{parse_bytes, parse_duration};

/// Kind of the backends of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Application servers.
    Application,
}

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolPolicy {
    /// Name of the pool, as given in the machine list.
    pub name: String,
    /// Kind of its backends.
    pub kind: PoolKind,
    /// Maximum number of requests in flight from one daemon to one backend.
    pub max_in_flight: usize,
    /// Timeout of a request, including all its attempts.
    pub request_timeout: Duration,
    /// How long a request may wait for backend capacity before it is rejected.
    pub recovery_window: Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether prompts with a common prefix are routed to the same engine.
    pub prefix_affinity: bool,
    /// Number of backends of the pool that one daemon sends requests to and polls for status.
    pub subset: usize,
    /// Minimum fraction of engines that keep serving during a weight rollout.
    pub serving_floor: f64,
}

/// Settings of a model.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ModelPolicy {
    /// Name of the model.
    pub name: String,
    /// Pool that serves it.
    pub pool: String,
    /// Maximum number of tokens per response.
    pub max_tokens: u64,
    /// Callers that may use it.
    pub callers: CallerSet,
}

/// Settings of an application route.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RoutePolicy {
    /// Name of the route.
    pub name: String,
    /// Path prefix that selects it; the longest match wins.
    pub prefix: String,
    /// Pool that serves it.
    pub pool: String,
    /// Whether requests are idempotent and may be executed more than once.
    pub repeatable: bool,
    /// Callers that may use it.
    pub callers: CallerSet,
}

/// Settings of a caller.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CallerPolicy {
    /// Name of the caller.
    pub name: String,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    #[serde(skip)]
    pub token_sha256: String,
    /// Maximum number of concurrent requests of the caller at one daemon.
    pub max_concurrent: usize,
}

/// Settings of a trainer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrainerPolicy {
    /// Name of the trainer.
    pub name: String,
    /// Model that it trains.
    pub model: String,
    /// Caller that acts on its behalf.
    pub caller: String,
    /// Maximum staleness of a sample, in versions behind the trainer's own.
    pub staleness_bound: u64,
    /// Weight of avoiding idle time against avoiding staleness, from 0 to 1.
    pub idle_weight: f64,
    /// Number of samples per batch.
    pub batch_size: usize,
    /// Application pool that scores the samples.
    pub scorer: String,
}

/// A set of callers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum CallerSet {
    /// Every known caller.
    All,
    /// These callers.
    Named(Vec<String>),
}

impl CallerSet {
    /// Returns whether the set contains a caller.
    pub fn contains(&self, caller: &str) -> bool {
        match self {
            Self::All => true,
            Self::Named(names) => names.iter().any(|name| name == caller),
        }
    }
}

/// All policies compiled from one revision of the settings.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Policy {
    /// Revision of the settings tree.
    pub revision: u64,
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Interval at which counters are logged.
    pub log_interval: Duration,
    /// Allowed ratio of retries to first attempts.
    pub retry_budget: f64,
    /// Retention time of the outcome of a non-idempotent request.
    pub claim_retention: Duration,
    /// Pools by name.
    pub pools: BTreeMap<String, PoolPolicy>,
    /// Models by name.
    pub models: BTreeMap<String, ModelPolicy>,
    /// Routes, longest prefix first.
    pub routes: Vec<RoutePolicy>,
    /// Callers by name.
    pub callers: BTreeMap<String, CallerPolicy>,
    /// Trainers by name.
    pub trainers: BTreeMap<String, TrainerPolicy>,
}

impl Policy {
    /// Compiles a tree.
    ///
    /// # Panics
    ///
    /// May panic if the tree does not pass [`Tree::validate`].
    pub fn compile(tree: &Tree, revision: u64) -> Self {
        let root = NodeReader::new(tree, NodePath::root());
        let mut routes: Vec<_> =
            node_readers(tree, Section::Routes).map(|node| node.route()).collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            revision,
            max_body: root.bytes("max_body"),
            body_timeout: root.duration("body_timeout"),
            log_interval: root.duration("log_interval"),
            retry_budget: root.ratio("retry_budget"),
            claim_retention: root.duration("claim_retention"),
            pools: compile_by_name(tree, Section::Pools, |node| node.pool()),
            models: compile_by_name(tree, Section::Models, |node| node.model()),
            routes,
            callers: compile_by_name(tree, Section::Callers, |node| node.caller()),
            trainers: compile_by_name(tree, Section::Trainers, |node| node.trainer()),
        }
    }

    /// Returns the route with the longest prefix that matches a path.
    pub fn route(&self, path: &str) -> Option<&RoutePolicy> {
        self.routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the caller identified by a bearer token.
    pub fn authenticate(&self, token: &str) -> Option<&CallerPolicy> {
        let digest = token_digest(token);
        self.callers.values().find(|caller| caller.token_sha256.eq_ignore_ascii_case(&digest))
    }
}

/// Returns the SHA-256 digest of a bearer token, in lower-case hexadecimal.
pub fn token_digest(token: &str) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digest = Sha256::digest(token.as_bytes());
    let nibbles = digest.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    nibbles.map(|nibble| char::from(DIGITS[usize::from(nibble)])).collect()
}

fn node_readers(tree: &Tree, section: Section) -> impl Iterator<Item = NodeReader<'_>> {
    tree.entities(section).map(move |path| NodeReader::new(tree, path.clone()))
}

fn compile_by_name<T>(
    tree: &Tree,
    section: Section,
    read: fn(&NodeReader<'_>) -> T,
) -> BTreeMap<String, T> {
    node_readers(tree, section).map(|node| (node.name(), read(&node))).collect()
}

/// Reads the resolved fields of a node of a validated tree.
struct NodeReader<'a> {
    tree: &'a Tree,
    path: NodePath,
}

impl<'a> NodeReader<'a> {
    fn new(tree: &'a Tree, path: NodePath) -> Self {
        Self { tree, path }
    }

    fn name(&self) -> String {
        self.path.name().to_owned()
    }

    fn value(&self, name: &str) -> RawValue {
        let section = self.path.section().expect("validated");
        let matches_name = |spec: &&FieldSpec| spec.name == name && spec.section == section;
        let spec = FIELDS.iter().find(matches_name).expect("field is in the schema");
        self.tree.resolve(&self.path, spec).expect("validated").value
    }

    fn text(&self, name: &str) -> String {
        match self.value(name) {
            RawValue::Text(text) => text,
            other => other.to_string(),
        }
    }

    fn duration(&self, name: &str) -> Duration {
        parse_duration(&self.text(name)).expect("validated")
    }

    fn bytes(&self, name: &str) -> u64 {
        parse_bytes(&self.text(name)).expect("validated")
    }

    fn count(&self, name: &str) -> u64 {
        match self.value(name) {
            RawValue::Integer(count) => count.unsigned_abs(),
            other => unreachable!("validation accepted {other} as a number"),
        }
    }

    fn ratio(&self, name: &str) -> f64 {
        match self.value(name) {
            RawValue::Float(ratio) => ratio,
            RawValue::Integer(ratio) => ratio as f64,
            other => unreachable!("validation accepted {other} as a number"),
        }
    }

    fn flag(&self, name: &str) -> bool {
        self.value(name) == RawValue::Flag(true)
    }

    fn callers(&self) -> CallerSet {
        match self.value("callers") {
            RawValue::List(names) => CallerSet::Named(names),
            _ => CallerSet::All,
        }
    }

    fn pool(&self) -> PoolPolicy {
        let kind = match self.text("kind").as_str() {
            "engine" => PoolKind::Engine,
            _ => PoolKind::Application,
        };
        PoolPolicy {
            name: self.name(),
            kind,
            max_in_flight: self.count("max_in_flight") as usize,
            request_timeout: self.duration("request_timeout"),
            recovery_window: self.duration("recovery_window"),
            max_attempts: self.count("max_attempts") as u32,
            prefix_affinity: self.flag("prefix_affinity"),
            subset: self.count("subset") as usize,
            serving_floor: self.ratio("serving_floor"),
        }
    }

    fn model(&self) -> ModelPolicy {
        ModelPolicy {
            name: self.name(),
            pool: self.text("pool"),
            max_tokens: self.count("max_tokens"),
            callers: self.callers(),
        }
    }

    fn route(&self) -> RoutePolicy {
        RoutePolicy {
            name: self.name(),
            prefix: self.text("prefix"),
            pool: self.text("pool"),
            repeatable: self.flag("repeatable"),
            callers: self.callers(),
        }
    }

    fn caller(&self) -> CallerPolicy {
        CallerPolicy {
            name: self.name(),
            token_sha256: self.text("token_sha256"),
            max_concurrent: self.count("max_concurrent") as usize,
        }
    }

    fn trainer(&self) -> TrainerPolicy {
        TrainerPolicy {
            name: self.name(),
            model: self.text("model"),
            caller: self.text("caller"),
            staleness_bound: self.count("staleness_bound"),
            idle_weight: self.ratio("idle_weight"),
            batch_size: self.count("batch_size") as usize,
            scorer: self.text("scorer"),
        }
    }
}
