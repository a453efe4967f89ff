//! Which fields a node may state, and what their values must be.

use super::tree::RawValue;
use super::units::{parse_bytes, parse_duration};

/// The first segment of a node's path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Section {
    /// The root node `/`, whose values all others inherit.
    Root,
    /// Groups of interchangeable back ends.
    Pools,
    /// Models, each served by a pool.
    Models,
    /// Paths of application requests.
    Routes,
    /// Who may call.
    Callers,
    /// Trainers that draw samples.
    Trainers,
}

impl Section {
    /// Every section below the root.
    pub const BELOW_ROOT: [Self; 5] =
        [Self::Pools, Self::Models, Self::Routes, Self::Callers, Self::Trainers];

    /// The path segment of this section.
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

/// What a field's value must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A duration with its unit.
    Duration,
    /// A size with its unit.
    Bytes,
    /// A whole number within bounds, both included.
    Count { min: i64, max: i64 },
    /// A number from 0 to 1.
    Ratio,
    /// `true` or `false`.
    Flag,
    /// Any text that is not empty.
    Text,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// The name of an entity of a section.
    Reference(Section),
    /// Names of entities of a section; `*` stands for all.
    References(Section),
    /// A SHA-256 digest in hexadecimal.
    Digest,
    /// The path of a node to inherit from in place of the parent by path.
    Node,
}

/// A field of the schema.
#[derive(Debug, Clone, Copy)]
pub struct FieldSpec {
    /// Its name.
    pub name: &'static str,
    /// The section that reads it; any ancestor may state it.
    pub section: Section,
    /// What its value must be.
    pub kind: FieldKind,
    /// Its value when no node states it, as it would be written; `None` when it must be stated.
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

/// Name of the field that redirects inheritance.
pub const INHERITS: &str = "inherits";

/// All fields.
pub const FIELDS: &[FieldSpec] = &[
    field(INHERITS, Section::Root, FieldKind::Node, Some("")),
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

/// The field of this name that a node of `section` may state, `Root` standing for all sections.
pub fn find_field(section: Section, name: &str) -> Option<&'static FieldSpec> {
    FIELDS.iter().find(|spec| {
        spec.name == name
            && (section == Section::Root
                || spec.section == section
                || spec.section == Section::Root)
    })
}

/// Checks a value's form; references are checked with the whole tree at hand.
pub fn check_value(kind: FieldKind, value: &RawValue) -> Result<(), String> {
    match (kind, value) {
        (FieldKind::Duration, RawValue::Text(text)) => parse_duration(text).map(drop),
        (FieldKind::Duration, _) => {
            Err("must be a duration with its unit, such as \"250ms\"".into())
        }
        (FieldKind::Bytes, RawValue::Text(text)) => parse_bytes(text).map(drop),
        (FieldKind::Bytes, _) => Err("must be a size with its unit, such as \"13KB\"".into()),
        (FieldKind::Count { min, max }, RawValue::Integer(count))
            if (min..=max).contains(count) =>
        {
            Ok(())
        }
        (FieldKind::Count { min, max }, _) => {
            Err(format!("must be a whole number from {min} to {max}"))
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
        (FieldKind::Text, _) => Err("must be a text that is not empty".into()),
        (FieldKind::Reference(section), _) => {
            Err(format!("must be the name of one of the {}", section.name()))
        }
        (FieldKind::Node, _) => Err("must be the path of a node".into()),
        (FieldKind::References(_), RawValue::List(_)) => Ok(()),
        (FieldKind::References(_), RawValue::Text(text)) if text == "*" => Ok(()),
        (FieldKind::References(section), _) => {
            Err(format!("must be a list of {}, or \"*\" for all", section.name()))
        }
        (FieldKind::Digest, RawValue::Text(text)) if is_sha256(text) => Ok(()),
        (FieldKind::Digest, _) => Err("must be a SHA-256 digest of 64 hexadecimal digits".into()),
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
