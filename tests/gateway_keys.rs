//! Keys and limits through real daemons: which callers are authorized, what backend servers receive, and
//! what is refused.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{
    CallerRecord, EngineFault, SiteCall, SitePlan, StoreFault, TestSite, call_site, keyed_config,
};

mod site_common;

use site_common::{call, call_first_host, engine_runs, runtime};

const HANBIT: &str = "key-of-hanbit";
const MOONBOOK: &str = "key-of-moonbook";

/// A request with a caller's key, which also claims to be another organisation's.
fn keyed_call(method: &'static str, route: &str, id: &str, key: &str) -> SiteCall {
    let mut call = call(method, route, id);
    call.headers.push(("authorization", format!("Token {key}")));
    call.headers.push(("x-tenant", "forged".to_owned()));
    call
}

async fn keyed_site(hosts: usize) -> TestSite {
    let site = TestSite::start(SitePlan { hosts, ..SitePlan::default() }).await.expect("it starts");
    site.set_config(2, &keyed_config(2));
    for gateway in &site.hosts {
        while gateway.host.routes().version() < 2 || !gateway.host.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    site
}

fn service_callers(site: &TestSite, id: &str) -> Vec<CallerRecord> {
    let callers = site.services.iter().flat_map(|service| service.callers());
    callers.filter(|caller| caller.request == id).collect()
}

#[rstest]
#[case::plain("once")]
#[case::stream("stream")]
#[case::resumed("resume")]
fn servers_receive_the_organisation_and_no_key(#[case] route: &'static str) {
    runtime().block_on(async {
        let site = keyed_site(1).await;
        if route == "resume" {
            site.decodes[0].set_fault(EngineFault::CutAfter(3));
        }
        let reply = call_first_host(&site, &keyed_call("POST", route, "r1", HANBIT)).await;
        assert_eq!((reply.status.as_u16(), reply.complete), (200, true));
        let mut callers = service_callers(&site, "r1");
        callers.extend(engine_runs(&site, "r1").into_iter().map(|run| run.caller));
        assert!(!callers.is_empty());
        for caller in callers {
            assert_eq!((caller.organisation.as_deref(), caller.has_key), (Some("hanbit"), false));
        }
    });
}

#[rstest]
#[case::wrong("once", Some("key-of-nobody"), 401)]
#[case::none("once", None, 401)]
#[case::public_none("safe", None, 200)]
#[case::public_wrong("safe", Some("key-of-nobody"), 200)]
#[case::known("once", Some(MOONBOOK), 200)]
fn caller_authorized_by_key(#[case] route: &str, #[case] key: Option<&str>, #[case] status: u16) {
    runtime().block_on(async {
        let site = keyed_site(1).await;
        let call = match key {
            Some(key) => keyed_call("GET", route, "r1", key),
            None => call("GET", route, "r1"),
        };
        let reply = call_first_host(&site, &call).await;
        assert_eq!(reply.status.as_u16(), status);
        let callers = service_callers(&site, "r1");
        assert_eq!(callers.len(), usize::from(status == 200));
        let forged = Some("forged".to_owned());
        assert!(callers.iter().all(|caller| caller.organisation != forged && !caller.has_key));
    });
}

#[test]
fn two_keys_at_once_rejected() {
    runtime().block_on(async {
        let site = keyed_site(1).await;
        let mut call = keyed_call("GET", "once", "r1", HANBIT);
        call.headers.push(("authorization", format!("Token {MOONBOOK}")));
        assert_eq!(call_first_host(&site, &call).await.status.as_u16(), 401);
    });
}

#[test]
fn key_revoked_and_added() {
    runtime().block_on(async {
        let site = keyed_site(2).await;
        let mut config = keyed_config(3);
        config["tenants"][0]["keys"] = serde_json::json!(["new-key-of-hanbit"]);
        site.set_config(3, &config);
        for gateway in &site.hosts {
            while gateway.host.routes().version() < 3 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            for (id, key, status) in [("r1", HANBIT, 401), ("r2", "new-key-of-hanbit", 200)] {
                let call = keyed_call("GET", "once", id, key);
                let reply = call_site(gateway.callers, &call).await.expect("an answer");
                assert_eq!(reply.status.as_u16(), status);
            }
        }
    });
}

/// The store stops answering. Once a key may have been revoked longer ago than the bound allows, no request with
/// a key is accepted, and readiness fails, so that the platform routes callers elsewhere. Public routes keep working.
#[test]
fn keys_refused_without_the_store() {
    runtime().block_on(async {
        let site = keyed_site(2).await;
        site.store.set_fault(StoreFault::Silent);
        while site.hosts[0].host.is_ready() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let reply = call_first_host(&site, &keyed_call("GET", "once", "r1", HANBIT)).await;
        assert_eq!(reply.status.as_u16(), 503);
        assert!(reply.header("retry-after").parse::<f64>().expect("seconds") > 0.0);
        assert!(service_callers(&site, "r1").is_empty());
        assert_eq!(call_first_host(&site, &call("GET", "safe", "r2")).await.status.as_u16(), 200);
        site.store.set_fault(StoreFault::None);
        while !site.hosts[0].host.is_ready() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let reply = call_first_host(&site, &keyed_call("GET", "once", "r3", HANBIT)).await;
        assert_eq!(reply.status.as_u16(), 200);
    });
}

/// An owner that has just started grants a tenth of the tolerance, 209 tokens, and 10 a second: a request of 196
/// is accepted, and later ones are refused on either host, with the time after which the limit allows them.
#[test]
fn limit_holds_over_all_hosts() {
    runtime().block_on(async {
        let site = keyed_site(2).await;
        let first = call_first_host(&site, &keyed_call("POST", "stream", "r1", MOONBOOK)).await;
        assert_eq!((first.status.as_u16(), first.complete), (200, true));
        for (place, gateway) in site.hosts.iter().enumerate() {
            let id = format!("over-{place}");
            let call = keyed_call("POST", "stream", &id, MOONBOOK);
            let reply = call_site(gateway.callers, &call).await.expect("an answer");
            assert_eq!(reply.status.as_u16(), 429);
            assert!(reply.header("retry-after").parse::<f64>().expect("seconds") > 1.0);
            assert!(engine_runs(&site, &id).is_empty());
        }
        let other = call_first_host(&site, &keyed_call("POST", "stream", "r2", HANBIT)).await;
        assert_eq!(other.status.as_u16(), 200);
    });
}

#[test]
fn refused_request_costs_nothing() {
    runtime().block_on(async {
        let site = keyed_site(1).await;
        for engine in &site.decodes {
            engine.set_fault(EngineFault::Full);
        }
        for place in 0..3 {
            let call = keyed_call("POST", "stream", &format!("full-{place}"), MOONBOOK);
            assert_eq!(call_first_host(&site, &call).await.status.as_u16(), 503);
            // Refunds are reported to the owner within half a second.
            tokio::time::sleep(Duration::from_millis(800)).await;
        }
        for engine in &site.decodes {
            engine.set_fault(EngineFault::None);
        }
        let reply = call_first_host(&site, &keyed_call("POST", "stream", "r1", MOONBOOK)).await;
        assert_eq!(reply.status.as_u16(), 200);
    });
}
