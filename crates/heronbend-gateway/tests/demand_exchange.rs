//! Exchange of the demand for a service between daemons, without a network.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use heronbend::admission::shared_limit::Source;
use heronbend::admission::shares::CLASSES;
use heronbend::admission::shares::HOLD;
use heronbend::admission::shares::MAX_DAEMONS;
use heronbend::admission::shares::MAX_TENANTS;
use heronbend::admission::AdaptiveRate;
use heronbend::identity::NodeName;
use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend::Moment;
use heronbend_gateway::clock::Clock;
use heronbend_gateway::demand_exchange::end;
use heronbend_gateway::demand_exchange::is_under_pressure;
use heronbend_gateway::demand_exchange::prepare_report;
use heronbend_gateway::demand_exchange::receive;
use heronbend_gateway::demand_exchange::record_short;
use heronbend_gateway::demand_exchange::shared_limit;
use heronbend_gateway::demand_exchange::LocalLoad;
use heronbend_gateway::demand_exchange::REPORT_INTERVAL;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::peers::messages::Datagram;
use heronbend_gateway::peers::messages::DemandReport;
use heronbend_gateway::peers::messages::ReportedLoad;
use heronbend_gateway::peers::messages::ReportedTenant;
use heronbend_gateway::peers::Hint;
use smol::LocalExecutor;
use support::gateway_with_clock;
use support::member;
use support::memory_store::MemoryStore;
use support::node;

/// How long nobody must be short until sharing ends.
const CALM_PERIOD: Duration = Duration::from_secs(3);
const SERVICE: &str = "app";
/// Calls per second that the servers answer; a whole number for each daemon and step.
const CAPACITY: f64 = 160.0;
const TOLERANCE: f64 = 0.01;
const MAX_REPORT_BYTES: usize = 400;
const OBJECTIVE: Duration = Duration::from_millis(100);
/// Latency at which the rate of a fleet neither falls nor rises.
const STEADY_LATENCY: Duration = Duration::from_millis(45);

struct Fleet {
    now: Rc<Cell<Moment>>,
    daemons: Vec<Rc<Gateway>>,
    /// What each daemon observed.
    observed: Vec<RefCell<AdaptiveRate>>,
}

fn by_class(requests_per_second: f64) -> [f64; CLASSES] {
    let mut by_class = [0.0; CLASSES];
    by_class[1] = requests_per_second;
    by_class
}

fn load(requests_per_second: f64, observed: &AdaptiveRate) -> LocalLoad<'_> {
    LocalLoad { requests_per_second: by_class(requests_per_second), tenants: Vec::new(), observed }
}

fn alive(name: &str) -> Member {
    member(node(name), Liveness::Alive)
}

impl Fleet {
    fn new(names: &[&str]) -> Self {
        let now = Rc::new(Cell::new(Duration::from_secs(60)));
        let executor = Rc::new(LocalExecutor::new());
        let store = Rc::new(MemoryStore::default());
        let start = |name: &&str| {
            let time = now.clone();
            let clock = Clock::from_fn(move || time.get());
            let gateway = gateway_with_clock(name, &store, &executor, clock);
            let others = names.iter().filter(|other| *other != name);
            gateway.members.publish(others.map(|other| alive(other)).collect());
            gateway
        };
        let daemons = names.iter().map(start).collect();
        let overloaded = || {
            let mut observed = AdaptiveRate::default();
            observed.set_overloaded(true);
            RefCell::new(observed)
        };
        let observed = names.iter().map(|_| overloaded()).collect();
        Self { now, daemons, observed }
    }

    fn advance(&self, time: Duration) {
        self.now.set(self.now.get() + time);
    }

    /// Daemons refuse calls while their servers answer [`CAPACITY`], and report their load for a
    /// while. Returns the number of reports.
    fn run(&self, demands: &[f64], duration: Duration) -> usize {
        let mut sent = 0;
        let end = self.now.get() + duration;
        while self.now.get() < end {
            self.advance(REPORT_INTERVAL / 4);
            for (from, demand) in demands.iter().enumerate() {
                self.refuse_and_answer(from, CAPACITY / demands.len() as f64);
                sent += usize::from(self.report(from, *demand));
            }
            for (daemon, demand) in demands.iter().enumerate() {
                self.limit(daemon, *demand);
            }
        }
        sent
    }

    /// Counts what happens in a quarter of a report's interval.
    fn refuse_and_answer(&self, daemon: usize, answers_per_second: f64) {
        let mut observed = self.observed[daemon].borrow_mut();
        let seconds = (REPORT_INTERVAL / 4).as_secs_f64();
        let answers = (answers_per_second * seconds).round() as usize;
        for _ in 0..answers {
            observed.record_offered();
            observed.record_answer(self.now.get(), STEADY_LATENCY, OBJECTIVE);
        }
        observed.record_offered();
        observed.record_refused();
        record_short(&self.daemons[daemon], SERVICE);
    }

    /// Whether a daemon sent a report.
    fn report(&self, from: usize, demand: f64) -> bool {
        let observed = self.observed[from].borrow();
        let report = prepare_report(&self.daemons[from], SERVICE, &load(demand, &observed));
        let Some(report) = report else { return false };
        let bytes = musli::wire::to_vec(&report).unwrap();
        let received: DemandReport = musli::wire::from_slice(&bytes).unwrap();
        self.daemons.iter().for_each(|daemon| receive(daemon, &received));
        true
    }

    /// What a daemon reports to be divided.
    fn divided(&self, daemon: usize, demand: f64) -> f64 {
        self.advance(REPORT_INTERVAL);
        let observed = self.observed[daemon].borrow();
        let report = prepare_report(&self.daemons[daemon], SERVICE, &load(demand, &observed));
        let load = report.and_then(|report| report.load).expect("a report with the load");
        load.divided_millirequests_per_second as f64 / 1000.0
    }

    fn limit(&self, daemon: usize, demand: f64) -> Option<(f64, Source)> {
        let observed = self.observed[daemon].borrow();
        let limit = shared_limit(&self.daemons[daemon], SERVICE, &load(demand, &observed))?;
        Some((limit.per_second?, limit.source))
    }

    fn rates(&self, demands: &[f64]) -> Vec<Option<f64>> {
        let limits = demands.iter().enumerate().map(|(daemon, demand)| self.limit(daemon, *demand));
        limits.map(|limit| limit.map(|(rate, _)| rate)).collect()
    }

    fn assert_rates(&self, demands: &[f64], expected: &[f64]) {
        let rates = self.rates(demands);
        let is_close = |(rate, expected): (&Option<f64>, &f64)| {
            rate.is_some_and(|rate| (rate - expected).abs() < TOLERANCE)
        };
        assert!(rates.iter().zip(expected).all(is_close), "{rates:?}, expected {expected:?}");
    }
}

#[test]
fn a_daemon_borrows_what_others_leave() {
    let fleet = Fleet::new(&["a", "b"]);
    fleet.run(&[200.0, 20.0], HOLD + REPORT_INTERVAL);
    fleet.assert_rates(&[200.0, 20.0], &[140.0, 20.0]);
}

#[test]
fn all_daemons_divide_the_same_capacity() {
    let names = ["a", "b", "c", "d"];
    let fleet = Fleet::new(&names);
    let demands = [200.0, 100.0, 50.0, 25.0];
    fleet.run(&demands, HOLD + REPORT_INTERVAL);
    let sum: f64 = fleet.rates(&demands).iter().flatten().sum();
    assert!((sum - CAPACITY).abs() < TOLERANCE, "{sum}");
}

#[test]
fn without_pressure_there_is_no_shared_limit() {
    let fleet = Fleet::new(&["a", "b"]);
    let demands = [200.0, 20.0];
    assert_eq!(fleet.rates(&demands), [None, None]);
    fleet.run(&demands, Duration::from_secs(2));
    assert!(is_under_pressure(&fleet.daemons[0], SERVICE));
    fleet.advance(CALM_PERIOD);
    assert_eq!(fleet.rates(&demands), [None, None]);
    assert!(!is_under_pressure(&fleet.daemons[0], SERVICE));
}

/// Reports of daemons that are not short do not keep the exchange of the others alive.
#[test]
fn sharing_ends_although_daemons_report() {
    let fleet = Fleet::new(&["a", "b"]);
    fleet.run(&[200.0, 20.0], Duration::from_secs(2));
    let end = fleet.now.get() + CALM_PERIOD + Duration::from_secs(1);
    while fleet.now.get() < end {
        fleet.advance(REPORT_INTERVAL);
        for daemon in 0..2 {
            fleet.report(daemon, 20.0);
        }
    }
    assert!(fleet.daemons.iter().all(|daemon| !is_under_pressure(daemon, SERVICE)));
}

#[test]
fn a_daemon_that_is_not_short_learns_of_the_pressure() {
    let fleet = Fleet::new(&["a", "b"]);
    fleet.run(&[200.0], Duration::from_secs(2));
    assert!(is_under_pressure(&fleet.daemons[1], SERVICE));
    // With half of the fleet, too little is heard to learn its capacity.
    let observed = fleet.observed[0].borrow();
    let limit = shared_limit(&fleet.daemons[0], SERVICE, &load(200.0, &observed));
    assert_eq!(limit.map(|limit| limit.source), Some(Source::Learned));
}

/// Three daemons of four are heard, so that the capacity is known.
#[test]
fn the_equal_share_of_a_daemon_without_reports_is_reserved() {
    let fleet = Fleet::new(&["a", "b", "c", "d"]);
    let demands = [200.0; 3];
    fleet.run(&demands, HOLD + REPORT_INTERVAL);
    assert!(is_under_pressure(&fleet.daemons[3], SERVICE));
    let equal = fleet.divided(0, demands[0]) / 4.0;
    for (daemon, demand) in demands.iter().enumerate() {
        let (rate, source) = fleet.limit(daemon, *demand).unwrap();
        assert_eq!(source, Source::Share);
        assert!((rate - equal).abs() < TOLERANCE, "{rate} of {equal}");
    }
}

#[test]
fn a_daemon_that_has_left_is_not_counted() {
    let fleet = Fleet::new(&["a", "b"]);
    let demands = [200.0, 200.0];
    fleet.run(&demands, Duration::from_secs(3));
    fleet.assert_rates(&demands, &[80.0, 80.0]);
    fleet.daemons[0].members.publish(vec![member(node("b"), Liveness::Left)]);
    fleet.run(&[200.0], Duration::from_secs(1));
    let (rate, source) = fleet.limit(0, 200.0).unwrap();
    // What is divided makes up for the last calls of the other one, which it did not report.
    let whole = fleet.divided(0, 200.0);
    assert!(whole >= CAPACITY, "{whole}");
    assert!((rate - whole).abs() < TOLERANCE && source == Source::Share, "{rate} of {whole}");
}

/// A fleet that is too large for reports is the one in which nothing else keeps the state alive.
#[test]
fn the_limit_in_use_is_not_dropped_for_other_services() {
    let fleet = Fleet::new(&["a"]);
    let others = (0..MAX_DAEMONS).map(|index| alive(&format!("other-{index}")));
    fleet.daemons[0].members.publish(others.collect());
    fleet.run(&[200.0], Duration::from_secs(1));
    record_short(&fleet.daemons[0], "another");
    assert!(is_under_pressure(&fleet.daemons[0], SERVICE));
    let observed = fleet.observed[0].borrow();
    assert!(shared_limit(&fleet.daemons[0], SERVICE, &load(200.0, &observed)).is_some());
    end(&fleet.daemons[0], SERVICE);
}

#[test]
fn at_most_five_reports_a_second_are_sent() {
    let fleet = Fleet::new(&["a", "b"]);
    let seconds = 10;
    let sent = fleet.run(&[200.0], Duration::from_secs(seconds));
    assert!((49..=51).contains(&sent), "{sent}");
}

#[test]
fn a_large_fleet_sends_no_reports() {
    let fleet = Fleet::new(&["a"]);
    let others = (0..MAX_DAEMONS).map(|index| alive(&format!("other-{index}")));
    fleet.daemons[0].members.publish(others.collect());
    assert_eq!(fleet.run(&[200.0], Duration::from_secs(1)), 0);
}

#[test]
fn a_report_fits_into_its_bound() {
    let tenant = ReportedTenant {
        tenant_hash: u64::MAX,
        millirequests_per_second: 1_000_000_000,
        milliweight: 100_000,
    };
    let report = DemandReport {
        daemon: NodeName("d".repeat(64)),
        service: "s".repeat(64),
        sent_millis: 1_796_000_000_000,
        millirequests_per_second: vec![1_000_000_000; CLASSES],
        tenants: vec![tenant; MAX_TENANTS],
        load: Some(ReportedLoad {
            offered: 1_000_000_000,
            refused: 1_000_000_000,
            answered: 1_000_000_000,
            rejected: 1_000_000_000,
            found_full: 1_000_000_000,
            latency_millishares: 1_000_000_000_000,
            capacity_millirequests_per_second: 1_000_000_000,
            divided_millirequests_per_second: 1_000_000_000,
            usual_millishare: 10_000,
            is_short: true,
        }),
    };
    let bytes = musli::wire::to_vec(&Datagram::Hint(Hint::DemandReported(report))).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() < MAX_REPORT_BYTES, "{}", bytes.len());
}

#[test]
fn a_report_without_the_optional_fields_is_understood() {
    #[derive(musli::Encode)]
    struct Minimal {
        daemon: NodeName,
        service: String,
        sent_millis: u64,
        millirequests_per_second: Vec<u64>,
    }
    let minimal = Minimal {
        daemon: NodeName("b".to_owned()),
        service: SERVICE.to_owned(),
        sent_millis: 7,
        millirequests_per_second: vec![1000],
    };
    let bytes = musli::wire::to_vec(&minimal).unwrap();
    let report: DemandReport = musli::wire::from_slice(&bytes).unwrap();
    assert_eq!(report.millirequests_per_second, [1000]);
    assert!(report.tenants.is_empty() && report.load.is_none());
}

#[test]
fn earlier_builds_understand_a_report() {
    #[derive(musli::Decode)]
    struct Earlier {
        daemon: NodeName,
        service: String,
        sent_millis: u64,
        millirequests_per_second: Vec<u64>,
        #[musli(default)]
        tenants: Vec<ReportedTenant>,
    }
    let fleet = Fleet::new(&["a", "b"]);
    fleet.advance(REPORT_INTERVAL);
    let observed = AdaptiveRate::default();
    let report = prepare_report(&fleet.daemons[0], SERVICE, &load(7.0, &observed)).unwrap();
    assert!(report.load.is_some());
    let bytes = musli::wire::to_vec(&report).unwrap();
    let earlier: Earlier = musli::wire::from_slice(&bytes).unwrap();
    assert_eq!((earlier.daemon, earlier.service), (report.daemon, report.service));
    assert_eq!(earlier.sent_millis, report.sent_millis);
    assert_eq!(earlier.millirequests_per_second, report.millirequests_per_second);
    assert_eq!(earlier.tenants, report.tenants);
}
