//! Nodes, inheritance and validation.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::finding::{Collector, Findings};
use super::schema::{check_value, find_field, FieldKind, FieldSpec, Section, FIELDS, INHERITS};

/// Longest accepted path, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// The path of a node, such as `/pools/bulletin`; the root is `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodePath(String);

impl NodePath {
    /// The root node.
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// Reads a path; the error says what is wrong with it.
    pub fn parse(text: &str) -> Result<Self, String> {
        if text == "/" {
            return Ok(Self::root());
        }
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let segments = text.strip_prefix('/').map(|rest| rest.split('/'));
        let well_formed = segments.is_some_and(|mut segments| {
            segments.all(|segment| !segment.is_empty() && segment.bytes().all(allowed))
        });
        if well_formed && text.len() <= MAX_PATH_BYTES {
            Ok(Self(text.to_owned()))
        } else {
            Err("a path is /segment/segment of letters, digits, '-', '_' and '.'".to_owned())
        }
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The parent by path; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let cut = self.0.rfind('/')?;
        match (cut, self.0.len()) {
            (0, 1) => None,
            (0, _) => Some(Self::root()),
            _ => Some(Self(self.0[..cut].to_owned())),
        }
    }

    /// The last segment, which names the entity.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }

    /// The section, unless the first segment is no section's name.
    pub fn section(&self) -> Option<Section> {
        let first = self.0.split('/').nth(1)?;
        if first.is_empty() {
            return Some(Section::Root);
        }
        Section::BELOW_ROOT.into_iter().find(|section| section.name() == first)
    }
}

impl fmt::Display for NodePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A value as written, before its meaning is known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum RawValue {
    /// `true` or `false`.
    Flag(bool),
    /// A whole number.
    Integer(i64),
    /// Any other number.
    Float(f64),
    /// A text.
    Text(String),
    /// A list of texts.
    List(Vec<String>),
}

impl fmt::Display for RawValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(flag) => write!(formatter, "{flag}"),
            Self::Integer(number) => write!(formatter, "{number}"),
            Self::Float(number) => write!(formatter, "{number}"),
            Self::Text(text) => write!(formatter, "{text:?}"),
            Self::List(items) => write!(formatter, "{items:?}"),
        }
    }
}

/// The fields that one node states.
pub type Fields = BTreeMap<String, RawValue>;

/// A value together with the node that stated it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResolvedValue {
    /// The value.
    pub value: RawValue,
    /// The node that stated it; `None` for the schema's default.
    pub from: Option<NodePath>,
}

/// A settings tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tree {
    /// Every node that states something.
    pub nodes: BTreeMap<NodePath, Fields>,
}

impl Tree {
    /// Reads a TOML file of one table a node and validates the whole.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, Findings> {
        let mut collector = Collector::new(file);
        let table: toml::Table = match text.parse() {
            Ok(table) => table,
            Err(error) => {
                collector.add("", "", error.to_string().trim_end());
                return collector.finish(Self::default());
            }
        };
        let mut tree = Self::default();
        for (key, value) in table {
            match (NodePath::parse(&key), value) {
                (Ok(path), toml::Value::Table(fields)) => {
                    let fields = read_fields(&mut collector, &path, fields);
                    tree.nodes.insert(path, fields);
                }
                (Ok(_), _) => collector.add(&key, "", "a node is a table: write [\"/path\"]"),
                (Err(message), _) => collector.add(&key, "", message),
            }
        }
        tree.validate_into(&mut collector);
        collector.finish(tree)
    }

    /// Validates a tree that was read from `origin`.
    pub fn validate(&self, origin: &str) -> Result<(), Findings> {
        let mut collector = Collector::new(origin);
        self.validate_into(&mut collector);
        collector.finish(())
    }

    /// Entities of a section: its nodes below the section's own that no other node extends.
    pub fn entities(&self, section: Section) -> impl Iterator<Item = &NodePath> {
        self.nodes.keys().filter(move |path| {
            path.section() == Some(section)
                && path.parent() != Some(NodePath::root())
                && !self.has_children(path)
        })
    }

    /// The value in force at a node: its own, else its nearest ancestor's, else the default.
    pub fn resolve(&self, path: &NodePath, spec: &FieldSpec) -> Option<ResolvedValue> {
        let stated = self.ancestry(path).into_iter().find_map(|node| {
            let value = self.nodes.get(&node)?.get(spec.name)?.clone();
            Some(ResolvedValue { value, from: Some(node) })
        });
        stated.or_else(|| default_value(spec))
    }

    /// All values in force at a node, by field.
    pub fn resolve_all(&self, path: &NodePath) -> BTreeMap<&'static str, ResolvedValue> {
        let section = path.section().unwrap_or(Section::Root);
        FIELDS
            .iter()
            .filter(|spec| spec.section == section && spec.name != INHERITS)
            .filter_map(|spec| Some((spec.name, self.resolve(path, spec)?)))
            .collect()
    }

    /// The node and those it inherits from, nearest first; ends early on a cycle.
    fn ancestry(&self, path: &NodePath) -> Vec<NodePath> {
        let mut chain = Vec::new();
        let mut next = Some(path.clone());
        while let Some(node) = next {
            if chain.contains(&node) {
                break;
            }
            next = self.redirected_parent(&node).or_else(|| node.parent());
            chain.push(node);
        }
        chain
    }

    fn redirected_parent(&self, path: &NodePath) -> Option<NodePath> {
        match self.nodes.get(path)?.get(INHERITS)? {
            RawValue::Text(text) => NodePath::parse(text).ok(),
            _ => None,
        }
    }

    fn has_children(&self, path: &NodePath) -> bool {
        let prefix = format!("{path}/");
        self.nodes
            .range(NodePath(prefix.clone())..)
            .next()
            .is_some_and(|(next, _)| next.as_str().starts_with(&prefix))
    }

    fn validate_into(&self, collector: &mut Collector) {
        for (path, fields) in &self.nodes {
            match path.section() {
                Some(section) => self.check_fields(collector, path, section, fields),
                None => collector.add(path.as_str(), "", unknown_section()),
            }
            if self.is_on_cycle(path) {
                collector.add(path.as_str(), INHERITS, "the node inherits from itself");
            }
        }
        for section in Section::BELOW_ROOT {
            self.check_entities(collector, section);
        }
    }

    fn check_fields(
        &self,
        collector: &mut Collector,
        path: &NodePath,
        section: Section,
        fields: &Fields,
    ) {
        for (name, value) in fields {
            let Some(spec) = find_field(section, name) else {
                collector.add(path.as_str(), name, unknown_field(section));
                continue;
            };
            if let Err(message) = check_value(spec.kind, value) {
                collector.add(path.as_str(), name, message);
            } else {
                self.check_references(collector, path, spec, value);
            }
        }
    }

    fn check_references(
        &self,
        collector: &mut Collector,
        path: &NodePath,
        spec: &FieldSpec,
        value: &RawValue,
    ) {
        let (section, names) = match (spec.kind, value) {
            (FieldKind::Reference(section), RawValue::Text(name)) => (section, vec![name]),
            (FieldKind::References(section), RawValue::List(names)) => {
                (section, names.iter().collect())
            }
            (FieldKind::Node, RawValue::Text(target)) => {
                let known =
                    NodePath::parse(target).is_ok_and(|node| self.nodes.contains_key(&node));
                if !known {
                    collector.add(path.as_str(), spec.name, format!("there is no node {target:?}"));
                }
                return;
            }
            _ => return,
        };
        for name in names {
            if !self.entities(section).any(|entity| entity.name() == name) {
                let message = format!("there is no {name:?} among the {}", section.name());
                collector.add(path.as_str(), spec.name, message);
            }
        }
    }

    fn check_entities(&self, collector: &mut Collector, section: Section) {
        let mut names = BTreeSet::new();
        for path in self.entities(section) {
            if !names.insert(path.name()) {
                let message = format!("another of the {} has this name", section.name());
                collector.add(path.as_str(), "", message);
            }
            for spec in FIELDS.iter().filter(|spec| spec.section == section) {
                if self.resolve(path, spec).is_none() {
                    collector.add(path.as_str(), spec.name, "must be stated here or above");
                }
            }
        }
    }

    fn is_on_cycle(&self, path: &NodePath) -> bool {
        let chain = self.ancestry(path);
        let last = chain.last().expect("a chain holds at least its start");
        *last != NodePath::root()
    }
}

fn read_fields(collector: &mut Collector, path: &NodePath, table: toml::Table) -> Fields {
    let mut fields = Fields::new();
    for (name, value) in table {
        match raw_value(value) {
            Some(value) => {
                fields.insert(name, value);
            }
            None => collector.add(path.as_str(), &name, "must be a plain value or a list of texts"),
        }
    }
    fields
}

fn raw_value(value: toml::Value) -> Option<RawValue> {
    match value {
        toml::Value::Boolean(flag) => Some(RawValue::Flag(flag)),
        toml::Value::Integer(number) => Some(RawValue::Integer(number)),
        toml::Value::Float(number) => Some(RawValue::Float(number)),
        toml::Value::String(text) => Some(RawValue::Text(text)),
        toml::Value::Array(items) => items
            .into_iter()
            .map(|item| item.as_str().map(str::to_owned))
            .collect::<Option<_>>()
            .map(RawValue::List),
        _ => None,
    }
}

fn default_value(spec: &FieldSpec) -> Option<ResolvedValue> {
    let text = spec.default?;
    let value = match spec.kind {
        FieldKind::Flag => RawValue::Flag(text == "true"),
        FieldKind::Count { .. } => RawValue::Integer(text.parse().ok()?),
        FieldKind::Ratio => RawValue::Float(text.parse().ok()?),
        _ => RawValue::Text(text.to_owned()),
    };
    Some(ResolvedValue { value, from: None })
}

fn unknown_section() -> String {
    let names: Vec<_> = Section::BELOW_ROOT.iter().map(|section| section.name()).collect();
    format!("a path begins with one of {}", names.join(", "))
}

fn unknown_field(section: Section) -> String {
    let names: Vec<_> = FIELDS
        .iter()
        .filter(|spec| spec.section == section || spec.section == Section::Root)
        .map(|spec| spec.name)
        .collect();
    format!("unknown field; known here: {}", names.join(", "))
}
