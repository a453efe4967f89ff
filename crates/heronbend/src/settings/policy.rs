//! The tree compiled into what the daemon's duties read.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use sha2::{Digest, Sha256};

use super::schema::{FieldSpec, Section, FIELDS};
use super::tree::{NodePath, RawValue, Tree};
use super::units::{parse_bytes, parse_duration};

/// What kind of back end a pool holds.
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
    /// Name of the pool, which back ends state when they register.
    pub name: String,
    /// What its back ends are.
    pub kind: PoolKind,
    /// Requests that one daemon may have under way at one back end.
    pub max_in_flight: usize,
    /// Longest time for one request, all attempts together.
    pub request_timeout: Duration,
    /// How long a request may wait for a place before it is refused.
    pub recovery_window: Duration,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether prompts with a common prefix go to the same engine.
    pub prefix_affinity: bool,
    /// Back ends of the pool that one daemon sends to and asks for reports.
    pub subset: usize,
    /// Share of engines that keeps serving during a weight rollout.
    pub serving_floor: f64,
}

/// Settings of a model.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ModelPolicy {
    /// Name of the model.
    pub name: String,
    /// Pool that serves it.
    pub pool: String,
    /// Most tokens of one answer.
    pub max_tokens: u64,
    /// Who may call it.
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
    /// Whether a request may be run more than once.
    pub repeatable: bool,
    /// Who may call it.
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
    /// Requests that the caller may have under way at one daemon.
    pub max_concurrent: usize,
}

/// Settings of a trainer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrainerPolicy {
    /// Name of the trainer.
    pub name: String,
    /// Model it trains.
    pub model: String,
    /// Caller that may act for it.
    pub caller: String,
    /// How many versions a sample may be behind the trainer's own.
    pub staleness_bound: u64,
    /// Weight of idle time against staleness, 1 for idle time alone.
    pub idle_weight: f64,
    /// Samples in one batch.
    pub batch_size: usize,
    /// Application pool that scores its samples.
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
    /// Whether the caller belongs to the set.
    pub fn contains(&self, caller: &str) -> bool {
        match self {
            Self::All => true,
            Self::Named(names) => names.iter().any(|name| name == caller),
        }
    }
}

/// Everything that policy reads, of one revision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Policy {
    /// Revision of the tree it was compiled from.
    pub revision: u64,
    /// Largest request body in bytes.
    pub max_body: u64,
    /// Longest wait for a request body.
    pub body_timeout: Duration,
    /// Interval of the counters in the log.
    pub log_interval: Duration,
    /// Retries allowed for each fresh request, as a share.
    pub retry_budget: f64,
    /// How long the outcome of a not-repeatable request is kept.
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
    /// Compiles a tree. The tree must have passed [`Tree::validate`].
    pub fn compile(tree: &Tree, revision: u64) -> Self {
        let root = Reader::new(tree, NodePath::root());
        let mut routes: Vec<_> = readers(tree, Section::Routes).map(|node| node.route()).collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            revision,
            max_body: root.bytes("max_body"),
            body_timeout: root.duration("body_timeout"),
            log_interval: root.duration("log_interval"),
            retry_budget: root.ratio("retry_budget"),
            claim_retention: root.duration("claim_retention"),
            pools: named(tree, Section::Pools, |node| node.pool()),
            models: named(tree, Section::Models, |node| node.model()),
            routes,
            callers: named(tree, Section::Callers, |node| node.caller()),
            trainers: named(tree, Section::Trainers, |node| node.trainer()),
        }
    }

    /// The route of a path, by longest prefix.
    pub fn route(&self, path: &str) -> Option<&RoutePolicy> {
        self.routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The caller whose token this is.
    pub fn authenticate(&self, token: &str) -> Option<&CallerPolicy> {
        let digest = token_digest(token);
        self.callers.values().find(|caller| caller.token_sha256.eq_ignore_ascii_case(&digest))
    }
}

/// The digest under which settings keep a bearer token.
pub fn token_digest(token: &str) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digest = Sha256::digest(token.as_bytes());
    let nibbles = digest.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    nibbles.map(|nibble| char::from(DIGITS[usize::from(nibble)])).collect()
}

fn readers(tree: &Tree, section: Section) -> impl Iterator<Item = Reader<'_>> {
    tree.entities(section).map(move |path| Reader::new(tree, path.clone()))
}

fn named<T>(tree: &Tree, section: Section, read: fn(&Reader<'_>) -> T) -> BTreeMap<String, T> {
    readers(tree, section).map(|node| (node.name(), read(&node))).collect()
}

/// Reads the resolved fields of one node of a validated tree.
struct Reader<'a> {
    tree: &'a Tree,
    path: NodePath,
}

impl<'a> Reader<'a> {
    fn new(tree: &'a Tree, path: NodePath) -> Self {
        Self { tree, path }
    }

    fn name(&self) -> String {
        self.path.name().to_owned()
    }

    fn value(&self, name: &str) -> RawValue {
        let section = self.path.section().expect("validated");
        let in_section = |spec: &&FieldSpec| spec.name == name && spec.section == section;
        let spec = FIELDS.iter().find(in_section).expect("a field of the schema");
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
            other => unreachable!("validated, yet {other}"),
        }
    }

    fn ratio(&self, name: &str) -> f64 {
        match self.value(name) {
            RawValue::Float(ratio) => ratio,
            RawValue::Integer(ratio) => ratio as f64,
            other => unreachable!("validated, yet {other}"),
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
