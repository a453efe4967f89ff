//! Durations of the phases of steps, from log lines.

use heronbend_gateway::steps::parse_steps;

const LINES: [&str; 14] = [
    " 10.1 front-1 level=INFO event=job_handed_in job=j1 items=2 step=4 model=m outcome=Ok(()) ms=100",
    " 10.2 front-1 level=INFO event=item_attempt job=j1 item=i2 server=s outcome=\"outpaced\" events=9",
    " 12.0 front-1 level=INFO event=job_handed_in job=j1 items=2 step=4 model=m outcome=Ok(()) ms=20",
    " 14.1 front-1 level=INFO event=item_done job=j1 item=i1 events=100 text_ms=3990 total_ms=4000",
    " 14.2 front-1 level=INFO event=results_listed job=j1 chunk=0 positions=0..1",
    " 16.1 front-1 level=INFO event=item_done job=j1 item=i2 events=150 text_ms=5990 total_ms=6000",
    " 16.2 front-1 level=INFO event=results_listed job=j1 chunk=1 positions=1..2",
    " 16.5 front-2 level=INFO event=job_end_asked job=j1 outcome=Ok(())",
    " 17.0 front-1 level=INFO event=item_done job=j1 item=i3 events=160 text_ms=1 total_ms=7000",
    " 18.0 front-2 level=INFO event=job_end_asked job=j1 outcome=Ok(())",
    " 11.0 front-1 level=INFO event=job_handed_in job=j2 items=1 outcome=Err(Unknown) ms=2500",
    "level=INFO event=job_handed_in job=j3 items=1 outcome=Ok(()) ms=1",
    "a line of another program",
    " 19.0 front-1 level=INFO event=item_done job=j4",
];

#[test]
fn phases_are_split_at_the_deciding_item() {
    let found = parse_steps(LINES.into_iter());
    let [step] = found.as_slice() else {
        panic!("expected one submitted and ended step: {found:?}");
    };
    assert_eq!((step.job.as_str(), step.number.as_str()), ("j1", "4"));
    let phases = [
        step.submitted_at,
        step.submission,
        step.generation,
        step.commit,
        step.completion,
        step.total(),
    ];
    for (phase, expected) in phases.into_iter().zip([10.0, 0.1, 6.0, 0.1, 0.3, 6.5]) {
        assert!((phase - expected).abs() < 1e-6, "{phase} instead of {expected}");
    }
    assert_eq!(step.deciding_item.item, "i2");
    assert_eq!(step.deciding_item.attempts, ["outpaced"]);
    // The longest item before the end, at the speed of the fastest item that ran on one server.
    assert!((step.generation_bound - 150.0 * 0.04).abs() < 1e-6, "{}", step.generation_bound);
}

#[test]
fn a_row_shows_the_deciding_item_and_its_attempts() {
    let row = parse_steps(LINES.into_iter())[0].to_string();
    assert!(row.ends_with("i2 (150 events, 6000 ms: outpaced)"), "{row}");
}
