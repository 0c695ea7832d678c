//! Exercises the complete path once: configuration, streams, at-most-once calls, a stale plan and the loss of a host.

use std::path::Path;
use std::time::{Duration, Instant};
use tealcleat::bench::{
    BenchCaller, CallResult, Deployment, DeploymentKind, Fleet, FleetOptions, answer_tokens,
    prompt_hash,
};
use tealcleat::placement::PlacementPolicy;
use tealcleat::{Error, Result};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs the demo and returns whether all steps succeeded.
pub fn run(programs: &Path) -> Result<bool> {
    let deployment = Deployment::new(DeploymentKind::Small);
    let caller = BenchCaller::new(&deployment);
    let runtime = tokio::runtime::Runtime::new()?;
    let started_at = Instant::now();
    let mut fleet = Fleet::start(FleetOptions {
        deployment: deployment.clone(),
        policy: PlacementPolicy::Reserve,
        programs: programs.to_path_buf(),
        log_level: "info".to_owned(),
    })?;
    let mut all_passed = true;
    all_passed &= run_step("three daemons in two domains and their stand-ins are running", || {
        Ok(format!("{} hosts after {} ms", fleet.hosts.len(), started_at.elapsed().as_millis()))
    });
    all_passed &= run_step("an intent is planned, confirmed and in force on all hosts", || {
        let intent = deployment.intent(&fleet.addresses);
        let started_at = Instant::now();
        let version = fleet.confirm(0, &intent)?;
        fleet.wait_ready(version)?;
        Ok(format!("version {version} after {} ms", started_at.elapsed().as_millis()))
    });
    for host in 0..fleet.hosts.len() {
        let name = fleet.hosts[host].name.clone();
        all_passed &= run_step(
            &format!("a prompt streams through prefill and decode, entered at {name}"),
            || check_stream(&runtime, &caller, &fleet, host),
        );
    }
    all_passed &= run_step("the same booking at two hosts runs once", || {
        send_booking_twice(&runtime, &caller, &fleet)
    });
    all_passed &= run_step("a stale plan is refused with what changed and by whom", || {
        confirm_stale_plan(&fleet)
    });
    all_passed &= run_step("a server that is removed gets no new work", || remove_server(&fleet));
    let killed_host = fleet.hosts[0].name.clone();
    fleet.kill(0);
    all_passed &=
        run_step(&format!("{killed_host} is killed, and its domain serves again"), || {
            let started_at = Instant::now();
            loop {
                match check_stream(&runtime, &caller, &fleet, 1) {
                    Ok(_) => return Ok(format!("after {} ms", started_at.elapsed().as_millis())),
                    Err(error) if started_at.elapsed() > Duration::from_secs(10) => {
                        return Err(error);
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(50)),
                }
            }
        });
    all_passed &= run_step("the engines hold no attempts at the end", || {
        fleet.wait_until("emptiness", || {
            fleet.stats().is_ok_and(|stats| stats.held.values().all(|held| *held == 0))
        })?;
        Ok("0 attempts held".to_owned())
    });
    Ok(all_passed)
}

fn run_step(name: &str, step: impl FnOnce() -> Result<String>) -> bool {
    match step() {
        Ok(result) => {
            println!("ok: {name} ({result})");
            true
        }
        Err(error) => {
            println!("FAIL: {name} ({error})");
            false
        }
    }
}

fn check_stream(
    runtime: &tokio::runtime::Runtime,
    caller: &BenchCaller,
    fleet: &Fleet,
    host: usize,
) -> Result<String> {
    let prompt = format!("recap for a reader who returns at chapter {host}");
    let call = caller.complete(fleet.hosts[host].callers, "hanbit", &prompt, CALL_TIMEOUT, None);
    let completion = runtime.block_on(call);
    let is_correct = completion.tokens == answer_tokens(prompt_hash(&prompt), 160);
    if completion.result != CallResult::Complete || !is_correct {
        return Err(Error::Refused(format!("{:?} {}", completion.result, completion.reason)));
    }
    let first_token_ms = completion.first_token.unwrap_or_default().as_millis();
    Ok(format!("{} tokens, the first after {first_token_ms} ms", completion.tokens.len()))
}

fn send_booking_twice(
    runtime: &tokio::runtime::Runtime,
    caller: &BenchCaller,
    fleet: &Fleet,
) -> Result<String> {
    let header = ("idempotency-key", "booking-1");
    let body = "{\"crew\":1}";
    let (first_host, last_host) =
        (fleet.hosts[0].callers, fleet.hosts[fleet.hosts.len() - 1].callers);
    let (first_reply, second_reply) = runtime.block_on(async {
        tokio::join!(
            caller.call_once(first_host, "hanbit", header, body, CALL_TIMEOUT),
            caller.call_once(last_host, "hanbit", header, body, CALL_TIMEOUT)
        )
    });
    let runs = fleet.stats()?.runs.get(body).copied().unwrap_or(0);
    let answers =
        [&first_reply.0, &second_reply.0].iter().filter(|r| ***r == CallResult::Complete).count();
    if runs == 1 && answers == 1 {
        Ok(format!("{runs} run, {answers} answer"))
    } else {
        Err(Error::Refused(format!(
            "{runs} runs, {answers} answers: {first_reply:?} {second_reply:?}"
        )))
    }
}

fn confirm_stale_plan(fleet: &Fleet) -> Result<String> {
    let intent = |operator: &str, name: &str| {
        format!(
            "{{\"kind\":\"intent\",\"operator\":\"{operator}\",\"organisations\":[{{\"name\":\"{name}\"}}]}}"
        )
    };
    let stale_intent = intent("second", "late");
    let tealcleat::host::OperatorReply::Plan(plan) =
        fleet.request_operator(0, "POST", "/plan", &stale_intent)?
    else {
        return Err(Error::Refused("no plan".to_owned()));
    };
    fleet.confirm(1, &intent("first", "early"))?;
    let request = tealcleat::host::ConfirmRequest {
        intent: stale_intent,
        base_version: plan.base_version,
        digest: plan.digest,
    };
    match fleet.request_operator(0, "POST", "/confirm", &serde_json::to_string(&request)?)? {
        tealcleat::host::OperatorReply::Stale(changes) => Ok(changes.join(", ")),
        other => Err(Error::Refused(format!("{other:?}"))),
    }
}

fn remove_server(fleet: &Fleet) -> Result<String> {
    let started_at = Instant::now();
    let name = "pangyo-prefill-1";
    let intent = format!("{{\"kind\":\"intent\",\"operator\":\"demo\",\"leave\":[\"{name}\"]}}");
    let version = fleet.confirm(0, &intent)?;
    fleet.wait_until("the leave", || {
        fleet
            .running()
            .into_iter()
            .all(|host| fleet.status(host).is_ok_and(|status| status.config_version >= version))
    })?;
    Ok(format!("{name} at version {version} after {} ms", started_at.elapsed().as_millis()))
}
