//! Shows the whole path once.

use std::path::Path;
use std::time::{Duration, Instant};
use tealcleat::bench::{
    BenchCaller, CallResult, Deployment, DeploymentKind, Fleet, FleetOptions, answer_tokens,
    prompt_hash,
};
use tealcleat::placement::PlacementPolicy;
use tealcleat::{Error, Result};

const PATIENCE: Duration = Duration::from_secs(15);

/// Runs the demo; true if all steps held.
pub fn run(programs: &Path) -> Result<bool> {
    let deployment = Deployment::new(DeploymentKind::Small);
    let caller = BenchCaller::new(&deployment);
    let runtime = tokio::runtime::Runtime::new()?;
    let began = Instant::now();
    let mut fleet = Fleet::start(FleetOptions {
        deployment: deployment.clone(),
        policy: PlacementPolicy::Reserve,
        programs: programs.to_path_buf(),
        log_level: "info".to_owned(),
    })?;
    let mut held = true;
    held &= show("three daemons in two domains and their stand-ins run", || {
        Ok(format!("{} hosts after {} ms", fleet.hosts.len(), began.elapsed().as_millis()))
    });
    held &= show("an intent is stated, planned, confirmed and in force everywhere", || {
        let intent = deployment.intent(&fleet.addresses);
        let began = Instant::now();
        let version = fleet.confirm(0, &intent)?;
        fleet.wait_ready(version)?;
        Ok(format!("version {version} after {} ms", began.elapsed().as_millis()))
    });
    for host in 0..fleet.hosts.len() {
        let name = fleet.hosts[host].name.clone();
        held &= show(
            &format!("a prompt streams through prefill and decode, entered at {name}"),
            || stream(&runtime, &caller, &fleet, host),
        );
    }
    held &=
        show("the same booking at two hosts runs once", || book_twice(&runtime, &caller, &fleet));
    held &= show("a stale plan is refused with what changed and by whom", || refuse_stale(&fleet));
    held &= show("a server that leaves gets no new work", || leave(&fleet));
    let killed = fleet.hosts[0].name.clone();
    fleet.kill(0);
    held &= show(&format!("{killed} is killed, and its domain serves again"), || {
        let began = Instant::now();
        loop {
            match stream(&runtime, &caller, &fleet, 1) {
                Ok(_) => return Ok(format!("after {} ms", began.elapsed().as_millis())),
                Err(error) if began.elapsed() > Duration::from_secs(10) => return Err(error),
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    });
    held &= show("the engines hold nothing at the end", || {
        fleet.wait_until("emptiness", || {
            fleet.stats().is_ok_and(|stats| stats.held.values().all(|held| *held == 0))
        })?;
        Ok("0 attempts held".to_owned())
    });
    Ok(held)
}

fn show(what: &str, step: impl FnOnce() -> Result<String>) -> bool {
    match step() {
        Ok(figure) => {
            println!("ok: {what} ({figure})");
            true
        }
        Err(error) => {
            println!("FAIL: {what} ({error})");
            false
        }
    }
}

fn stream(
    runtime: &tokio::runtime::Runtime,
    caller: &BenchCaller,
    fleet: &Fleet,
    host: usize,
) -> Result<String> {
    let prompt = format!("recap for a reader who returns at chapter {host}");
    let call = caller.complete(fleet.hosts[host].callers, "hanbit", &prompt, PATIENCE, None);
    let seen = runtime.block_on(call);
    let right = seen.tokens == answer_tokens(prompt_hash(&prompt), 160);
    if seen.result != CallResult::Whole || !right {
        return Err(Error::Refused(format!("{:?} {}", seen.result, seen.reason)));
    }
    let first = seen.first_token.unwrap_or_default().as_millis();
    Ok(format!("{} tokens, the first after {first} ms", seen.tokens.len()))
}

fn book_twice(
    runtime: &tokio::runtime::Runtime,
    caller: &BenchCaller,
    fleet: &Fleet,
) -> Result<String> {
    let header = ("idempotency-key", "booking-1");
    let body = "{\"crew\":1}";
    let (first, last) = (fleet.hosts[0].callers, fleet.hosts[fleet.hosts.len() - 1].callers);
    let (one, two) = runtime.block_on(async {
        tokio::join!(
            caller.book(first, "hanbit", header, body, PATIENCE),
            caller.book(last, "hanbit", header, body, PATIENCE)
        )
    });
    let runs = fleet.stats()?.runs.get(body).copied().unwrap_or(0);
    let answers = [&one.0, &two.0].iter().filter(|r| ***r == CallResult::Whole).count();
    if runs == 1 && answers == 1 {
        Ok(format!("{runs} run, {answers} answer"))
    } else {
        Err(Error::Refused(format!("{runs} runs, {answers} answers: {one:?} {two:?}")))
    }
}

fn refuse_stale(fleet: &Fleet) -> Result<String> {
    let intent = |operator: &str, name: &str| {
        format!(
            "{{\"kind\":\"intent\",\"operator\":\"{operator}\",\"organisations\":[{{\"name\":\"{name}\"}}]}}"
        )
    };
    let ours = intent("second", "late");
    let tealcleat::host::OperatorReply::Plan(plan) =
        fleet.ask_operator(0, "POST", "/plan", &ours)?
    else {
        return Err(Error::Refused("no plan".to_owned()));
    };
    fleet.confirm(1, &intent("first", "early"))?;
    let request = tealcleat::host::ConfirmRequest {
        intent: ours,
        base_version: plan.base_version,
        digest: plan.digest,
    };
    match fleet.ask_operator(0, "POST", "/confirm", &serde_json::to_string(&request)?)? {
        tealcleat::host::OperatorReply::Stale(changes) => Ok(changes.join(", ")),
        other => Err(Error::Refused(format!("{other:?}"))),
    }
}

fn leave(fleet: &Fleet) -> Result<String> {
    let began = Instant::now();
    let name = "pangyo-prefill-1";
    let intent = format!("{{\"kind\":\"intent\",\"operator\":\"demo\",\"leave\":[\"{name}\"]}}");
    let version = fleet.confirm(0, &intent)?;
    fleet.wait_until("the leave", || {
        fleet
            .running()
            .into_iter()
            .all(|host| fleet.status(host).is_ok_and(|status| status.config_version >= version))
    })?;
    Ok(format!("{name} at version {version} after {} ms", began.elapsed().as_millis()))
}
