//! Replays overload of a service with few slots by many daemons, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;

use super::adaptive_rate::AdaptiveRate;
use super::call_queue::Call;
use super::call_queue::CallKey;
use super::call_queue::CallQueue;
use super::call_queue::Decision;
use super::call_queue::Outcome;
use super::call_queue::MAX_WAIT_SHARE;
use super::caller_age::CallerAge;
use super::fair_share::TenantKey;
use super::return_schedule::ReturnSchedule;
use super::return_schedule::MAX_DELAY;
use crate::Moment;

const OBJECTIVE: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_millis(1500);
/// Network delay between a daemon and a server, both ways.
const ROUND_TRIP: Duration = Duration::from_millis(1);
const DAEMONS: usize = 67;
const SERVERS: usize = 3;
const SLOTS: usize = 6;
const SERVER_QUEUE: usize = 24;
const MEAN_WORK_MILLIS: f64 = 25.0;
/// Calls per second that all servers can run.
const CAPACITY: f64 = (SERVERS * SLOTS) as f64 * 1e3 / MEAN_WORK_MILLIS;
/// Share of what the servers can run that must be answered in time.
const TARGET_SHARE: f64 = 0.8;

/// A caller and its attempts.
#[derive(Debug, Clone, Copy)]
struct Caller {
    asked: Moment,
    tenant: u32,
    /// Whether it is in the zone from which most calls come.
    is_in_busy_zone: bool,
    retries: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask { caller: usize },
    Poll { daemon: usize },
    Done { server: usize, caller: usize, daemon: usize, sent: Moment },
    Fail { server: usize },
    Restore { server: usize },
}

#[derive(Default)]
struct Daemon {
    /// Mean latency of each server, in milliseconds.
    mean_millis: [f64; SERVERS],
    rate: AdaptiveRate,
    queue: CallQueue,
    waiting: HashMap<CallKey, (usize, Call)>,
}

struct Server {
    /// Factor of the work's duration.
    slowness: f64,
    is_down: bool,
    running: usize,
    queue: VecDeque<(usize, usize, Moment)>,
}

impl Server {
    fn new(slowness: f64) -> Self {
        Self { slowness, is_down: false, running: 0, queue: VecDeque::new() }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    asked: u32,
    in_time: u32,
    late: u32,
    /// Late ones that were not refused before.
    late_first: u32,
    refused: u32,
}

struct Fleet {
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    next_event: u64,
    random: SmallRng,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    by_tenant: BTreeMap<u32, Counts>,
    arrivals_at_servers: u32,
    longest_wait: Duration,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        println!("seed {seed}");
        Self {
            now: Moment::from_secs(1),
            events: BinaryHeap::new(),
            next_event: 0,
            random: SmallRng::seed_from_u64(seed),
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            servers: (0..SERVERS).map(|_| Server::new(1.0)).collect(),
            callers: Vec::new(),
            by_tenant: BTreeMap::new(),
            arrivals_at_servers: 0,
            longest_wait: Duration::ZERO,
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    /// Adds callers that ask at `per_second` from `from` on, for `length`.
    fn add_load(
        &mut self,
        from: Moment,
        length: Duration,
        per_second: f64,
        tenant: impl Fn(&mut SmallRng) -> u32,
    ) {
        let mut at = from;
        while at < from + length {
            at += Duration::from_secs_f64(-self.random.random::<f64>().ln() / per_second);
            let tenant = tenant(&mut self.random);
            let is_in_busy_zone = self.random.random_bool(2.0 / 3.0);
            self.callers.push(Caller { asked: at, tenant, is_in_busy_zone, retries: 1 });
            self.schedule(at, Event::Ask { caller: self.callers.len() - 1 });
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Ask { caller } => self.ask(caller),
                Event::Poll { daemon } => self.poll(daemon),
                Event::Done { server, caller, daemon, sent } => {
                    self.done(server, caller, daemon, sent);
                }
                Event::Fail { server } => {
                    self.servers[server].is_down = true;
                    for (caller, ..) in std::mem::take(&mut self.servers[server].queue) {
                        self.refused(caller, Duration::ZERO);
                    }
                }
                Event::Restore { server } => self.servers[server].is_down = false,
            }
        }
    }

    /// A daemon of the caller's zone. A third of the daemons are in the busy zone.
    fn pick_daemon(&mut self, is_in_busy_zone: bool) -> usize {
        let third = DAEMONS / 3;
        let zone = if is_in_busy_zone { 0..third } else { third..DAEMONS };
        self.random.random_range(zone)
    }

    fn ask(&mut self, caller: usize) {
        let Caller { asked, tenant, retries, is_in_busy_zone } = self.callers[caller];
        if retries == 1 {
            self.by_tenant.entry(tenant).or_default().asked += 1;
        }
        let call = Call {
            priority: 2,
            tenant: TenantKey(tenant),
            weight: 1.0,
            objective: OBJECTIVE,
            age: self.now - asked,
            deadline: asked + PATIENCE,
        };
        let (index, now) = (self.pick_daemon(is_in_busy_zone), self.now);
        let daemon = &mut self.daemons[index];
        daemon.rate.record_offered();
        match daemon.queue.offer(now, call) {
            Decision::Admit => self.send(index, caller, call),
            Decision::Wait { key, .. } => {
                daemon.waiting.insert(key, (caller, call));
                self.schedule_poll(index);
            }
            Decision::Refuse(refusal) => {
                daemon.rate.record_refused();
                self.refused(caller, refusal.retry_after);
            }
        }
        self.adjust(index);
    }

    fn adjust(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(adjustment) = daemon.rate.adjust(self.now) {
            daemon.queue.set_rate(self.now, adjustment.rate);
        }
    }

    fn schedule_poll(&mut self, index: usize) {
        if let Some(delay) = self.daemons[index].queue.next_due() {
            let delay = delay.min(OBJECTIVE) + Duration::from_micros(1);
            self.schedule(self.now + delay, Event::Poll { daemon: index });
        }
    }

    fn poll(&mut self, index: usize) {
        let outcomes = self.daemons[index].queue.poll(self.now);
        for outcome in outcomes {
            self.longest_wait = self.longest_wait.max(outcome.waited);
            let Some((caller, call)) = self.daemons[index].waiting.remove(&outcome.key) else {
                panic!("unknown call {outcome:?}");
            };
            match outcome.result {
                Ok(()) => self.send(index, caller, call),
                Err(refusal) => {
                    self.daemons[index].rate.record_refused();
                    self.refused(caller, refusal.retry_after);
                }
            }
        }
        self.schedule_poll(index);
    }

    /// Sends a call to the servers, those that answer faster first, until one takes it.
    fn send(&mut self, daemon: usize, caller: usize, call: Call) {
        let up = (0..SERVERS).filter(|server| !self.servers[*server].is_down);
        let mut up: Vec<usize> = up.collect();
        up.shuffle(&mut self.random);
        let means = self.daemons[daemon].mean_millis;
        let best = up.iter().map(|server| means[*server]).fold(f64::INFINITY, f64::min);
        // Means within this ratio count as equal.
        up.sort_by_key(|server| means[*server] > best * 1.5);
        for server in up {
            self.arrivals_at_servers += 1;
            if self.servers[server].running < SLOTS {
                self.start_work(server, daemon, caller, self.now);
                return;
            }
            if self.servers[server].queue.len() < SERVER_QUEUE {
                let sent = self.now;
                self.servers[server].queue.push_back((caller, daemon, sent));
                return;
            }
            self.daemons[daemon].rate.record_rejection();
        }
        self.daemons[daemon].rate.record_found_full();
        self.adjust(daemon);
        let refusal = self.daemons[daemon].queue.refuse_admitted(self.now, &call);
        self.refused(caller, refusal.retry_after);
    }

    fn start_work(&mut self, server: usize, daemon: usize, caller: usize, sent: Moment) {
        self.servers[server].running += 1;
        // A wide distribution, with a few calls that take several times as long.
        let spread = -self.random.random::<f64>().ln();
        let work = MEAN_WORK_MILLIS * self.servers[server].slowness * (0.5 + 0.5 * spread);
        let end = self.now + Duration::from_secs_f64(work / 1e3);
        self.schedule(end, Event::Done { server, caller, daemon, sent });
    }

    fn done(&mut self, server: usize, caller: usize, daemon: usize, sent: Moment) {
        self.servers[server].running -= 1;
        let latency = self.now + ROUND_TRIP - sent;
        let mean = &mut self.daemons[daemon].mean_millis[server];
        *mean += (latency.as_secs_f64() * 1e3 - *mean) * 0.3;
        self.daemons[daemon].rate.record_answer(self.now, latency, OBJECTIVE);
        self.adjust(daemon);
        let Caller { asked, tenant, retries, .. } = self.callers[caller];
        let counts = self.by_tenant.entry(tenant).or_default();
        if self.now + ROUND_TRIP - asked <= OBJECTIVE {
            counts.in_time += 1;
        } else {
            counts.late += 1;
            counts.late_first += retries;
        }
        if let Some((caller, daemon, sent)) = self.servers[server].queue.pop_front() {
            self.start_work(server, daemon, caller, sent);
        }
    }

    /// The caller comes back once, within a third of the time that it has left.
    fn refused(&mut self, caller: usize, retry_after: Duration) {
        let Caller { asked, tenant, retries, .. } = self.callers[caller];
        let left = (asked + PATIENCE).saturating_sub(self.now);
        if retries == 0 || left.is_zero() {
            self.by_tenant.entry(tenant).or_default().refused += 1;
            return;
        }
        self.callers[caller].retries -= 1;
        self.schedule(self.now + retry_after.min(left / 3), Event::Ask { caller });
    }

    fn totals(&self) -> Counts {
        let mut total = Counts::default();
        for counts in self.by_tenant.values() {
            total.asked += counts.asked;
            total.in_time += counts.in_time;
            total.late += counts.late;
            total.late_first += counts.late_first;
            total.refused += counts.refused;
        }
        println!(
            "{total:?} arrivals a call {:.2} longest wait {:?}",
            f64::from(self.arrivals_at_servers) / f64::from(total.asked),
            self.longest_wait
        );
        total
    }
}

fn any_tenant(random: &mut SmallRng) -> u32 {
    random.random_range(0..80)
}

/// Seeds of the replays: `HERONBEND_OVERLOAD_SEEDS=FROM..TO`, or a few fixed ones, so that CI has the
/// same verdict each time.
fn seeds() -> std::ops::Range<u64> {
    let Ok(range) = std::env::var("HERONBEND_OVERLOAD_SEEDS") else {
        return 0..3;
    };
    let bounds =
        range.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    let (from, to) = bounds.expect("HERONBEND_OVERLOAD_SEEDS is FROM..TO");
    from..to
}

/// Each seed with each factor of overload.
fn cases(factors: &[f64]) -> impl Iterator<Item = (u64, f64)> + '_ {
    seeds().flat_map(|seed| factors.iter().map(move |factor| (seed, *factor)))
}

/// Asserts the targets for an overload by `factor` of servers that can run `capacity`.
fn assert_served(fleet: &Fleet, factor: f64) {
    let total = fleet.totals();
    let possible = (1.0 / factor).min(1.0);
    let in_time = f64::from(total.in_time) / f64::from(total.asked);
    assert!(
        std::env::var("NOASSERT").is_ok() || in_time >= possible * TARGET_SHARE,
        "{in_time} in time of {possible}"
    );
    assert_eq!(total.asked, total.in_time + total.late + total.refused);
    let arrivals = f64::from(fleet.arrivals_at_servers) / f64::from(total.asked);
    assert!(arrivals < 2.0, "{arrivals} arrivals a call");
    let longest = OBJECTIVE.mul_f64(MAX_WAIT_SHARE) + Duration::from_millis(1);
    assert!(fleet.longest_wait <= longest, "{:?} held", fleet.longest_wait);
}

#[test]
fn most_of_what_the_servers_can_run_is_answered_in_time_at_any_overload() {
    for (seed, factor) in cases(&[1.2, 1.33, 2.0, 5.0]) {
        let mut fleet = Fleet::new(seed);
        let start = fleet.now;
        fleet.add_load(start, Duration::from_secs(2), CAPACITY * 0.02, any_tenant);
        fleet.add_load(start, Duration::from_secs(20), CAPACITY * factor, any_tenant);
        fleet.run();
        assert_served(&fleet, factor);
    }
}

#[test]
fn without_overload_nobody_waits_or_is_refused() {
    for (seed, factor) in cases(&[0.02, 0.5, 0.75]) {
        let mut fleet = Fleet::new(seed);
        let start = fleet.now;
        fleet.add_load(start, Duration::from_secs(20), CAPACITY * factor, any_tenant);
        fleet.run();
        let total = fleet.totals();
        assert_eq!(total.refused, 0, "at {factor} of the capacity");
        assert_eq!(fleet.longest_wait, Duration::ZERO);
    }
}

#[test]
fn a_tenant_that_sends_nine_tenths_leaves_the_others_their_share() {
    for (seed, factor) in cases(&[1.2, 2.0, 5.0]) {
        let mut fleet = Fleet::new(seed);
        let start = fleet.now;
        let tenant =
            |random: &mut SmallRng| if random.random_bool(0.9) { 0 } else { any_tenant(random) };
        fleet.add_load(start, Duration::from_secs(20), CAPACITY * factor, tenant);
        fleet.run();
        assert_served(&fleet, factor);
        let share = |counts: &Counts| f64::from(counts.in_time) / f64::from(counts.asked);
        let mean = share(&fleet.totals());
        let others = fleet.by_tenant.iter().filter(|(tenant, _)| **tenant != 0);
        let mut small = Counts::default();
        for (_, counts) in others {
            small.asked += counts.asked;
            small.in_time += counts.in_time;
        }
        let small = share(&small);
        println!("mean {mean:.3} others {small:.3}");
        assert!(small >= mean, "others {small} of mean {mean} at {factor}");
    }
}

#[test]
fn a_server_lost_in_the_middle_costs_no_more_than_its_share() {
    for seed in seeds() {
        replay_lost_server(seed);
    }
}

fn replay_lost_server(seed: u64) {
    let mut fleet = Fleet::new(seed);
    let start = fleet.now;
    fleet.add_load(start, Duration::from_secs(20), CAPACITY * 1.2, any_tenant);
    fleet.schedule(start + Duration::from_secs(6), Event::Fail { server: 1 });
    fleet.schedule(start + Duration::from_secs(14), Event::Restore { server: 1 });
    fleet.run();
    // Two thirds of the capacity for eight of twenty seconds.
    assert_served(&fleet, 1.2 / (1.0 - 8.0 / 20.0 / 3.0));
}

#[test]
fn uneven_servers_are_used_by_what_each_can_run() {
    let slowness = [0.7, 0.7, 1.7];
    let capacity: f64 = slowness.iter().map(|s| SLOTS as f64 * 1e3 / MEAN_WORK_MILLIS / s).sum();
    for (seed, factor) in cases(&[1.2, 2.0]) {
        let mut fleet = Fleet::new(seed);
        fleet.servers = slowness.into_iter().map(Server::new).collect();
        let start = fleet.now;
        fleet.add_load(start, Duration::from_secs(20), capacity * factor, any_tenant);
        fleet.run();
        assert_served(&fleet, factor);
    }
}

#[test]
fn the_limit_ends_with_the_overload() {
    for seed in seeds() {
        replay_short_overload(seed);
    }
}

fn replay_short_overload(seed: u64) {
    let mut fleet = Fleet::new(seed);
    let start = fleet.now;
    fleet.add_load(start, Duration::from_secs(5), CAPACITY * 2.0, any_tenant);
    fleet.add_load(
        start + Duration::from_secs(5),
        Duration::from_secs(15),
        CAPACITY * 0.2,
        any_tenant,
    );
    fleet.run();
    let late = fleet.callers.iter().filter(|caller| caller.asked > start + Duration::from_secs(15));
    assert!(late.clone().count() > 100);
    assert!(late.clone().all(|caller| caller.retries == 1), "refused after the overload");
}

fn call(age_millis: u64, tenant: u32, priority: u8) -> Call {
    Call {
        priority,
        tenant: TenantKey(tenant),
        weight: 1.0,
        objective: OBJECTIVE,
        age: Duration::from_millis(age_millis),
        deadline: Moment::from_secs(1000),
    }
}

#[test]
fn the_last_token_is_kept_for_calls_in_time() {
    let mut queue = CallQueue::default();
    queue.set_rate(Moment::from_secs(1), Some(10.0));
    let now = Moment::from_millis(1110);
    let late = queue.offer(now, call(400, 1, 2));
    let Decision::Refuse(refusal) = late else {
        panic!("{late:?}");
    };
    assert!(refusal.is_late && refusal.needed > refusal.tokens);
    assert_eq!(queue.offer(now, call(0, 2, 2)), Decision::Admit);
    // Tokens that nobody in time uses are for late calls.
    let later = now + Duration::from_millis(250);
    assert_eq!(queue.offer(later, call(400, 1, 2)), Decision::Admit);
}

#[test]
fn a_more_urgent_priority_keeps_the_last_token() {
    let mut queue = CallQueue::default();
    queue.set_rate(Moment::from_secs(1), Some(10.0));
    let now = Moment::from_millis(1050);
    assert!(matches!(queue.offer(now, call(0, 1, 0)), Decision::Refuse(_)));
    let now = Moment::from_millis(1110);
    assert!(matches!(queue.offer(now, call(0, 2, 2)), Decision::Refuse(_)));
    assert_eq!(queue.offer(now, call(0, 1, 0)), Decision::Admit);
}

#[test]
fn waiting_calls_are_admitted_in_order_of_their_claims() {
    let mut queue = CallQueue::default();
    queue.set_rate(Moment::from_secs(1), Some(200.0));
    let now = Moment::from_millis(1001);
    let Decision::Wait { key: first, .. } = queue.offer(now, call(0, 1, 2)) else {
        panic!("not queued");
    };
    let Decision::Wait { key: second, ahead, .. } = queue.offer(now, call(0, 2, 2)) else {
        panic!("not queued");
    };
    assert_eq!(ahead, 1);
    let due = queue.next_due().expect("calls wait");
    let admitted: Vec<CallKey> = queue
        .poll(now + due)
        .iter()
        .filter(|outcome| outcome.result.is_ok())
        .map(|outcome| outcome.key)
        .collect();
    assert_eq!(admitted, [first]);
    assert!(queue.cancel(now + due, second).is_some() && queue.is_empty());
}

#[test]
fn a_call_is_not_admitted_after_its_deadline() {
    let mut queue = CallQueue::default();
    queue.set_rate(Moment::from_secs(1), Some(100.0));
    let now = Moment::from_secs(1);
    let deadline = now + Duration::from_millis(30);
    let decision = queue.offer(now, Call { deadline, ..call(0, 1, 2) });
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let outcomes = queue.poll(now + Duration::from_millis(40));
    assert!(matches!(outcomes[..], [Outcome { result: Err(_), .. }]), "{outcomes:?}");
    // Its token is left for the next call.
    let later = now + Duration::from_millis(40);
    assert_eq!(queue.offer(later, call(0, 1, 2)), Decision::Admit);
}

#[test]
fn a_limit_does_not_outlast_a_time_without_calls() {
    let mut rate = AdaptiveRate::default();
    let start = Moment::from_secs(1);
    rate.record_offered();
    rate.adjust(start);
    rate.record_offered();
    rate.record_found_full();
    let full_at = start + Duration::from_secs(1);
    assert!(rate.adjust(full_at).is_some_and(|adjustment| adjustment.rate.is_some()));
    rate.record_offered();
    rate.adjust(full_at + Duration::from_secs(60));
    assert_eq!(rate.rate(), None);
}

/// Random histories: nobody waits longer than allowed or past its deadline, each waiting call gets
/// one outcome, and no more calls are admitted than the rate allows.
#[test]
fn random_histories_keep_the_bounds_of_the_queue() {
    let seed: u64 = rand::rng().random();
    println!("seed {seed}");
    let mut random = SmallRng::seed_from_u64(seed);
    for _ in 0..200 {
        let mut queue = CallQueue::default();
        let mut now = Moment::from_secs(1);
        let rate = random.random_range(1.0..500.0);
        queue.set_rate(now, Some(rate));
        let (started, mut admitted) = (now, 0_u32);
        let mut waiting: HashMap<CallKey, (Moment, Call)> = HashMap::new();
        for _ in 0..300 {
            now += Duration::from_micros(random.random_range(0..4000));
            for outcome in queue.poll(now) {
                let (since, call) = waiting.remove(&outcome.key).expect("one outcome a call");
                assert_eq!(outcome.waited, now - since);
                let longest = call.objective.mul_f64(MAX_WAIT_SHARE) + Duration::from_millis(4);
                assert!(outcome.waited <= longest, "{outcome:?}");
                if outcome.result.is_ok() {
                    assert!(now < call.deadline, "{outcome:?} after {:?}", call.deadline);
                    admitted += 1;
                }
            }
            let mut offered = call(
                random.random_range(0..300),
                random.random_range(0..6),
                random.random_range(0..4),
            );
            offered.deadline = now + Duration::from_millis(random.random_range(1..1500));
            match queue.offer(now, offered) {
                Decision::Admit => admitted += 1,
                Decision::Wait { key, expected_wait, .. } => {
                    assert!(now + expected_wait < offered.deadline);
                    waiting.insert(key, (now, offered));
                }
                Decision::Refuse(refusal) => assert!(refusal.retry_after <= MAX_DELAY),
            }
        }
        assert_eq!(queue.len(), waiting.len());
        let most = (now - started).as_secs_f64() * rate + 1.0 + 4.0 * 1.0_f64.max(rate * 0.02);
        assert!(f64::from(admitted) <= most + 1.0, "{admitted} of {most}");
    }
}

#[test]
fn earlier_and_more_urgent_callers_return_first() {
    let mut schedule = ReturnSchedule::default();
    let now = Moment::from_secs(1);
    let delay = |schedule: &mut ReturnSchedule, priority| {
        schedule.next_delay(now, priority, Some(20.0), Duration::from_millis(40))
    };
    let first = delay(&mut schedule, 2);
    let second = delay(&mut schedule, 2);
    assert!(second > first);
    let urgent = delay(&mut schedule, 0);
    assert_eq!(urgent, Duration::from_millis(40), "not behind the less urgent ones");
    assert!(delay(&mut schedule, 2) > second);
    // A lower priority comes after all more urgent ones.
    assert!(delay(&mut schedule, 3) > second);
}

#[test]
fn callers_that_are_refused_before_a_rate_is_known_are_not_sent_away_for_long() {
    let mut schedule = ReturnSchedule::default();
    let now = Moment::from_secs(1);
    let delays: Vec<Duration> =
        (0..10).map(|_| schedule.next_delay(now, 2, None, Duration::from_millis(40))).collect();
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(delays.iter().all(|delay| *delay < OBJECTIVE), "{delays:?}");
}

#[test]
fn a_caller_that_comes_back_is_as_old_as_its_time_is_shorter() {
    let mut ages = CallerAge::default();
    let now = Moment::from_secs(1);
    assert_eq!(ages.record(now, PATIENCE), Duration::ZERO);
    assert_eq!(ages.record(now, PATIENCE - OBJECTIVE), OBJECTIVE);
    // A route whose timeout was shortened forgets the longer one.
    let later = now + Duration::from_secs(30);
    assert_eq!(ages.record(later, OBJECTIVE), Duration::ZERO);
}
