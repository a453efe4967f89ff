//! Exchange of the demand for a service between daemons, without a network.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use heronbend::admission::shares::CLASSES;
use heronbend::admission::shares::HOLD;
use heronbend::admission::shares::MAX_DAEMONS;
use heronbend::identity::NodeName;
use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend::Moment;
use heronbend_gateway::clock::Clock;
use heronbend_gateway::demand_exchange::is_under_pressure;
use heronbend_gateway::demand_exchange::prepare_report;
use heronbend_gateway::demand_exchange::receive;
use heronbend_gateway::demand_exchange::shared_rate;
use heronbend_gateway::demand_exchange::LocalDemand;
use heronbend_gateway::demand_exchange::REPORT_INTERVAL;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::peers::messages::Datagram;
use heronbend_gateway::peers::messages::DemandReport;
use heronbend_gateway::peers::messages::ReportedTenant;
use heronbend_gateway::peers::Hint;
use smol::LocalExecutor;
use support::gateway_with_clock;
use support::member;
use support::memory_store::MemoryStore;
use support::node;

const SERVICE: &str = "app";
const CAPACITY: f64 = 100.0;
const TOLERANCE: f64 = 0.01;
const MAX_REPORT_BYTES: usize = 400;

struct Fleet {
    now: Rc<Cell<Moment>>,
    daemons: Vec<Rc<Gateway>>,
}

fn local_demand(requests_per_second: f64) -> LocalDemand {
    let mut by_class = [0.0; CLASSES];
    by_class[1] = requests_per_second;
    LocalDemand {
        requests_per_second: by_class,
        tenants: Vec::new(),
        capacity_per_second: CAPACITY,
    }
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
        Self { now, daemons }
    }

    fn advance(&self, time: Duration) {
        self.now.set(self.now.get() + time);
    }

    /// Daemons note their demands for a while, and receive the reports of each other.
    fn run(&self, demands: &[f64], duration: Duration) -> usize {
        let mut sent = 0;
        let end = self.now.get() + duration;
        while self.now.get() < end {
            self.advance(REPORT_INTERVAL / 4);
            for (from, demand) in demands.iter().enumerate() {
                let report = prepare_report(&self.daemons[from], SERVICE, local_demand(*demand));
                let Some(report) = report else { continue };
                sent += 1;
                self.daemons.iter().for_each(|daemon| receive(daemon, &report));
            }
            self.daemons.iter().for_each(|daemon| {
                shared_rate(daemon, SERVICE);
            });
        }
        sent
    }

    fn rates(&self) -> Vec<Option<f64>> {
        self.daemons.iter().map(|daemon| shared_rate(daemon, SERVICE)).collect()
    }

    fn assert_rates(&self, expected: &[f64]) {
        let rates = self.rates();
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
    fleet.assert_rates(&[80.0, 20.0]);
}

#[test]
fn without_pressure_there_is_no_shared_rate() {
    let fleet = Fleet::new(&["a", "b"]);
    assert_eq!(fleet.rates(), [None, None]);
    fleet.run(&[200.0, 20.0], Duration::from_secs(2));
    assert!(is_under_pressure(&fleet.daemons[0], SERVICE));
    fleet.advance(HOLD);
    assert_eq!(fleet.rates(), [None, None]);
    assert!(!is_under_pressure(&fleet.daemons[0], SERVICE));
}

#[test]
fn a_daemon_that_is_not_short_learns_of_the_pressure() {
    let fleet = Fleet::new(&["a", "b"]);
    fleet.run(&[200.0], Duration::from_secs(2));
    assert!(is_under_pressure(&fleet.daemons[1], SERVICE));
    // Its equal share is reserved until it reports what it leaves.
    let rate = shared_rate(&fleet.daemons[0], SERVICE).unwrap();
    assert!((rate - CAPACITY / 2.0).abs() < TOLERANCE, "{rate}");
}

#[test]
fn a_daemon_that_has_left_is_not_counted() {
    let fleet = Fleet::new(&["a", "b"]);
    fleet.run(&[200.0, 200.0], Duration::from_secs(3));
    fleet.assert_rates(&[50.0, 50.0]);
    fleet.daemons[0].members.publish(vec![member(node("b"), Liveness::Left)]);
    fleet.run(&[200.0], Duration::from_secs(1));
    let rate = shared_rate(&fleet.daemons[0], SERVICE).unwrap();
    assert!((rate - CAPACITY).abs() < TOLERANCE, "{rate}");
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
        tenants: vec![tenant; 8],
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
    assert!(report.tenants.is_empty());
}
