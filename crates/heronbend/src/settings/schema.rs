//! Schema of the settings: the fields of each section and their value types.

use super::tree::RawValue;
use super::units::{parse_bytes, parse_duration};

/// The kind of a node, given by the first segment of its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Section {
    /// The root node `/`, from which all others inherit.
    Root,
    /// Groups of interchangeable backends.
    Pools,
    /// Models, each served by a pool.
    Models,
    /// Routes of application requests to pools.
    Routes,
    /// Authenticated clients.
    Callers,
    /// Trainers that request rollout samples.
    Trainers,
}

impl Section {
    /// All sections except the root.
    pub const BELOW_ROOT: [Self; 5] =
        [Self::Pools, Self::Models, Self::Routes, Self::Callers, Self::Trainers];

    /// Returns the path segment of this section.
    pub fn name(self) -> &'static str {
        match self {
            Self::Root => "",
            Self::Pools => "pools",
            Self::Models => "models",
            Self::Routes => "routes",
            Self::Callers => "callers",
            Self::Trainers => "trainers",
        }
    }
}

/// Type of the value of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A duration with a unit.
    Duration,
    /// A size in bytes with a unit.
    Bytes,
    /// An integer from `min` to `max`, inclusive.
    Count { min: i64, max: i64 },
    /// A number from 0 to 1.
    Ratio,
    /// `true` or `false`.
    Flag,
    /// A non-empty string.
    Text,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// The name of an entity of a section.
    Reference(Section),
    /// A list of names of entities of a section, or `*` for all.
    References(Section),
    /// A SHA-256 digest in hexadecimal.
    Digest,
    /// The path of a node to inherit from instead of the parent by path.
    Node,
}

/// A field of the schema.
#[derive(Debug, Clone, Copy)]
pub struct FieldSpec {
    /// Name of the field.
    pub name: &'static str,
    /// Section whose entities use the field. Any ancestor may set it.
    pub section: Section,
    /// Type of the value.
    pub kind: FieldKind,
    /// Default value in text form; `None` if the field is required.
    pub default: Option<&'static str>,
}

const SHA256_HEX_DIGITS: usize = 64;
const MAX_COUNT: i64 = 1_000_000_000;

const fn field(
    name: &'static str,
    section: Section,
    kind: FieldKind,
    default: Option<&'static str>,
) -> FieldSpec {
    FieldSpec { name, section, kind, default }
}

const POSITIVE: FieldKind = FieldKind::Count { min: 1, max: MAX_COUNT };
const COUNT: FieldKind = FieldKind::Count { min: 0, max: MAX_COUNT };

/// Name of the field that overrides the node to inherit from.
pub const INHERITS_FIELD: &str = "inherits";

/// Fields of all sections.
pub const FIELDS: &[FieldSpec] = &[
    field(INHERITS_FIELD, Section::Root, FieldKind::Node, Some("")),
    field("max_body", Section::Root, FieldKind::Bytes, Some("4MiB")),
    field("body_timeout", Section::Root, FieldKind::Duration, Some("10s")),
    field("log_interval", Section::Root, FieldKind::Duration, Some("10s")),
    field("retry_budget", Section::Root, FieldKind::Ratio, Some("0.1")),
    field("claim_retention", Section::Root, FieldKind::Duration, Some("24h")),
    field("kind", Section::Pools, FieldKind::Choice(&["engine", "application"]), None),
    field("max_in_flight", Section::Pools, POSITIVE, Some("64")),
    field("request_timeout", Section::Pools, FieldKind::Duration, Some("30s")),
    field("recovery_window", Section::Pools, FieldKind::Duration, Some("50ms")),
    field("max_attempts", Section::Pools, FieldKind::Count { min: 1, max: 10 }, Some("3")),
    field("prefix_affinity", Section::Pools, FieldKind::Flag, Some("true")),
    field("subset", Section::Pools, POSITIVE, Some("40")),
    field("serving_floor", Section::Pools, FieldKind::Ratio, Some("0.5")),
    field("pool", Section::Models, FieldKind::Reference(Section::Pools), None),
    field("max_tokens", Section::Models, POSITIVE, Some("4096")),
    field("prefix", Section::Routes, FieldKind::Text, None),
    field("pool", Section::Routes, FieldKind::Reference(Section::Pools), None),
    field("repeatable", Section::Routes, FieldKind::Flag, Some("true")),
    field("callers", Section::Routes, FieldKind::References(Section::Callers), Some("*")),
    field("callers", Section::Models, FieldKind::References(Section::Callers), Some("*")),
    field("token_sha256", Section::Callers, FieldKind::Digest, None),
    field("max_concurrent", Section::Callers, POSITIVE, Some("256")),
    field("model", Section::Trainers, FieldKind::Reference(Section::Models), None),
    field("caller", Section::Trainers, FieldKind::Reference(Section::Callers), None),
    field("staleness_bound", Section::Trainers, COUNT, Some("1")),
    field("idle_weight", Section::Trainers, FieldKind::Ratio, Some("0.5")),
    field("batch_size", Section::Trainers, FieldKind::Count { min: 1, max: 8192 }, Some("32")),
    field("scorer", Section::Trainers, FieldKind::Reference(Section::Pools), None),
];

/// Returns the field `name` that a node of `section` may set. The root may set the fields of all
/// sections.
pub fn find_field(section: Section, name: &str) -> Option<&'static FieldSpec> {
    FIELDS.iter().find(|spec| {
        spec.name == name
            && (section == Section::Root
                || spec.section == section
                || spec.section == Section::Root)
    })
}

/// Checks the type and range of a value. References are checked separately, against the whole tree.
pub fn check_value(kind: FieldKind, value: &RawValue) -> Result<(), String> {
    match (kind, value) {
        (FieldKind::Duration, RawValue::Text(text)) => parse_duration(text).map(drop),
        (FieldKind::Duration, _) => Err("must be a duration with a unit, such as \"250ms\"".into()),
        (FieldKind::Bytes, RawValue::Text(text)) => parse_bytes(text).map(drop),
        (FieldKind::Bytes, _) => Err("must be a size with a unit, such as \"13KB\"".into()),
        (FieldKind::Count { min, max }, RawValue::Integer(count))
            if (min..=max).contains(count) =>
        {
            Ok(())
        }
        (FieldKind::Count { min, max }, _) => {
            Err(format!("must be an integer from {min} to {max}"))
        }
        (FieldKind::Ratio, RawValue::Float(ratio)) if (0.0..=1.0).contains(ratio) => Ok(()),
        (FieldKind::Ratio, RawValue::Integer(0 | 1)) => Ok(()),
        (FieldKind::Ratio, _) => Err("must be a number from 0 to 1".into()),
        (FieldKind::Flag, RawValue::Flag(_)) => Ok(()),
        (FieldKind::Flag, _) => Err("must be true or false".into()),
        (FieldKind::Choice(words), RawValue::Text(text)) if words.contains(&text.as_str()) => {
            Ok(())
        }
        (FieldKind::Choice(words), _) => Err(format!("must be one of {}", words.join(", "))),
        (FieldKind::Text | FieldKind::Reference(_) | FieldKind::Node, RawValue::Text(text))
            if !text.is_empty() =>
        {
            Ok(())
        }
        (FieldKind::Text, _) => Err("must be a non-empty string".into()),
        (FieldKind::Reference(section), _) => {
            Err(format!("must be the name of an entity in section {}", section.name()))
        }
        (FieldKind::Node, _) => Err("must be the path of a node".into()),
        (FieldKind::References(_), RawValue::List(_)) => Ok(()),
        (FieldKind::References(_), RawValue::Text(text)) if text == "*" => Ok(()),
        (FieldKind::References(section), _) => {
            Err(format!("must be a list of names of {}, or \"*\" for all", section.name()))
        }
        (FieldKind::Digest, RawValue::Text(text)) if is_sha256(text) => Ok(()),
        (FieldKind::Digest, _) => Err("must be a SHA-256 digest of 64 hexadecimal digits".into()),
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
