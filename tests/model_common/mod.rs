//! Worlds that are played over random sequences of events and checked after each.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::fmt::Debug;
use std::marker::PhantomData;

/// A small world of hosts and a store.
pub trait ModelWorld: Debug + 'static {
    /// What may happen in it.
    type Event: Clone + Debug;

    /// The world before the first event.
    fn start() -> Self;

    /// Draws one event.
    fn draw() -> BoxedStrategy<Self::Event>;

    /// Lets an event happen, and panics if a rule is broken then.
    fn apply(&mut self, event: Self::Event);
}

/// The events of a world, drawn without regard to its state.
#[derive(Debug)]
pub struct ModelEvents<W>(PhantomData<W>);

impl<W: ModelWorld> ReferenceStateMachine for ModelEvents<W> {
    type State = ();
    type Transition = W::Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<W::Event> {
        W::draw()
    }

    fn apply((): (), _: &W::Event) {}
}

/// Plays a world.
#[derive(Debug)]
pub struct ModelTest<W>(PhantomData<W>);

impl<W: ModelWorld> StateMachineTest for ModelTest<W> {
    type SystemUnderTest = W;
    type Reference = ModelEvents<W>;

    fn init_test(_: &()) -> W {
        W::start()
    }

    fn apply(state: W, _: &(), transition: W::Event) -> W {
        let mut world = state;
        world.apply(transition);
        world
    }
}

/// How many sequences are played, always the same ones.
pub fn model_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 5_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}
