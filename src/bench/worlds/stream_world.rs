use super::{InjectedBug, WorldReport};
use crate::keys::{AttemptId, IncarnationId};
use crate::streams::{TokenLedger, TokenVerdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[derive(Debug, Clone, Copy)]
struct InFlightToken {
    attempt: AttemptId,
    index: u32,
    due: u64,
}

/// Simulates streamed answers whose attempts fail and are resumed, with late, duplicate and stale tokens.
pub fn run_stream_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut report = WorldReport::default();
    while report.steps < steps {
        report.tried += 1;
        run_answer(&mut rng, &mut report, steps, bug);
    }
    report
}

fn run_answer(rng: &mut StdRng, report: &mut WorldReport, steps: u64, bug: InjectedBug) {
    let total = rng.random_range(1..60);
    let mut ledger = TokenLedger::new();
    let mut in_flight: Vec<InFlightToken> = Vec::new();
    let mut written: Vec<u32> = Vec::new();
    let mut attempt = AttemptId { owner: IncarnationId(1), serial: 0 };
    ledger.switch_to(attempt);
    let mut next_produced = 0;
    let mut clock = 0;
    while report.steps < steps {
        report.steps += 1;
        clock += 1;
        if next_produced < total {
            let due = clock + rng.random_range(1..4);
            in_flight.push(InFlightToken { attempt, index: next_produced, due });
            if rng.random_bool(0.05) {
                in_flight.push(InFlightToken { attempt, index: next_produced, due: due + 3 });
                report.faults += 1;
            }
            next_produced += 1;
        }
        if rng.random_bool(0.04) {
            // The attempt fails; its tokens in flight arrive late, after those of the new attempt.
            report.faults += 1;
            for token in in_flight.iter_mut().filter(|token| token.attempt == attempt) {
                token.due += rng.random_range(0..20);
            }
            attempt.serial += 1;
            ledger.switch_to(attempt);
            next_produced = ledger.next_index();
            if bug == InjectedBug::CountOpenAsToken {
                next_produced += 1;
            }
        }
        in_flight.sort_by_key(|token| (token.due, token.index));
        while in_flight.first().is_some_and(|token| token.due <= clock) {
            let token = in_flight.remove(0);
            match ledger.admit(token.attempt, token.index) {
                TokenVerdict::Write => written.push(token.index),
                TokenVerdict::Stale if bug == InjectedBug::AcceptStaleTokens => {
                    written.push(token.index);
                }
                // A gap ends the attempt, which is resumed from the next index.
                TokenVerdict::Gap if token.attempt == attempt => {
                    if bug == InjectedBug::CountOpenAsToken {
                        written.push(token.index);
                    }
                    next_produced = next_produced.min(ledger.next_index());
                }
                TokenVerdict::Gap | TokenVerdict::Duplicate | TokenVerdict::Stale => {}
            }
        }
        if ledger.next_index() == total || written.len() as u32 >= total {
            break;
        }
    }
    let is_in_order = written.iter().enumerate().all(|(position, index)| position as u32 == *index);
    let is_complete = ledger.finish(attempt, total);
    if !is_in_order || ledger.finish(attempt, total) {
        report.record_violation(format!("wrote {written:?} of {total}"));
    }
    report.done += u64::from(is_complete);
}
