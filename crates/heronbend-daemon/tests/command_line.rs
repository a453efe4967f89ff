//! Tests of commands that need no running daemon.

use std::process::{Command, Output};

fn heronbend(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_heronbend")).args(arguments).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn example_settings_have_no_findings() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["gauge", "dispute"] {
        let output = heronbend(&["check", &format!("{examples}/{name}/settings.toml")]);
        assert!(output.status.success(), "{name}: {}", text(&output.stdout));
    }
}

#[test]
fn check_prints_all_findings_of_all_files() {
    let folder = tempfile::tempdir().expect("a writable temporary folder");
    let paths: Vec<String> = [("a.toml", "[\"/pools/x\"]\nkind = 3"), ("b.toml", "[\"/odd\"]")]
        .into_iter()
        .map(|(name, content)| {
            let path = folder.path().join(name);
            std::fs::write(&path, content).expect("the folder is writable");
            path.display().to_string()
        })
        .collect();
    let output = heronbend(&["check", &paths[0], &paths[1]]);
    assert_eq!(output.status.code(), Some(3));
    let printed = text(&output.stdout);
    assert!(printed.contains("a.toml: /pools/x: kind: must be one of engine, application"));
    assert!(printed.contains("b.toml: /odd: a path begins with one of"), "{printed}");
}

#[test]
fn serve_reports_all_missing_flags() {
    let output = heronbend(&["serve", "--node", "a"]);
    assert_eq!(output.status.code(), Some(1));
    let printed = text(&output.stderr);
    assert!(printed.contains("missing: zone, region, listen, peer-listen"), "{printed}");
}

#[test]
fn help_shows_examples_and_exit_codes() {
    let printed = text(&heronbend(&["--help"]).stdout);
    assert!(printed.contains("Examples:") && printed.contains("Exit codes:"), "{printed}");
}
