//! Nodes of the settings tree, their inheritance and validation.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::finding::{Collector, Findings};
use super::schema::{
    check_value, find_field, FieldKind, FieldSpec, Section, FIELDS, INHERITS_FIELD,
};

/// Maximum length of a path in bytes.
const MAX_PATH_BYTES: usize = 256;

/// The path of a node, such as `/pools/bulletin`; the root is `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodePath(String);

impl NodePath {
    /// Returns the path of the root node.
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// Parses a path. The error describes the expected format.
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
            Err("a path must be /segment/... of letters, digits, '-', '_' and '.'".to_owned())
        }
    }

    /// Returns the path as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the parent path; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let last_slash = self.0.rfind('/')?;
        match (last_slash, self.0.len()) {
            (0, 1) => None,
            (0, _) => Some(Self::root()),
            _ => Some(Self(self.0[..last_slash].to_owned())),
        }
    }

    /// Returns the last segment, which is the name of the entity.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }

    /// Returns the section, or `None` if the first segment is not the name of one.
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

/// An untyped value of a field.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum RawValue {
    /// `true` or `false`.
    Flag(bool),
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Float(f64),
    /// A string.
    Text(String),
    /// A list of strings.
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

/// The fields set by a node.
pub type Fields = BTreeMap<String, RawValue>;

/// An effective value and its origin.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResolvedValue {
    /// The effective value.
    pub value: RawValue,
    /// Node that sets the value; `None` for the default in the schema.
    pub from: Option<NodePath>,
}

/// The settings tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tree {
    /// Nodes by path.
    pub nodes: BTreeMap<NodePath, Fields>,
}

impl Tree {
    /// Parses TOML text with one table per node and validates the tree. `file` is used in findings.
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
                (Ok(_), _) => collector.add(&key, "", "a node must be a table: write [\"/path\"]"),
                (Err(message), _) => collector.add(&key, "", message),
            }
        }
        tree.validate_into(&mut collector);
        collector.finish(tree)
    }

    /// Validates the tree. `origin` names its source in findings.
    pub fn validate(&self, origin: &str) -> Result<(), Findings> {
        let mut collector = Collector::new(origin);
        self.validate_into(&mut collector);
        collector.finish(())
    }

    /// Returns the entities of a section: the leaf nodes below the node of the section.
    pub fn entities(&self, section: Section) -> impl Iterator<Item = &NodePath> {
        self.nodes.keys().filter(move |path| {
            path.section() == Some(section)
                && path.parent() != Some(NodePath::root())
                && !self.has_children(path)
        })
    }

    /// Returns the effective value of a field: that of the nearest node in the inheritance chain,
    /// or the default. `None` if a required field is not set.
    pub fn resolve(&self, path: &NodePath, spec: &FieldSpec) -> Option<ResolvedValue> {
        let explicit = self.inheritance_chain(path).into_iter().find_map(|node| {
            let value = self.nodes.get(&node)?.get(spec.name)?.clone();
            Some(ResolvedValue { value, from: Some(node) })
        });
        explicit.or_else(|| default_value(spec))
    }

    /// Returns all effective values at a node by field name.
    pub fn resolve_all(&self, path: &NodePath) -> BTreeMap<&'static str, ResolvedValue> {
        let section = path.section().unwrap_or(Section::Root);
        FIELDS
            .iter()
            .filter(|spec| spec.section == section && spec.name != INHERITS_FIELD)
            .filter_map(|spec| Some((spec.name, self.resolve(path, spec)?)))
            .collect()
    }

    /// Returns the node and those it inherits from, nearest first. Stops at a cycle.
    fn inheritance_chain(&self, path: &NodePath) -> Vec<NodePath> {
        let mut chain = Vec::new();
        let mut next = Some(path.clone());
        while let Some(node) = next {
            if chain.contains(&node) {
                break;
            }
            next = self.parent_override(&node).or_else(|| node.parent());
            chain.push(node);
        }
        chain
    }

    fn parent_override(&self, path: &NodePath) -> Option<NodePath> {
        match self.nodes.get(path)?.get(INHERITS_FIELD)? {
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
            if self.has_inheritance_cycle(path) {
                collector.add(path.as_str(), INHERITS_FIELD, "the node inherits from itself");
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
                let exists =
                    NodePath::parse(target).is_ok_and(|node| self.nodes.contains_key(&node));
                if !exists {
                    collector.add(
                        path.as_str(),
                        spec.name,
                        format!("node {target:?} does not exist"),
                    );
                }
                return;
            }
            _ => return,
        };
        for name in names {
            if !self.entities(section).any(|entity| entity.name() == name) {
                let message = format!("{name:?} is not defined in section {}", section.name());
                collector.add(path.as_str(), spec.name, message);
            }
        }
    }

    fn check_entities(&self, collector: &mut Collector, section: Section) {
        let mut names = BTreeSet::new();
        for path in self.entities(section) {
            if !names.insert(path.name()) {
                let message = format!("duplicate name in section {}", section.name());
                collector.add(path.as_str(), "", message);
            }
            for spec in FIELDS.iter().filter(|spec| spec.section == section) {
                if self.resolve(path, spec).is_none() {
                    collector.add(
                        path.as_str(),
                        spec.name,
                        "required field is not set here or on an ancestor",
                    );
                }
            }
        }
    }

    fn has_inheritance_cycle(&self, path: &NodePath) -> bool {
        let chain = self.inheritance_chain(path);
        let last = chain.last().expect("the chain includes the node itself");
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
            None => collector.add(
                path.as_str(),
                &name,
                "must be a boolean, a number, a string or a list of strings",
            ),
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
    format!("unknown field; expected one of {}", names.join(", "))
}
