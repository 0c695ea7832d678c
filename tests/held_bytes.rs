//! The bound on what a host holds of bodies, of each one and of all of them together.

use rstest::rstest;
use tealcleat::Error;
use tealcleat::held_bytes::{BodyBuffer, ByteBudget};

const CAPACITY: usize = 16 << 20;
const MAX_BODY: usize = 4 << 20;
const PIECE: [u8; 16 << 10] = [b'a'; 16 << 10];

/// Pushes pieces until the buffer refuses one, and returns what it holds then.
fn grow(buffer: &mut BodyBuffer) -> usize {
    while buffer.push(&PIECE).is_ok() {}
    buffer.len()
}

/// Guards against a body that exceeds its own bound, and against a bound that a sound body of that length doesn't reach.
#[test]
fn buffer_refuses_beyond_its_bound() {
    let budget = ByteBudget::new(CAPACITY);
    let mut buffer = BodyBuffer::new(&budget, MAX_BODY);
    assert_eq!(grow(&mut buffer), MAX_BODY);
    assert!(matches!(buffer.push(b"a"), Err(Error::TooLong { .. })));
    assert!(budget.held() <= MAX_BODY);
    let body = buffer.freeze();
    assert_eq!(body.len(), MAX_BODY);
    let sent = body.clone();
    drop(body);
    assert_eq!(budget.held(), MAX_BODY, "a server may still be sent it");
    drop(sent);
    assert_eq!(budget.held(), 0);
}

/// Guards against bodies without end that together exceed the host's memory, or use up what small bodies need.
#[rstest]
#[case::few(4)]
#[case::some(20)]
#[case::many(500)]
fn budget_keeps_room_for_small_bodies(#[case] count: usize) {
    let budget = ByteBudget::new(CAPACITY);
    let mut endless: Vec<BodyBuffer> =
        (0..count).map(|_| BodyBuffer::new(&budget, MAX_BODY)).collect();
    // In turns, as they arrive at the same time.
    let mut open = true;
    while open {
        let grown = endless.iter_mut().filter_map(|buffer| buffer.push(&PIECE).ok()).count();
        open = grown > 0;
    }
    assert!(budget.most_held() <= CAPACITY);
    let mut small = BodyBuffer::new(&budget, MAX_BODY);
    assert!(small.push(&[b'a'; 800]).is_ok(), "{} bytes held", budget.held());
    drop((endless, small));
    assert_eq!(budget.held(), 0);
}

/// Guards against a budget that grants more than it has while several bodies grow at once.
#[test]
fn budget_holds_under_concurrent_growth() {
    let budget = ByteBudget::new(CAPACITY);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..50 {
                    let mut buffer = BodyBuffer::new(&budget, MAX_BODY);
                    grow(&mut buffer);
                    drop(buffer.freeze());
                }
            });
        }
    });
    assert!(budget.most_held() <= CAPACITY && budget.held() == 0);
}

/// A share that is split keeps counting each part until that part is dropped.
#[test]
fn share_split_counts_both_parts() {
    let budget = ByteBudget::new(CAPACITY);
    let mut share = budget.share();
    assert!(share.resize(100));
    let event = share.split(30).attach(vec![b'a'; 30]);
    drop(share);
    assert_eq!((budget.held(), event.len()), (30, 30));
    drop(event);
    assert_eq!(budget.held(), 0);
}
