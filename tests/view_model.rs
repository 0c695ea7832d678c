//! Views of the servers over sequences of events: three hosts and one store; servers that leave and return, hosts that are
//! cut off and return, and updates between hosts that arrive late, twice or not at all.
//!
//! Guards against a server that has left and is put back into use at a host that has removed it.

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;
use std::collections::HashMap;
use std::time::Duration;
use tealcleat::fleet::{FleetChange, FleetUpdate, FleetView, ServerEntry};
use tealcleat::keys::{ServerKey, TimePoint};

mod model_common;
mod view_common;

use model_common::{ModelTest, ModelWorld, model_config};
use view_common::ready_server;

const HOSTS: usize = 3;
const SERVERS: [&str; 2] = ["i-1", "i-2"];

#[derive(Debug, Clone)]
enum Event {
    Leave(usize),
    Return(usize),
    /// An object of another kind is written.
    WriteOther,
    /// A host reads the changes since its revision from the store.
    Watch(usize),
    /// A host lists the store.
    List(usize),
    /// A host states the age of the store's last answer to another one.
    StateAge(usize, usize),
    /// A host asks another one for an update, whole or of the changes. It is delivered when its events come.
    Ask {
        from: usize,
        to: usize,
        is_whole: bool,
    },
    /// An update reaches its host, and may do so again.
    Deliver(usize),
    /// A host is cut off or returns.
    Cut(usize),
    Pass(u64),
}

#[derive(Debug, Clone)]
struct SentUpdate {
    to: usize,
    update: FleetUpdate,
}

#[derive(Debug)]
struct ViewWorld {
    now: u64,
    revision: u64,
    /// Changes of the store with their revisions.
    history: Vec<(u64, usize, bool)>,
    views: Vec<FleetView>,
    is_cut: [bool; HOSTS],
    sent: Vec<SentUpdate>,
    /// The revision at which a host saw that a server had left, as long as it is out of use there.
    removed_at: HashMap<(usize, usize), u64>,
}

fn entry(index: usize) -> ServerEntry {
    ready_server(SERVERS[index])
}

fn change(index: usize, is_present: bool) -> FleetChange {
    if is_present {
        FleetChange::Updated(entry(index))
    } else {
        FleetChange::Removed(ServerKey::of(SERVERS[index]))
    }
}

impl ViewWorld {
    fn new() -> Self {
        let mut view = FleetView::default();
        view.replace_all(TimePoint::from_millis(0), 10, (0..SERVERS.len()).map(entry).collect());
        Self {
            now: 0,
            revision: 10,
            history: (0..SERVERS.len()).map(|index| (10, index, true)).collect(),
            views: vec![view; HOSTS],
            is_cut: [false; HOSTS],
            sent: Vec::new(),
            removed_at: HashMap::new(),
        }
    }

    fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.now)
    }

    fn is_present(&self, index: usize) -> bool {
        let last = self.history.iter().rfind(|(_, server, _)| *server == index);
        last.is_some_and(|(_, _, is_present)| *is_present)
    }

    fn set_present(&mut self, index: usize, is_present: bool) {
        if self.is_present(index) != is_present {
            self.revision += 1;
            self.history.push((self.revision, index, is_present));
        }
    }

    fn watch(&mut self, host: usize) {
        let (now, revision) = (self.now(), self.revision);
        let view = &mut self.views[host];
        let since = view.revision();
        let news = self.history.iter().filter(|(at, _, _)| *at > since);
        let changes = news.map(|(_, index, is_present)| change(*index, *is_present)).collect();
        view.record_store_answer(now, Duration::ZERO);
        view.apply(now, revision, changes);
    }

    fn list(&mut self, host: usize) {
        let (now, revision) = (self.now(), self.revision);
        let listed =
            (0..SERVERS.len()).filter(|index| self.is_present(*index)).map(entry).collect();
        self.views[host].record_store_answer(now, Duration::ZERO);
        self.views[host].replace_all(now, revision, listed);
    }

    fn state_age(&mut self, from: usize, to: usize) {
        // A statement takes a millisecond.
        let age = self.views[from].store_age(self.now());
        let now = self.now();
        let age = age.map(|age| age + Duration::from_millis(1));
        self.views[to].record_store_statement(now, age, false);
    }

    /// A server that a host has removed returns there only if it was in the store after the removal.
    fn check(&mut self) {
        for host in 0..HOSTS {
            for (index, id) in SERVERS.iter().enumerate() {
                let view = &self.views[host];
                if !view.is_ready(entry(index).key()) {
                    self.removed_at.entry((host, index)).or_insert(view.revision());
                } else if let Some(removed_at) = self.removed_at.remove(&(host, index)) {
                    let has_returned = self.history.iter().any(|(at, server, is_present)| {
                        *server == index && *is_present && *at > removed_at
                    });
                    assert!(has_returned, "host {host} uses {id} again");
                }
            }
        }
    }
}

impl ModelWorld for ViewWorld {
    type Event = Event;

    fn start() -> Self {
        Self::new()
    }

    fn draw() -> BoxedStrategy<Event> {
        let servers = 0..SERVERS.len();
        prop_oneof![
            2 => servers.clone().prop_map(Event::Leave),
            1 => servers.prop_map(Event::Return),
            2 => Just(Event::WriteOther),
            4 => (0..HOSTS).prop_map(Event::Watch),
            1 => (0..HOSTS).prop_map(Event::List),
            4 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Event::StateAge(from, to)),
            4 => (0..HOSTS, 0..HOSTS, any::<bool>())
                .prop_map(|(from, to, is_whole)| Event::Ask { from, to, is_whole }),
            4 => (0..6_usize).prop_map(Event::Deliver),
            2 => (0..HOSTS).prop_map(Event::Cut),
            3 => prop_oneof![Just(100), Just(1000), Just(2500)].prop_map(Event::Pass),
        ]
        .boxed()
    }

    fn apply(&mut self, event: Event) {
        let reaches = |from: usize, to: usize| from != to && !self.is_cut[from] && !self.is_cut[to];
        match event {
            Event::Leave(index) => self.set_present(index, false),
            Event::Return(index) => self.set_present(index, true),
            Event::WriteOther => self.revision += 1,
            Event::Watch(host) if !self.is_cut[host] => self.watch(host),
            Event::List(host) if !self.is_cut[host] => self.list(host),
            Event::StateAge(from, to) if reaches(from, to) => self.state_age(from, to),
            Event::Ask { from, to, is_whole } if reaches(from, to) => {
                let since = if is_whole { 0 } else { self.views[to].revision() };
                let update = self.views[from].update_since(self.now(), since);
                self.sent.push(SentUpdate { to, update });
            }
            Event::Deliver(index) => {
                if let Some(SentUpdate { to, update }) = self.sent.get(index).cloned() {
                    let now = self.now();
                    self.views[to].apply_update(now, update);
                }
            }
            Event::Cut(host) => self.is_cut[host] = !self.is_cut[host],
            Event::Pass(millis) => {
                self.now += millis;
                let now = self.now();
                for view in &mut self.views {
                    view.expire(now);
                }
            }
            Event::Watch(_) | Event::List(_) | Event::StateAge(..) | Event::Ask { .. } => {}
        }
        self.check();
    }
}

prop_state_machine! {
    #![proptest_config(model_config(72))]

    #[test]
    fn view_model_removed_server_stays_out_of_use(sequential 1..50 => ModelTest<ViewWorld>);
}
