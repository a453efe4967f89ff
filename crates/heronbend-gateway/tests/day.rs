//! Summaries of a fleet from its log lines.

use heronbend_gateway::fleet_summary::cause;
use heronbend_gateway::fleet_summary::Cause;
use heronbend_gateway::fleet_summary::FleetSummary;
use heronbend_gateway::fleet_summary::SummaryReport;
use heronbend_gateway::metrics::Metrics;

const LINES: &str = "\
 10.1 front-1 level=INFO event=job_handed_in job=j1 items=2 step=4 model=m outcome=Ok(()) ms=100
 10.9 front-1 level=INFO event=item_attempt job=j1 item=i1 server=s outcome=\"outpaced\" events=9
 14.1 front-1 level=INFO event=item_done job=j1 item=i1 events=100 text_ms=3990 total_ms=4000
 19.0 front-1 level=INFO event=results_listed job=j1 chunk=0 positions=0..1
 19.2 front-2 level=INFO event=job_end_asked job=j1 outcome=Ok(())
 20.1 front-1 level=INFO event=job_handed_in job=j2 items=2 step=5 model=m outcome=Ok(()) ms=50
 24.0 front-3 level=INFO event=job_adopted job=j2 from=front-1#1 reason=ended revision=7 outcome=done
 24.1 front-4 level=INFO event=job_adopted job=j2 from=front-1#1 reason=silent revision=7 outcome=late
 25.0 front-4 level=INFO event=owner_asked job=j2 owner=front-3#1 runs_it=true
 30.1 front-3 level=INFO event=item_done job=j2 item=i2 events=100 text_ms=3990 total_ms=4000
 30.2 front-3 level=INFO event=results_listed job=j2 chunk=0 positions=0..1
 30.3 front-2 level=INFO event=job_end_asked job=j2 outcome=Ok(())
 31.0 front-1 level=INFO event=counted store_calls=config:2,heronbend-results:3 connections=first:4
 31.5 front-2 level=INFO event=counted store_calls=config:1 connections=expired:1,first:x
a line of another program";

#[test]
fn late_steps_have_a_cause() {
    let summary = FleetSummary::from_log(LINES);
    let late: Vec<_> = summary.late(8.0).map(|(step, cause)| (step.job.as_str(), cause)).collect();
    assert_eq!(late, [("j1", Cause::Commit), ("j2", Cause::OwnerLost)]);
    assert_eq!(summary.late(20.0).count(), 0);
    let (count, seconds) = summary.late_by_cause(8.0)[&Cause::Commit];
    assert!(count == 1 && (seconds - 1.2).abs() < 1e-6, "{count} {seconds}");
    assert_eq!(cause(&summary.steps[0]), Cause::Commit);
}

#[test]
fn counts_are_summed_over_all_daemons() {
    let summary = FleetSummary::from_log(LINES);
    assert_eq!(summary.store_calls["config"], 3);
    assert_eq!(summary.store_calls["heronbend-results"], 3);
    assert_eq!(summary.connections.get("first"), Some(&4), "malformed counts are ignored");
    assert_eq!(summary.adoptions.iter().collect::<Vec<_>>(), [(&"ended".to_owned(), &1)]);
    assert_eq!((summary.false_suspicions, summary.attempts["outpaced"]), (1, 1));
    assert_eq!(summary.calls_by_time[&31], 6);
    let report = SummaryReport { summary: &summary, limit: 8.0 }.to_string();
    assert!(report.contains("steps: 2, of them 2 took over 8 s"), "{report}");
    assert!(report.contains("calls to the store: 6"), "{report}");
}

#[test]
fn counts_are_logged_once() {
    let metrics = Metrics::default();
    assert_eq!(metrics.take_log_line(), None);
    metrics.record_store_call("config");
    metrics.record_store_call("config");
    metrics.record_connection("first");
    let line = metrics.take_log_line().expect("counts to log");
    assert_eq!(line, "event=counted store_calls=config:2 connections=first:1");
    assert_eq!(metrics.take_log_line(), None);
    let summary = FleetSummary::from_log(&format!(" 1.5 front-1 level=INFO {line}"));
    assert_eq!(summary.store_calls["config"], 2);
}

#[test]
fn plots_full_and_empty_summaries() {
    let folder = tempfile::TempDir::new().unwrap();
    for (name, lines) in [("day.svg", LINES), ("empty.svg", "")] {
        let path = folder.path().join(name);
        heronbend_gateway::summary_plot::write(&FleetSummary::from_log(lines), 8.0, &path).unwrap();
        let plot = std::fs::read_to_string(&path).unwrap();
        assert!(plot.contains("</svg>") && plot.contains("calls to the store"));
    }
}
