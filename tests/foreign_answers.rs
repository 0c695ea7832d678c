//! Backend servers that stutter: they give an answer twice, the second time late, on a connection that was
//! kept and has carried the next request meanwhile.
//!
//! What was seen: callers of model services got streams that were made from another caller's prompt. How it
//! came about: a prefill server's second answer to one read arrived in place of the answer to the next one
//! and was believed; its connection was kept, one answer behind, so that the request after that took over
//! the prompt of the one before. Cause: the answer to a read was not checked for whose it is. What proves it:
//! in these tests the stand-in's events name the prompt that they were made from.

use tealcleat::bench::site::{CallerReply, SitePlan, StutterLink, StutterPlan, TestSite};

mod site_common;

use site_common::{ask, call, runtime};

/// A site with one prefill server, which is reached over a link that can stutter.
async fn stuttering_site() -> (TestSite, StutterLink) {
    let plan = SitePlan { prefills: 1, decodes: 1, services: 1, hosts: 0 };
    let mut site = TestSite::start(plan).await.expect("a site");
    let link = site.link("i-prefill-0").await.expect("a link");
    site.add_host().await.expect("a host");
    site.wait_ready().await;
    (site, link)
}

/// The prompts that a stream was made from.
fn prompts(reply: &CallerReply) -> Vec<String> {
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut prompts: Vec<String> =
        data.filter_map(|data| Some(data.split_once(' ')?.0.to_owned())).collect();
    prompts.dedup();
    prompts
}

#[test]
fn stream_made_from_its_own_prompt_after_a_read_answered_twice() {
    runtime().block_on(async {
        let (site, link) = stuttering_site().await;
        link.stutter(StutterPlan { request_has: "x-stage: prefill", times: 1 });
        for number in 0..8 {
            let id = format!("r{number}");
            let reply = ask(&site, &call("POST", "stream", &id)).await;
            assert_eq!(reply.status, 200, "{id}");
            assert_eq!(prompts(&reply), [id]);
        }
        assert_eq!(link.left(), 0, "nothing was answered twice");
    });
}
