//! Random histories of reservations of a memory budget.

use std::future::Future;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;

use heronbend_gateway::http::socket::ResponseProgress;
use heronbend_gateway::http::ResponseBody;
use heronbend_gateway::memory::MemoryBudget;
use heronbend_gateway::memory::Reservation;
use heronbend_gateway::memory::SMALL_RESERVATION_BYTES;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const SEEDS: std::ops::Range<u64> = 0..200;
const STEPS: usize = 2_000;
const LIMIT_BYTES: usize = 1_000_000;
const SMALL_SHARE_BYTES: usize = 150_000;

/// A reservation, and the bytes that it should hold.
struct Held {
    reservation: Reservation,
    bytes: usize,
}

/// Whether a reservation of `before` bytes may grow to `after` bytes.
fn fits(reserved: usize, before: usize, after: usize) -> bool {
    let is_small = after <= SMALL_RESERVATION_BYTES;
    let limit = if is_small { LIMIT_BYTES } else { LIMIT_BYTES - SMALL_SHARE_BYTES };
    after <= before || reserved - before + after <= limit
}

#[test]
fn reserved_bytes_stay_within_the_limit_and_are_all_released() {
    for seed in SEEDS {
        println!("seed={seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let budget = MemoryBudget::with_small_share(LIMIT_BYTES, SMALL_SHARE_BYTES);
        let mut held: Vec<Held> = Vec::new();
        for _ in 0..STEPS {
            let largest = [LIMIT_BYTES / 4, SMALL_RESERVATION_BYTES][random.random_range(0..2)];
            let bytes = random.random_range(0..largest);
            let index = random.random_range(0..=held.len());
            let Some(entry) = held.get_mut(index) else {
                held.push(Held { reservation: budget.reserve(), bytes: 0 });
                continue;
            };
            match random.random_range(0..3) {
                0 => {
                    held.swap_remove(index);
                }
                1 => {
                    let grown = entry.bytes + bytes;
                    let fits = fits(budget.reserved(), entry.bytes, grown);
                    assert_eq!(entry.reservation.grow(bytes), fits || bytes == 0, "seed {seed}");
                    entry.bytes = if fits { grown } else { entry.bytes };
                }
                _ => {
                    let fits = fits(budget.reserved(), entry.bytes, bytes);
                    assert_eq!(entry.reservation.resize(bytes), fits, "seed {seed}");
                    entry.bytes = if fits { bytes } else { entry.bytes };
                }
            }
            let expected: usize = held.iter().map(|held| held.bytes).sum();
            assert_eq!(budget.reserved(), expected, "seed {seed}");
            assert!(expected <= LIMIT_BYTES, "seed {seed}");
        }
        held.clear();
        assert_eq!(budget.reserved(), 0, "seed {seed}");
    }
}

#[test]
fn large_reservations_leave_room_for_small_ones() {
    let budget = MemoryBudget::with_small_share(LIMIT_BYTES, SMALL_SHARE_BYTES);
    let mut large = budget.reserve();
    assert!(!large.grow(budget.max_reservation() + 1));
    assert!(large.grow(budget.max_reservation()));
    let (mut other, mut small) = (budget.reserve(), budget.reserve());
    assert!(!other.grow(SMALL_RESERVATION_BYTES + 1));
    assert!(small.grow(SMALL_RESERVATION_BYTES));
}

#[test]
fn a_buffer_that_cannot_double_gets_what_it_needs() {
    let budget = MemoryBudget::with_small_share(LIMIT_BYTES, SMALL_SHARE_BYTES);
    let mut reservation = budget.reserve();
    // Doubling would leave the share that is kept for small answers.
    assert_eq!(reservation.resize_buffer(40_000, 66_000), Some(SMALL_RESERVATION_BYTES));
    let large = LIMIT_BYTES - SMALL_SHARE_BYTES - 1_000;
    assert_eq!(reservation.resize_buffer(large, 2 * large), Some(large));
    assert_eq!(reservation.resize_buffer(LIMIT_BYTES, LIMIT_BYTES), None);
    assert_eq!(budget.reserved(), large);
}

#[test]
fn a_waiting_reservation_grows_once_memory_is_released() {
    let budget = MemoryBudget::with_small_share(LIMIT_BYTES, SMALL_SHARE_BYTES);
    let (mut held, mut waiting) = (budget.reserve(), budget.reserve());
    assert!(held.grow(budget.max_reservation()));
    let mut resized = Box::pin(waiting.resize_when_released(2 * SMALL_RESERVATION_BYTES));
    let mut context = Context::from_waker(Waker::noop());
    assert!(resized.as_mut().poll(&mut context).is_pending());
    assert!(held.resize(budget.max_reservation() - SMALL_RESERVATION_BYTES));
    assert!(resized.as_mut().poll(&mut context).is_pending(), "half of the bytes are free");
    drop(held);
    assert!(resized.as_mut().poll(&mut context).is_ready());
    drop(resized);
    assert_eq!(budget.reserved(), 2 * SMALL_RESERVATION_BYTES);
    drop(waiting);
    assert_eq!(budget.reserved(), 0);
}

/// The connection flushes whenever its write buffer is empty, also in the middle of a response.
#[test]
fn a_response_stays_reserved_until_a_flush_after_its_end() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let progress = ResponseProgress::default();
    let respond = |bytes: usize| {
        let mut reservation = budget.reserve();
        assert!(reservation.grow(bytes));
        let body = ResponseBody::reserved(vec![0; bytes].into(), Some(Rc::new(reservation)));
        progress.start(String::new(), body.reservation());
        body
    };
    let body = respond(3_000);
    progress.note_flushed();
    drop(body);
    assert_eq!(budget.reserved(), 3_000, "its end is in the write buffer");
    // The next response may start before the former one is flushed.
    let next = respond(500);
    assert_eq!(budget.reserved(), 3_500);
    progress.note_flushed();
    assert_eq!(budget.reserved(), 500);
    drop(next);
    progress.note_flushed();
    assert_eq!(budget.reserved(), 0);
}
