use assert_matches::assert_matches;

use super::revision::set_field;
use super::schema::{Section, FIELDS};
use super::*;

const VALID: &str = r#"
["/"]
max_body = "1MiB"
["/pools"]
request_timeout = "5s"
["/pools/bulletin"]
kind = "engine"
["/pools/gauges"]
kind = "application"
request_timeout = "250ms"
["/models/flood"]
pool = "bulletin"
["/callers/town"]
token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
["/routes/readings"]
prefix = "/stations"
pool = "gauges"
callers = ["town"]
"#;

fn tree() -> Tree {
    Tree::from_toml("valid.toml", VALID).expect("the example is valid")
}

#[test]
fn nodes_inherit_unset_fields_from_their_parent() {
    let policy = Policy::compile(&tree(), 7);
    assert_eq!(policy.pools["bulletin"].request_timeout.as_millis(), 5000);
    assert_eq!(policy.pools["gauges"].request_timeout.as_millis(), 250);
    assert_eq!(policy.max_body, 1 << 20);
    assert!(policy.authenticate("test").is_some());
    assert!(policy.authenticate("tesT").is_none());
    assert!(policy.route("/stations/12/reading").is_some());
}

#[test]
fn resolved_values_include_the_node_that_set_them() {
    let path = NodePath::parse("/pools/bulletin").unwrap();
    let resolved = tree().resolve_all(&path);
    let from = resolved["request_timeout"].from.as_ref().unwrap();
    assert_eq!(from.as_str(), "/pools");
    assert_eq!(resolved["max_attempts"].from, None);
}

#[test]
fn all_findings_are_reported_with_file_node_and_field() {
    let text = r#"
["/pools/a"]
kind = "motor"
request_timeout = "5 parsecs"
colour = "red"
["/models/m"]
pool = "nowhere"
["/gadgets/x"]
["/pools/b"]
kind = "engine"
inherits = "/pools/c"
["/pools/c"]
inherits = "/pools/b"
max_in_flight = 0
"#;
    let findings = Tree::from_toml("bad.toml", text).unwrap_err();
    let locations: Vec<_> =
        findings.0.iter().map(|finding| (finding.node.as_str(), finding.field.as_str())).collect();
    for expected in [
        ("/pools/a", "kind"),
        ("/pools/a", "request_timeout"),
        ("/pools/a", "colour"),
        ("/models/m", "pool"),
        ("/gadgets/x", ""),
        ("/pools/b", "inherits"),
        ("/pools/c", "max_in_flight"),
    ] {
        assert!(locations.contains(&expected), "{expected:?} is not in {locations:?}");
    }
    assert!(findings.0.iter().all(|finding| finding.file == "bad.toml"));
}

#[test]
fn defaults_are_valid() {
    for spec in FIELDS.iter().filter(|spec| spec.name != "inherits") {
        let resolved = Tree::default().resolve(&NodePath::root(), spec);
        if let Some(resolved) = resolved {
            assert_matches!(
                schema::check_value(spec.kind, &resolved.value),
                Ok(()),
                "{}",
                spec.name
            );
        }
    }
}

#[test]
fn edits_conflict_only_on_the_same_node() {
    let object = SettingsObject { tree: tree(), ..Default::default() };
    let edit = |path: &str, value| {
        let node = NodePath::parse(path).unwrap();
        set_field(&object.tree, &node, "max_in_flight", Some(RawValue::Integer(value)))
    };
    let first = object.apply("one", &[edit("/pools/gauges", 5)], "test").unwrap();
    let second = first.apply("two", &[edit("/pools/bulletin", 6)], "test").unwrap();
    assert_eq!(second.revision, 2);
    let conflicting = second.apply("three", &[edit("/pools/gauges", 9)], "test");
    assert_matches!(
        conflicting,
        Err(EditConflict::SameNode { current: Some(_), wanted: Some(_), .. })
    );
}

#[test]
fn retried_edit_is_applied_once() {
    let object = SettingsObject::default();
    let node = NodePath::parse("/pools/p").unwrap();
    let edit = set_field(&object.tree, &node, "kind", Some(RawValue::Text("engine".into())));
    let once = object.apply("same", std::slice::from_ref(&edit), "test").unwrap();
    let again = once.apply("same", &[edit], "test").unwrap();
    assert_eq!(once, again);
}

#[test]
fn edit_that_breaks_a_reference_is_rejected_with_findings() {
    let object = SettingsObject { tree: tree(), ..Default::default() };
    let node = NodePath::parse("/pools/bulletin").unwrap();
    let removal = NodeEdit { base: object.tree.nodes.get(&node).cloned(), node, fields: None };
    let rejected = object.apply("remove", &[removal], "test");
    assert_matches!(rejected, Err(EditConflict::Invalid(findings)) if findings.0[0].field == "pool");
    assert_eq!(object.tree.entities(Section::Pools).count(), 2);
}
