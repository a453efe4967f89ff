//! Selection of the log lines that concern an identifier.

use heronbend_gateway::explain::explain;

const LINES: [&str; 7] = [
    "level=INFO event=forwarded id=r1 route=read outcome=200 ms=4",
    "level=INFO event=job_handed_in job=j1 items=2 outcome=Ok(()) ms=40",
    "level=INFO event=item_attempt job=j1 item=i1 server=s1 outcome=\"silent\" events=3",
    "level=INFO event=item_attempt job=j1 item=i2 server=s2 outcome=\"cut\" events=0",
    "level=INFO event=reward_failed job=j1 item=i1 reward=w1 failures=1",
    "level=WARN event=item_terminated job=j1 item=i1 reason=\"reward failed too often\"",
    "level=INFO event=results_listed job=j2 chunk=0 positions=0..1",
];

fn selected_lines(subject: &str) -> Vec<usize> {
    let found = explain(subject, &LINES);
    found.iter().map(|line| LINES.iter().position(|known| known == line).unwrap()).collect()
}

#[test]
fn an_item_selects_its_own_lines_and_those_of_its_job() {
    assert_eq!(selected_lines("i1"), [1, 2, 4, 5]);
}

#[test]
fn a_reward_call_selects_the_lines_of_its_item_and_job() {
    assert_eq!(selected_lines("w1"), [1, 2, 4, 5]);
}

#[test]
fn jobs_requests_and_servers_select_the_lines_that_mention_them() {
    assert_eq!(selected_lines("j1"), [1, 2, 3, 4, 5]);
    assert_eq!(selected_lines("r1"), [0]);
    assert_eq!(selected_lines("s2"), [3]);
    assert!(selected_lines("r").is_empty());
}

#[test]
fn a_fingerprint_selects_its_attempts() {
    let lines = [
        "level=INFO event=attempt_broken id=r1 request=f1 server=s1 beside=0 events=0",
        "level=INFO event=attempt_broken id=r2 request=f2 server=s1 beside=0 events=0",
        "level=WARN event=request_quarantined request=f1 endings=3 by=Here",
    ];
    assert_eq!(explain("f1", &lines), [lines[0], lines[2]]);
}
