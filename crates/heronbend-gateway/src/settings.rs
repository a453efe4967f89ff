//! A daemon's settings file, in TOML. All findings are told at once, each with its place.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use heronbend::identity::{Incarnation, NodeId, NodeName};
use heronbend::quarantine::Limits;
use thiserror::Error;
use toml::{Table, Value};

use crate::duties::book::Terms;
use crate::gateway::{Identity, Tuning};
use crate::permits::ColdMargin;
use crate::service::Addresses;

/// Memory of a process where the file does not say.
const DEFAULT_MEMORY_MB: f64 = 256.0;
const BYTES_A_MEGABYTE: usize = 1_000_000;
/// Servers that may end by chance while they run a request: a single one always may.
const FEWEST_ENDINGS: usize = 2;
/// One part in so many of the memory is for clients' bodies: a job takes several times its body's
/// size while it is taken in.
const HELD_SHARE: usize = 4;

/// One thing that is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The field, with the names of its tables.
    pub field: String,
    /// What is wrong.
    pub problem: String,
}

/// All that is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}", self.lines())]
pub struct Findings {
    /// The file.
    pub file: String,
    /// The node that the file is for, where it says so.
    pub node: Option<String>,
    /// What is wrong, in the order of the fields.
    pub findings: Vec<Finding>,
}

impl Findings {
    fn lines(&self) -> String {
        let node = self.node.as_deref().unwrap_or("unnamed node");
        let lines = self.findings.iter().map(|finding| {
            format!("{}: {node}: {}: {}", self.file, finding.field, finding.problem)
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Valid settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the daemon, kept across restarts.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where callers connect; not set on machines that nobody calls.
    pub callers: Option<SocketAddr>,
    /// Where the entry asks whether the daemon is ready.
    pub ready: Option<SocketAddr>,
    /// Where peers connect, by TCP and UDP.
    pub peers: SocketAddr,
    /// Addresses of some other daemons; only their hosts matter.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: nothing is kept from before, and nobody
    /// waits for it yet.
    pub first_start: bool,
    /// Where the counters are served.
    pub metrics: Option<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// Share of a core that the process may use; 0 where that is not stated.
    pub processor_share: f64,
    /// Memory that the process may use, in megabytes.
    pub memory_limit_mb: usize,
    /// Largest object that the store takes, in bytes.
    pub max_object_bytes: usize,
    /// Pause between the last order of one holder and the first of another.
    pub lease_pause: Duration,
    /// How long results stay readable.
    pub result_retention: Duration,
    /// Longest time from the signal to stop until the process is gone.
    pub stop_limit: Duration,
    /// Time within which a server that leaves has to be known everywhere.
    pub drain_notice: Duration,
    /// Time within which a configuration has to be in force everywhere.
    pub configuration_notice: Duration,
    /// Who provides the machines, where this daemon has duties towards them.
    pub provider: Option<SocketAddr>,
    /// Those duties.
    pub duties: Vec<Duty>,
    /// How usage is to be reported, if it is.
    pub usage: Option<Terms>,
    /// Whether callers with keys are refused while nobody can tell whether keys were taken away.
    pub fail_closed: bool,
    /// Time within which a key that is taken away has to be refused everywhere.
    pub revocation_notice: Option<Duration>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Time within which nothing goes to an evacuated zone any more; nothing where zones are never
    /// evacuated.
    pub evacuation_notice: Option<Duration>,
    /// How much more than it bears a cold server may get.
    pub cold_margin: ColdMargin,
    /// When requests that end their servers are refused, and tried again.
    pub quarantine: Limits,
}

/// A duty towards the provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// To report what tenants use.
    Usage,
    /// To order servers.
    Scale,
}

struct Reader<'a> {
    table: &'a Table,
    findings: Vec<Finding>,
    known: BTreeSet<String>,
}

impl Reader<'_> {
    fn report(&mut self, field: &str, problem: impl Into<String>) {
        self.findings.push(Finding { field: field.to_owned(), problem: problem.into() });
    }

    /// A field that is true or false; false where it is not set.
    fn flag(&mut self, field: &str) -> bool {
        match self.optional(field) {
            None => false,
            Some(Value::Boolean(flag)) => flag,
            Some(_) => {
                self.report(field, "is neither true nor false");
                false
            }
        }
    }

    /// A field's value; an empty text counts as none.
    fn optional(&mut self, field: &str) -> Option<Value> {
        self.known.insert(field.to_owned());
        let mut value = None;
        let mut table = Some(self.table);
        for part in field.split('.') {
            value = table.and_then(|table| table.get(part));
            table = value.and_then(Value::as_table);
        }
        value.filter(|value| value.as_str() != Some("")).cloned()
    }

    fn required(&mut self, field: &str) -> Option<Value> {
        let value = self.optional(field);
        if value.is_none() {
            self.report(field, "is missing");
        }
        value
    }

    fn text(&mut self, field: &str) -> String {
        match self.required(field) {
            Some(Value::String(text)) => text,
            Some(_) => {
                self.report(field, "is not a text");
                String::new()
            }
            None => String::new(),
        }
    }

    fn parse_address(&mut self, field: &str, value: &Value) -> Option<SocketAddr> {
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.report(field, format!("{value} is not an IP address with a port"));
        }
        address
    }

    fn address(&mut self, field: &str) -> Option<SocketAddr> {
        let value = self.optional(field)?;
        self.parse_address(field, &value)
    }

    fn required_address(&mut self, field: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        match self.required(field) {
            Some(value) => self.parse_address(field, &value).unwrap_or(unset),
            None => unset,
        }
    }

    fn addresses(&mut self, field: &str) -> Vec<SocketAddr> {
        match self.optional(field) {
            None => Vec::new(),
            Some(Value::Array(values)) => {
                values.iter().filter_map(|value| self.parse_address(field, value)).collect()
            }
            Some(_) => {
                self.report(field, "is not a list");
                Vec::new()
            }
        }
    }

    fn number(&mut self, field: &str) -> f64 {
        let number = match self.required(field) {
            Some(Value::Integer(number)) => number as f64,
            Some(Value::Float(number)) => number,
            Some(_) => {
                self.report(field, "is not a number");
                return 0.0;
            }
            None => return 0.0,
        };
        if number.is_finite() && number >= 0.0 {
            return number;
        }
        self.report(field, format!("{number} is negative or not finite"));
        0.0
    }

    fn number_or(&mut self, field: &str, default: f64) -> f64 {
        if self.optional(field).is_none() {
            return default;
        }
        self.number(field)
    }

    fn millis(&mut self, field: &str) -> Duration {
        Duration::try_from_secs_f64(self.number(field) / 1e3).unwrap_or_default()
    }

    fn optional_millis(&mut self, field: &str) -> Option<Duration> {
        self.optional(field)?;
        Some(self.millis(field))
    }

    fn seconds(&mut self, field: &str) -> Duration {
        Duration::try_from_secs_f64(self.number(field)).unwrap_or_default()
    }

    /// A table of names with the name that each stands for.
    fn names(&mut self, field: &str) -> BTreeMap<String, String> {
        let table = match self.optional(field) {
            None => return BTreeMap::new(),
            Some(Value::Table(table)) => table,
            Some(_) => {
                self.report(field, "is not a table");
                return BTreeMap::new();
            }
        };
        let mut names = BTreeMap::new();
        for (name, value) in table {
            let entry = format!("{field}.{name}");
            self.known.insert(entry.clone());
            match value {
                Value::String(value) if !value.is_empty() => {
                    names.insert(name, value);
                }
                _ => self.report(&entry, "is not a name"),
            }
        }
        names
    }

    /// The region of each zone; this daemon's own must not be another one than it says.
    fn zones(&mut self, field: &str, own: (&str, &str)) -> BTreeMap<String, String> {
        let zones = self.names(field);
        let (zone, region) = own;
        if zones.get(zone).is_some_and(|known| known != region) {
            self.report(
                &format!("{field}.{zone}"),
                format!("is not {region}, the region set above"),
            );
        }
        zones
    }

    /// How much more than it bears a cold server may get.
    fn cold_margin(&mut self) -> ColdMargin {
        let margin = ColdMargin {
            overshoot: self.number_or("cold.overshoot", 1.0),
            slack: self.number_or("cold.slack", 0.0),
        };
        if margin.overshoot < 1.0 {
            self.report("cold.overshoot", "is below 1: less than a cold server bears");
        }
        margin
    }

    /// When requests that end their servers are refused, and tried again.
    fn quarantine(&mut self) -> Limits {
        let default = Limits::default();
        let or = |duration: Duration| duration.as_secs_f64();
        let endings = self.number_or("quarantine.endings", default.crash_threshold as f64);
        let first_probe = self.number_or("quarantine.first_probe_s", or(default.first_probe_delay));
        let retention = self.number_or("quarantine.retention_s", or(default.retention));
        let limits = Limits {
            crash_threshold: endings as usize,
            first_probe_delay: Duration::try_from_secs_f64(first_probe).unwrap_or_default(),
            retention: Duration::try_from_secs_f64(retention).unwrap_or_default(),
        };
        if limits.crash_threshold < FEWEST_ENDINGS || endings.fract() > 0.0 {
            let problem = format!("is not a whole number from {FEWEST_ENDINGS} on");
            self.report("quarantine.endings", problem);
        }
        if limits.retention < limits.total_probe_time() {
            let least = or(limits.total_probe_time());
            let problem = format!("is below {least}, the time that all probes take");
            self.report("quarantine.retention_s", problem);
        }
        limits
    }

    /// The duties towards the provider.
    fn duties(&mut self, field: &str) -> Vec<Duty> {
        let Some(value) = self.optional(field) else {
            return Vec::new();
        };
        let Some(names) = value.as_array() else {
            self.report(field, "is not a list");
            return Vec::new();
        };
        let mut duties = Vec::new();
        for name in names {
            match name.as_str() {
                Some("usage") => duties.push(Duty::Usage),
                Some("scale") => duties.push(Duty::Scale),
                _ => self.report(field, format!("{name} is neither \"usage\" nor \"scale\"")),
            }
        }
        duties
    }

    /// How usage is to be reported, where that is one of the duties.
    fn usage(&mut self, duties: &[Duty]) -> Option<Terms> {
        let (window_field, due_field) = ("provider.usage_window_s", "provider.usage_due_s");
        self.known.extend([window_field.to_owned(), due_field.to_owned()]);
        if !duties.contains(&Duty::Usage) {
            return None;
        }
        let terms = Terms { window: self.seconds(window_field), due: self.seconds(due_field) };
        if terms.window.is_zero() && self.optional(window_field).is_some() {
            self.report(window_field, "is zero");
        }
        Some(terms)
    }

    /// Fields that are not settings are mistakes in this form.
    fn report_unknown(&mut self, table: &Table, prefix: &str) {
        for (name, value) in table {
            let field = format!("{prefix}{name}");
            match value {
                Value::Table(inner) => self.report_unknown(inner, &format!("{field}.")),
                _ if !self.known.contains(&field) => self.report(&field, "is not a setting"),
                _ => {}
            }
        }
    }
}

impl Settings {
    /// Reads a settings file's text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| Findings {
            file: file.to_owned(),
            node: None,
            findings: vec![Finding { field: "file".to_owned(), problem: error.to_string() }],
        })?;
        let mut reader = Reader { table: &table, findings: Vec::new(), known: BTreeSet::new() };
        let duties = reader.duties("provider.duties");
        let (zone, region) = (reader.text("zone"), reader.text("region"));
        let settings = Self {
            zones: reader.zones("zones", (&zone, &region)),
            evacuation_notice: reader.optional_millis("evacuation_notice_ms"),
            cold_margin: reader.cold_margin(),
            quarantine: reader.quarantine(),
            usage: reader.usage(&duties),
            fail_closed: reader.flag("access.fail_closed"),
            revocation_notice: reader.optional_millis("access.revocation_notice_ms"),
            provider: reader.address("provider.address"),
            duties,
            node: reader.text("node"),
            zone,
            region,
            callers: reader.address("listen.callers"),
            ready: reader.address("listen.ready"),
            peers: reader.required_address("listen.peers"),
            metrics: reader.address("listen.metrics"),
            seeds: reader.addresses("seeds"),
            first_start: reader.flag("first_start"),
            store: reader.required_address("store.address"),
            processor_share: reader.number_or("processor_share", 0.0),
            memory_limit_mb: reader.number_or("memory_limit_mb", DEFAULT_MEMORY_MB) as usize,
            max_object_bytes: reader.number("store.max_object_bytes") as usize,
            lease_pause: reader.millis("lease_pause_ms"),
            result_retention: reader.seconds("result_retention_s"),
            stop_limit: reader.seconds("stop_limit_s"),
            drain_notice: reader.millis("drain_notice_ms"),
            configuration_notice: reader.millis("configuration_notice_ms"),
        };
        if !settings.duties.is_empty() && settings.provider.is_none() {
            reader.report("provider.address", "is missing: there are duties");
        }
        if settings.fail_closed && settings.revocation_notice.is_none() {
            reader.report("access.revocation_notice_ms", "is missing: access fails closed");
        }
        reader.report_unknown(&table, "");
        if reader.findings.is_empty() {
            return Ok(settings);
        }
        let node = (!settings.node.is_empty()).then_some(settings.node);
        Err(Findings { file: file.to_owned(), node, findings: reader.findings })
    }

    /// Who the daemon is, from now on.
    pub fn identity(&self) -> Identity {
        Identity {
            node: NodeId {
                name: NodeName(self.node.clone()),
                incarnation: Incarnation::starting_now(),
            },
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }

    /// Where the daemon serves.
    pub fn addresses(&self) -> Addresses {
        let callers = self.callers.unwrap_or(self.peers);
        let port = self.peers.port();
        Addresses {
            callers,
            ready: self.ready.unwrap_or(callers),
            peers: self.peers,
            metrics: self.metrics,
            seeds: self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect(),
        }
    }

    /// Time constants.
    pub fn tuning(&self) -> Tuning {
        Tuning {
            max_held_bytes: self.memory_limit_mb * BYTES_A_MEGABYTE / HELD_SHARE,
            lease_pause: self.lease_pause,
            result_retention: self.result_retention,
            max_object_bytes: self.max_object_bytes,
            stop_limit: self.stop_limit,
            drain_notice: self.drain_notice,
            configuration_notice: self.configuration_notice,
            usage: self.usage,
            processor_millis: (self.processor_share * 1e3).round() as u32,
            scales: self.duties.contains(&Duty::Scale),
            closes_after: self.revocation_notice.filter(|_| self.fail_closed),
            evacuation_notice: self.evacuation_notice,
            cold_margin: self.cold_margin,
            quarantine: self.quarantine,
        }
    }
}
