//! A daemon's settings file, in TOML. Validation reports all findings at once, each with its field.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use heronbend::identity::{Incarnation, NodeId, NodeName};
use heronbend::quarantine::Limits;
use thiserror::Error;
use toml::{Table, Value};

use crate::admission_settings::AdmissionSettings;
use crate::admission_settings::LimitSource;
use crate::batch::result_log::MAX_PAGE_BYTES;
use crate::duties::usage::ReportingSchedule;
use crate::gateway::response_budget;
use crate::gateway::{Identity, Tuning};
use crate::permits::ColdStartMargin;
use crate::service::Addresses;

/// Default for `memory_limit_mb`.
const DEFAULT_MEMORY_MB: f64 = 256.0;
const BYTES_PER_MEGABYTE: usize = 1_000_000;
/// Smallest valid crash threshold: a single crash can be unrelated to the request.
const MIN_CRASH_THRESHOLD: usize = 2;
/// Fraction of the memory limit, as a divisor, available for buffered request bodies. Parsing a job
/// takes several times the size of its body.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Fraction of the memory limit, as a divisor, available for buffered responses.
const RESPONSE_MEMORY_DIVISOR: usize = 4;

/// Memory that a response needs which the daemon must always be able to hold, in bytes: a page of
/// results, which takes up to twice its size once encoded. Exceeds the largest event of a stream.
const MIN_RESPONSE_BYTES: usize = 2 * MAX_PAGE_BYTES;

/// A problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Dotted path of the field.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

/// All problems in a settings file. Displays one line per finding.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}", self.lines())]
pub struct Findings {
    /// Path of the file.
    pub file: String,
    /// Name of the node, if the file sets it.
    pub node: Option<String>,
    /// The problems, in the order in which fields are read.
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

/// Validated settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the daemon; stable across restarts.
    pub node: String,
    /// Zone of the daemon.
    pub zone: String,
    /// Region of the daemon.
    pub region: String,
    /// Listen address for clients; `None` if the daemon serves no clients.
    pub callers: Option<SocketAddr>,
    /// Listen address for readiness checks.
    pub ready: Option<SocketAddr>,
    /// Listen address for peers (TCP and UDP).
    pub peers: SocketAddr,
    /// Addresses of other daemons to join through; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster is being bootstrapped, without existing state or traffic.
    pub first_start: bool,
    /// Listen address for metrics; `None` disables the endpoint.
    pub metrics: Option<SocketAddr>,
    /// Address of the object store.
    pub store: SocketAddr,
    /// CPU limit of the process, in cores; 0 if unknown.
    pub processor_share: f64,
    /// Memory limit of the process, in megabytes.
    pub memory_limit_mb: usize,
    /// Longest time without progress for which a client may leave a response unread; `None` for
    /// the default.
    pub unread_timeout: Option<Duration>,
    /// Maximum object size of the store, in bytes.
    pub max_object_bytes: usize,
    /// Minimum pause between the last command of one lease holder and the first of the next.
    pub lease_pause: Duration,
    /// How long results of a finished job remain readable.
    pub result_retention: Duration,
    /// Time allowed from the stop signal until the process exits.
    pub stop_limit: Duration,
    /// Time within which the drain of a server must be known to all daemons.
    pub drain_notice: Duration,
    /// Time within which a new configuration must take effect on all daemons.
    pub configuration_notice: Duration,
    /// Address of the machine provider; required if `duties` is not empty.
    pub provider: Option<SocketAddr>,
    /// Duties towards the provider that this daemon may perform.
    pub duties: Vec<Duty>,
    /// Usage reporting schedule; `None` disables reporting.
    pub usage: Option<ReportingSchedule>,
    /// Whether API keys are rejected while revocations cannot be checked.
    pub fail_closed: bool,
    /// Time within which a revoked key must be rejected by all daemons.
    pub revocation_notice: Option<Duration>,
    /// Region of each zone, by zone name.
    pub zones: BTreeMap<String, String>,
    /// Time within which traffic to an evacuated zone must stop; `None` disables evacuation.
    pub evacuation_notice: Option<Duration>,
    /// Tolerance above the rate limit of cold servers.
    pub cold_margin: ColdStartMargin,
    /// Limits for quarantining requests that crash servers.
    pub quarantine: Limits,
    /// Queueing of calls under load; `None` disables it.
    pub admission: Option<AdmissionSettings>,
    /// Whether batch items are placed by the slack of their step.
    pub by_slack: bool,
}

/// A duty of the daemons towards the machine provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Report the tenants' usage.
    Usage,
    /// Order servers for scaling.
    Scale,
}

/// Reads fields of a settings table and collects findings.
struct TableReader<'a> {
    table: &'a Table,
    findings: Vec<Finding>,
    known_fields: BTreeSet<String>,
}

impl TableReader<'_> {
    fn report(&mut self, field: &str, problem: impl Into<String>) {
        self.findings.push(Finding { field: field.to_owned(), problem: problem.into() });
    }

    /// Reads an optional boolean; defaults to `false`.
    fn boolean(&mut self, field: &str) -> bool {
        match self.optional(field) {
            None => false,
            Some(Value::Boolean(flag)) => flag,
            Some(_) => {
                self.report(field, "is neither true nor false");
                false
            }
        }
    }

    /// Reads an optional value by its dotted path; an empty string counts as missing.
    fn optional(&mut self, field: &str) -> Option<Value> {
        self.known_fields.insert(field.to_owned());
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

    fn string(&mut self, field: &str) -> String {
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

    /// Reads the optional limit on unread responses, which must not be zero.
    fn unread_timeout(&mut self) -> Option<Duration> {
        let field = "limits.unread_timeout_ms";
        let findings = self.findings.len();
        let timeout = self.optional_millis(field)?;
        if timeout.is_zero() && self.findings.len() == findings {
            self.report(field, "is zero");
        }
        Some(timeout)
    }

    fn seconds(&mut self, field: &str) -> Duration {
        Duration::try_from_secs_f64(self.number(field)).unwrap_or_default()
    }

    /// Reads an optional table of non-empty strings.
    fn string_table(&mut self, field: &str) -> BTreeMap<String, String> {
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
            self.known_fields.insert(entry.clone());
            match value {
                Value::String(value) if !value.is_empty() => {
                    names.insert(name, value);
                }
                _ => self.report(&entry, "is not a name"),
            }
        }
        names
    }

    /// Reads the region of each zone; the entry of the daemon's own zone must match its region.
    fn zones(&mut self, field: &str, own: (&str, &str)) -> BTreeMap<String, String> {
        let zones = self.string_table(field);
        let (zone, region) = own;
        if zones.get(zone).is_some_and(|known| known != region) {
            self.report(
                &format!("{field}.{zone}"),
                format!("is not {region}, the region set above"),
            );
        }
        zones
    }

    /// Reads the tolerance above the rate limit of cold servers.
    fn cold_margin(&mut self) -> ColdStartMargin {
        let margin = ColdStartMargin {
            overshoot: self.number_or("cold.overshoot", 1.0),
            slack: self.number_or("cold.slack", 0.0),
        };
        if margin.overshoot < 1.0 {
            self.report("cold.overshoot", "is below 1, the rate limit of a cold server");
        }
        margin
    }

    /// Reads the limits for quarantining requests that crash servers.
    fn quarantine(&mut self) -> Limits {
        let default = Limits::default();
        let seconds = |duration: Duration| duration.as_secs_f64();
        let crash_threshold = self.number_or("quarantine.endings", default.crash_threshold as f64);
        let first_probe_delay =
            self.number_or("quarantine.first_probe_s", seconds(default.first_probe_delay));
        let retention = self.number_or("quarantine.retention_s", seconds(default.retention));
        let limits = Limits {
            crash_threshold: crash_threshold as usize,
            first_probe_delay: Duration::try_from_secs_f64(first_probe_delay).unwrap_or_default(),
            retention: Duration::try_from_secs_f64(retention).unwrap_or_default(),
        };
        if limits.crash_threshold < MIN_CRASH_THRESHOLD || crash_threshold.fract() > 0.0 {
            let problem = format!("is not a whole number from {MIN_CRASH_THRESHOLD} on");
            self.report("quarantine.endings", problem);
        }
        if limits.retention < limits.total_probe_time() {
            let minimum = seconds(limits.total_probe_time());
            let problem = format!("is below {minimum}, the time that all probes take");
            self.report("quarantine.retention_s", problem);
        }
        limits
    }

    /// Reads the admission settings; they are in force only if `admission.limit` is set.
    fn admission(&mut self) -> Option<AdmissionSettings> {
        let limit = self.limit_source("admission.limit");
        let tenant_weights = self.weights("admission.tenant_weights");
        let route_weights = self.weights("admission.route_weights");
        let has_weights = !tenant_weights.is_empty() || !route_weights.is_empty();
        if has_weights && self.optional("admission.limit").is_none() {
            self.report("admission.limit", "is missing: weights are set");
        }
        limit.map(|limit| AdmissionSettings { limit, tenant_weights, route_weights })
    }

    fn limit_source(&mut self, field: &str) -> Option<LimitSource> {
        let value = self.optional(field)?;
        match value.as_str() {
            Some("learned") => Some(LimitSource::Learned),
            Some("shared") => Some(LimitSource::Shared),
            _ => {
                self.report(field, format!("{value} is neither \"learned\" nor \"shared\""));
                None
            }
        }
    }

    /// Reads an optional table of positive weights by name.
    fn weights(&mut self, field: &str) -> BTreeMap<String, f64> {
        let table = match self.optional(field) {
            None => return BTreeMap::new(),
            Some(Value::Table(table)) => table,
            Some(_) => {
                self.report(field, "is not a table");
                return BTreeMap::new();
            }
        };
        let mut weights = BTreeMap::new();
        for (name, value) in table {
            let entry = format!("{field}.{name}");
            self.known_fields.insert(entry.clone());
            let weight = match value {
                Value::Integer(weight) => weight as f64,
                Value::Float(weight) => weight,
                _ => {
                    self.report(&entry, "is not a number");
                    continue;
                }
            };
            if weight.is_finite() && weight > 0.0 {
                weights.insert(name, weight);
            } else {
                self.report(&entry, format!("{weight} is not positive and finite"));
            }
        }
        weights
    }

    /// Reads the duties towards the provider.
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

    /// Reads the usage reporting schedule, if usage reporting is one of the duties.
    fn usage(&mut self, duties: &[Duty]) -> Option<ReportingSchedule> {
        let (window_field, due_field) = ("provider.usage_window_s", "provider.usage_due_s");
        self.known_fields.extend([window_field.to_owned(), due_field.to_owned()]);
        if !duties.contains(&Duty::Usage) {
            return None;
        }
        let schedule = ReportingSchedule {
            window: self.seconds(window_field),
            deadline: self.seconds(due_field),
        };
        if schedule.window.is_zero() && self.optional(window_field).is_some() {
            self.report(window_field, "is zero");
        }
        Some(schedule)
    }

    /// Reports fields that are not settings.
    fn report_unknown(&mut self, table: &Table, prefix: &str) {
        for (name, value) in table {
            let field = format!("{prefix}{name}");
            match value {
                Value::Table(inner) => self.report_unknown(inner, &format!("{field}.")),
                _ if !self.known_fields.contains(&field) => self.report(&field, "is not a setting"),
                _ => {}
            }
        }
    }
}

impl Settings {
    /// Parses and validates the contents of the settings file `file`.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is not TOML or any field is missing, invalid or unknown.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| Findings {
            file: file.to_owned(),
            node: None,
            findings: vec![Finding { field: "file".to_owned(), problem: error.to_string() }],
        })?;
        let mut reader =
            TableReader { table: &table, findings: Vec::new(), known_fields: BTreeSet::new() };
        let duties = reader.duties("provider.duties");
        let (zone, region) = (reader.string("zone"), reader.string("region"));
        let settings = Self {
            zones: reader.zones("zones", (&zone, &region)),
            evacuation_notice: reader.optional_millis("evacuation_notice_ms"),
            cold_margin: reader.cold_margin(),
            quarantine: reader.quarantine(),
            admission: reader.admission(),
            by_slack: reader.boolean("scheduling.by_slack"),
            usage: reader.usage(&duties),
            fail_closed: reader.boolean("access.fail_closed"),
            revocation_notice: reader.optional_millis("access.revocation_notice_ms"),
            provider: reader.address("provider.address"),
            duties,
            node: reader.string("node"),
            zone,
            region,
            callers: reader.address("listen.callers"),
            ready: reader.address("listen.ready"),
            peers: reader.required_address("listen.peers"),
            metrics: reader.address("listen.metrics"),
            seeds: reader.addresses("seeds"),
            first_start: reader.boolean("first_start"),
            store: reader.required_address("store.address"),
            processor_share: reader.number_or("processor_share", 0.0),
            memory_limit_mb: reader.number_or("memory_limit_mb", DEFAULT_MEMORY_MB) as usize,
            unread_timeout: reader.unread_timeout(),
            max_object_bytes: reader.number("store.max_object_bytes") as usize,
            lease_pause: reader.millis("lease_pause_ms"),
            result_retention: reader.seconds("result_retention_s"),
            stop_limit: reader.seconds("stop_limit_s"),
            drain_notice: reader.millis("drain_notice_ms"),
            configuration_notice: reader.millis("configuration_notice_ms"),
        };
        if !settings.duties.is_empty() && settings.provider.is_none() {
            reader.report("provider.address", "is missing: provider.duties is not empty");
        }
        if settings.fail_closed && settings.revocation_notice.is_none() {
            reader.report("access.revocation_notice_ms", "is missing: access.fail_closed is set");
        }
        settings.check_response_memory(&mut reader);
        reader.report_unknown(&table, "");
        if reader.findings.is_empty() {
            return Ok(settings);
        }
        let node = (!settings.node.is_empty()).then_some(settings.node);
        Err(Findings { file: file.to_owned(), node, findings: reader.findings })
    }

    /// Reports a memory limit that leaves too little for responses.
    fn check_response_memory(&self, reader: &mut TableReader<'_>) {
        let field = "memory_limit_mb";
        let is_reported = reader.findings.iter().any(|finding| finding.field == field);
        let largest = response_budget(self.max_response_bytes()).max_reservation();
        if largest < MIN_RESPONSE_BYTES && !is_reported {
            let problem = format!(
                "leaves {largest} bytes for an answer; a page of results needs {MIN_RESPONSE_BYTES}"
            );
            reader.report(field, problem);
        }
    }

    /// Maximum total size of buffered responses, in bytes.
    fn max_response_bytes(&self) -> usize {
        self.memory_limit_mb * BYTES_PER_MEGABYTE / RESPONSE_MEMORY_DIVISOR
    }

    /// Identity of the daemon, with a new incarnation.
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

    /// Listen addresses of the daemon, and its seeds with the daemon's peer port.
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

    /// Limits and time constants for the gateway.
    pub fn tuning(&self) -> Tuning {
        Tuning {
            max_buffered_bytes: self.memory_limit_mb * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR,
            max_response_bytes: self.max_response_bytes(),
            unread_timeout: self.unread_timeout,
            lease_pause: self.lease_pause,
            result_retention: self.result_retention,
            max_object_bytes: self.max_object_bytes,
            stop_limit: self.stop_limit,
            drain_notice: self.drain_notice,
            configuration_notice: self.configuration_notice,
            usage: self.usage,
            processor_millis: (self.processor_share * 1e3).round() as u32,
            scaling_enabled: self.duties.contains(&Duty::Scale),
            max_configuration_age: self.revocation_notice.filter(|_| self.fail_closed),
            evacuation_notice: self.evacuation_notice,
            cold_margin: self.cold_margin,
            quarantine: self.quarantine,
            by_slack: self.by_slack,
        }
    }
}
