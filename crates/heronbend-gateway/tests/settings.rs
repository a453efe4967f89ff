//! Validation of settings files.

use std::time::Duration;

use heronbend::quarantine::Limits;
use heronbend_gateway::admission_settings::LimitSource;
use heronbend_gateway::reload;
use heronbend_gateway::settings::Settings;

const VALID: &str = r#"
node = "front-1"
zone = "z"
region = "r"
seeds = ["10.0.0.2:8166"]
lease_pause_ms = 3000
result_retention_s = 120
stop_limit_s = 8.5
drain_notice_ms = 2000
configuration_notice_ms = 2000

[listen]
callers = "10.0.0.1:8161"
ready = "10.0.0.1:8167"
peers = "10.0.0.1:7720"
metrics = ""

[store]
address = "10.200.0.1:8169"
max_object_bytes = 1048576
"#;

#[test]
fn a_valid_file_is_parsed() {
    let settings = Settings::parse("node.toml", VALID).unwrap();
    assert_eq!(settings.metrics, None);
    assert_eq!(settings.stop_limit.as_millis(), 8500);
    // All daemons use the same peer port.
    assert_eq!(settings.addresses().seeds, ["10.0.0.2:7720".parse().unwrap()]);
}

#[test]
fn all_findings_are_reported_with_file_node_and_field() {
    let invalid = VALID
        .replace("zone = \"z\"", "zone = 7")
        .replace("lease_pause_ms = 3000", "lease_pause_ms = -1")
        .replace("10.0.0.1:7720", "nowhere")
        .replace("[store]", "[store]\ncolour = \"red\"")
        .replace("region = \"r\"\n", "");
    let findings = Settings::parse("node.toml", &invalid).unwrap_err().to_string();
    for expected in [
        "node.toml: front-1: zone: is not a text",
        "node.toml: front-1: region: is missing",
        "node.toml: front-1: listen.peers: \"nowhere\" is not an IP address with a port",
        "node.toml: front-1: lease_pause_ms: -1 is negative or not finite",
        "node.toml: front-1: store.colour: is not a setting",
    ] {
        assert!(findings.contains(expected), "{expected} in\n{findings}");
    }
    assert_eq!(findings.lines().count(), 5, "{findings}");
}

#[test]
fn invalid_toml_is_one_finding() {
    let findings = Settings::parse("node.toml", "node = ").unwrap_err();
    assert_eq!(findings.findings.len(), 1);
}

#[test]
fn first_start_is_off_by_default() {
    assert!(!Settings::parse("node.toml", VALID).unwrap().first_start);
    let first = VALID.replace("zone = ", "first_start = true\nzone = ");
    assert!(Settings::parse("node.toml", &first).unwrap().first_start);
    let invalid = VALID.replace("zone = ", "first_start = 1\nzone = ");
    let findings = Settings::parse("node.toml", &invalid).unwrap_err().to_string();
    assert!(findings.contains("first_start: is neither true nor false"), "{findings}");
}

#[test]
fn quarantine_limits_are_validated() {
    let settings = Settings::parse("node.toml", VALID).unwrap();
    assert_eq!(settings.quarantine, Limits::default());
    let custom =
        format!("{VALID}\n[quarantine]\nendings = 2\nfirst_probe_s = 0.5\nretention_s = 60\n");
    let limits = Settings::parse("node.toml", &custom).unwrap().quarantine;
    assert_eq!((limits.crash_threshold, limits.first_probe_delay), (2, Duration::from_millis(500)));
    let invalid = format!("{VALID}\n[quarantine]\nendings = 1.5\nretention_s = 60\n");
    let findings = Settings::parse("node.toml", &invalid).unwrap_err().to_string();
    for expected in [
        "node.toml: front-1: quarantine.endings: is not a whole number from 2 on",
        "node.toml: front-1: quarantine.retention_s: is below 365, the time that all probes take",
    ] {
        assert!(findings.contains(expected), "{expected} in\n{findings}");
    }
    assert_eq!(findings.lines().count(), 2, "{findings}");
}

#[test]
fn calls_are_not_queued_and_steps_not_placed_by_slack_unless_set() {
    let settings = Settings::parse("node.toml", VALID).unwrap();
    assert_eq!(settings.admission, None);
    assert!(!settings.tuning().by_slack);
    let empty = format!("{VALID}\n[admission]\n[scheduling]\n");
    let settings = Settings::parse("node.toml", &empty).unwrap();
    assert_eq!(settings.admission, None);
    assert!(!settings.tuning().by_slack);
}

#[test]
fn admission_and_scheduling_are_parsed() {
    let set = format!(
        "{VALID}\n[admission]\nlimit = \"learned\"\n[admission.tenant_weights]\nbig = 2\nsmall = 0.5\n\
         [admission.route_weights]\nopen = 3.0\n[scheduling]\nby_slack = true\n"
    );
    let settings = Settings::parse("node.toml", &set).unwrap();
    assert!(settings.tuning().by_slack);
    let admission = settings.admission.unwrap();
    assert_eq!(admission.limit, LimitSource::Learned);
    assert_eq!(admission.weight(Some("big"), "open"), 2.0);
    assert_eq!(admission.weight(Some("small"), "open"), 0.5);
    assert_eq!(admission.weight(Some("other"), "open"), 1.0);
    assert_eq!(admission.weight(None, "open"), 3.0);
    assert_eq!(admission.weight(None, "other"), 1.0);
    let shared = format!("{VALID}\n[admission]\nlimit = \"shared\"\n");
    let admission = Settings::parse("node.toml", &shared).unwrap().admission.unwrap();
    assert_eq!(admission.limit, LimitSource::Shared);
}

#[test]
fn admission_and_scheduling_are_validated() {
    let invalid = format!(
        "{VALID}\n[admission]\nlimit = \"guessed\"\nqueue = 3\n\
         [admission.tenant_weights]\nzero = 0\nbelow = -1.5\ntext = \"2\"\nendless = inf\n\
         [admission.route_weights]\nundefined = nan\n[scheduling]\nby_slack = 1\n"
    );
    let findings = Settings::parse("node.toml", &invalid).unwrap_err().to_string();
    for expected in [
        "node.toml: front-1: admission.limit: \"guessed\" is neither \"learned\" nor \"shared\"",
        "node.toml: front-1: admission.queue: is not a setting",
        "node.toml: front-1: admission.tenant_weights.zero: 0 is not positive and finite",
        "node.toml: front-1: admission.tenant_weights.below: -1.5 is not positive and finite",
        "node.toml: front-1: admission.tenant_weights.text: is not a number",
        "node.toml: front-1: admission.tenant_weights.endless: inf is not positive and finite",
        "node.toml: front-1: admission.route_weights.undefined: NaN is not positive and finite",
        "node.toml: front-1: scheduling.by_slack: is neither true nor false",
    ] {
        assert!(findings.contains(expected), "{expected} in\n{findings}");
    }
    assert_eq!(findings.lines().count(), 8, "{findings}");
}

#[test]
fn weights_without_a_limit_are_a_finding() {
    let weights = format!("{VALID}\n[admission.tenant_weights]\nbig = 2.0\n");
    let findings = Settings::parse("node.toml", &weights).unwrap_err().to_string();
    assert_eq!(findings, "node.toml: front-1: admission.limit: is missing: weights are set");
}

#[test]
fn admission_and_scheduling_take_effect_on_reload() {
    let old = Settings::parse("node.toml", VALID).unwrap();
    let text =
        format!("{VALID}\n[admission]\nlimit = \"learned\"\n[scheduling]\nby_slack = true\n");
    let new = Settings::parse("node.toml", &text).unwrap();
    let changes = reload::changes(&old, &new);
    let fields: Vec<_> = changes.iter().map(|change| change.field).collect();
    assert_eq!(fields, ["admission", "scheduling.by_slack"]);
    assert!(changes.iter().all(|change| change.applies_live));
}

#[test]
fn the_limit_on_unread_responses_is_optional_and_not_zero() {
    let parse = |millis: &str| {
        let text = format!("{VALID}\n[limits]\nunread_timeout_ms = {millis}\n");
        Settings::parse("node.toml", &text)
    };
    assert_eq!(Settings::parse("node.toml", VALID).unwrap().tuning().unread_timeout, None);
    let timeout = parse("4000").unwrap().tuning().unread_timeout;
    assert_eq!(timeout, Some(Duration::from_secs(4)));
    for (millis, problem) in
        [("0", "is zero"), ("-1", "-1 is negative or not finite"), ("true", "is not a number")]
    {
        let findings = parse(millis).unwrap_err().findings;
        assert_eq!(findings.len(), 1, "{findings:?}");
        assert_eq!(findings[0].field, "limits.unread_timeout_ms");
        assert_eq!(findings[0].problem, problem);
    }
}

#[test]
fn a_memory_limit_without_room_for_a_page_of_results_is_a_finding() {
    let parse =
        |limit: &str| Settings::parse("node.toml", &format!("memory_limit_mb = {limit}\n{VALID}"));
    let findings = parse("8").unwrap_err();
    assert_eq!(
        findings.to_string(),
        "node.toml: front-1: memory_limit_mb: leaves 1750000 bytes for an answer; \
         a page of results needs 1843200"
    );
    assert!(parse("9").is_ok());
    // A limit that is invalid by itself is reported once.
    assert_eq!(parse("-1").unwrap_err().findings.len(), 1);
}
