//! Configuration updates between hosts: only routes that the receiver does not have are sent.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::peers::encode;
use tealcleat::routes::{
    Route, RouteKind, RouteParts, RouteTable, RouteTarget, RouteUpdate, ServiceKey,
};

const REVISION: u64 = 77;

fn route(index: usize, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{index}"),
        host: "books.example".to_owned(),
        path_prefix: format!("/{index}/"),
        kind: RouteKind::Safe,
        priority: 1,
        time_limit: Duration::from_secs(20),
        objective: Duration::from_secs(2),
        pause_objective: Duration::ZERO,
        max_servers: 2,
        resumable: false,
        is_public: false,
        targets: vec![RouteTarget { service: ServiceKey::of(service), weight: 1 }],
    })
}

fn table(version: u64, routes: Vec<Arc<Route>>) -> RouteTable {
    RouteTable::try_from(RouteParts { version, routes, ..RouteParts::default() }).expect("a table")
}

fn by_name(table: &RouteTable) -> BTreeMap<&str, &Route> {
    table.parts().routes.iter().map(|route| (route.name.as_str(), &**route)).collect()
}

/// Drops some routes, moves some to another service and adds some.
fn changed(random: &mut StdRng, routes: &[Arc<Route>], part: f64) -> Vec<Arc<Route>> {
    let mut next = Vec::new();
    for (index, known) in routes.iter().enumerate() {
        match random.random_range(0..3) {
            0 if random.random_bool(part) => {}
            1 if random.random_bool(part) => next.push(route(index, "another")),
            _ => next.push(Arc::clone(known)),
        }
    }
    let added = random.random_range(0..5);
    next.extend((0..added).map(|index| route(routes.len() + index, "app")));
    next
}

#[rstest]
#[case::few_routes(20, 0.1)]
#[case::hundreds(300, 0.02)]
#[case::thousands(4000, 0.001)]
#[case::nearly_all_changed(500, 0.9)]
#[case::nothing_changed(500, 0.0)]
fn updated_table_equals_the_senders(#[case] count: usize, #[case] part: f64) {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let routes: Vec<_> = (0..count).map(|index| route(index, "app")).collect();
        let known = table(3, routes.clone());
        let newer = table(9, changed(&mut random, &routes, part));
        let update = RouteUpdate::of(&newer, REVISION, known.digest().as_ref());
        let updated = update.apply_to(&known).expect("it applies");
        assert_eq!(updated.version(), 9);
        assert_eq!(by_name(&updated), by_name(&newer), "seed {seed}");
    }
}

#[test]
fn one_changed_route_of_thousands_sends_few_bytes() {
    let mut routes: Vec<_> = (0..4000).map(|index| route(index, "app")).collect();
    let known = table(3, routes.clone());
    routes[17] = route(17, "another");
    let newer = table(4, routes);
    let digest = known.digest();
    let update = RouteUpdate::of(&newer, REVISION, digest.as_ref());
    let whole = encode(&RouteUpdate::of(&newer, REVISION, None)).expect("encoded").len();
    let sent = encode(&update).expect("encoded").len() + encode(&digest).expect("encoded").len();
    assert!(update.route_count() < 40, "{}", update.route_count());
    assert!(sent * 20 < whole, "{sent} of {whole} bytes");
}

/// Guards against a mix of two versions, if the host adopts another version while it waits for the update.
#[test]
fn changes_to_another_table_are_rejected() {
    let routes: Vec<_> = (0..300).map(|index| route(index, "app")).collect();
    let known = table(3, routes.clone());
    let mut newer = routes.clone();
    newer.push(route(300, "app"));
    let update = RouteUpdate::of(&table(4, newer), REVISION, known.digest().as_ref());
    let mut other = routes;
    other[5] = route(5, "another");
    assert!(update.apply_to(&table(3, other)).is_err());
}
