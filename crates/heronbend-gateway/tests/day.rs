//! Summaries of a fleet from its log lines.

use heronbend_gateway::fleet_summary::cause;
use heronbend_gateway::fleet_summary::Cause;
use heronbend_gateway::fleet_summary::FleetSummary;
use heronbend_gateway::fleet_summary::SummaryReport;
use heronbend_gateway::load_summary::CallCounts;
use heronbend_gateway::load_summary::StepCounts;
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

const CALLS: &str = "\
 1.0 a level=INFO event=call_refused id=c1 route=r tenant=big priority=2 service=s reason=overloaded late=false over_share=true
 1.5 b level=INFO event=call_refused id=c1 route=r tenant=big priority=2 service=s reason=overloaded late=true over_share=true
 1.9 a level=INFO event=forwarded id=c1 route=r tenant=big service=s configuration=1 outcome=200 ms=20 priority=2 waited_ms=0
 2.0 a level=INFO event=call_queued id=c2 route=r tenant=small service=s position=3 waited_ms=251 outcome=admitted
 2.1 a level=INFO event=forwarded id=c2 route=r tenant=small service=s configuration=1 outcome=200 ms=271 priority=0 waited_ms=251
 2.2 a level=INFO event=forwarded id=c3 route=q tenant=none service=s configuration=1 outcome=TimedOut ms=900 priority=0 waited_ms=250
 2.3 a level=INFO event=forwarded id=c4 route=q tenant=none service=s configuration=1 outcome=200 ms=9 priority=0 waited_ms=0 objective_ms=9
 2.4 a level=INFO event=forwarded id=c5 route=q tenant=none service=s configuration=1 outcome=200 ms=10 priority=0 waited_ms=0 objective_ms=9";

#[test]
fn calls_are_counted_by_route_and_tenant() {
    let load = FleetSummary::from_log(CALLS).load;
    let (r, q) = (
        CallCounts { asked: 2, refused: 1, waited: 1, late: 1 },
        CallCounts { asked: 3, refused: 0, waited: 0, late: 2 },
    );
    assert_eq!(load.by_route(), [("r", r), ("q", q)]);
    let big = CallCounts { asked: 1, refused: 1, waited: 0, late: 1 };
    let small = CallCounts { asked: 1, refused: 0, waited: 1, late: 0 };
    assert_eq!(load.by_tenant(), [("big", big), ("none", q), ("small", small)]);
}

#[test]
fn only_the_ten_tenants_that_lost_most_are_listed() {
    let mut log = String::new();
    for tenant in 0..12 {
        for call in 0..=tenant {
            log += &format!(
                " 1.0 a event=call_refused id=c{tenant}-{call} route=r tenant=t{tenant}\n"
            );
        }
    }
    let load = FleetSummary::from_log(&log).load;
    let tenants: Vec<_> = load.by_tenant().into_iter().map(|(tenant, _)| tenant).collect();
    assert_eq!(tenants, ["t11", "t10", "t9", "t8", "t7", "t6", "t5", "t4", "t3", "t2"]);
}

#[test]
fn steps_are_counted_by_model() {
    let unfinished = " 40.0 front-1 level=INFO event=job_handed_in job=j3 items=2 step=6 model=n min_version=1 desired=8 outcome=Ok(()) ms=9";
    let summary = FleetSummary::from_log(&format!("{LINES}\n{unfinished}"));
    let models = summary.load.by_model(&summary.steps, 9.5);
    assert_eq!(models["m"], StepCounts { steps: 2, late: 1, unfinished: 0, groups: 0 });
    assert_eq!(models["n"], StepCounts { steps: 1, late: 0, unfinished: 1, groups: 8 });
    let report = SummaryReport { summary: &summary, limit: 9.5 }.to_string();
    assert!(report.contains("steps by model"), "{report}");
}

#[test]
fn steps_are_counted_by_trainer() {
    let submit = |job: &str, route: &str| {
        format!(" 40.0 a level=INFO event=job_handed_in job={job} {route}tenant=t items=2 step=6 model=n min_version=1 desired=8 outcome=Ok(()) ms=9\n")
    };
    let log = submit("j1", "route=long ")
        + &submit("j2", "route=long ")
        + &submit("j3", "route=short ")
        + &submit("j4", "");
    let summary = FleetSummary::from_log(&log);
    let trainers = summary.load.by_trainer(&summary.steps, 9.5);
    let steps: Vec<_> = trainers.iter().map(|(trainer, counts)| (*trainer, counts.steps)).collect();
    assert_eq!(steps, [("long", 2), ("short", 1), ("unknown", 1)]);
    let report = SummaryReport { summary: &summary, limit: 9.5 }.to_string();
    assert!(report.contains("steps by trainer"), "{report}");
}
