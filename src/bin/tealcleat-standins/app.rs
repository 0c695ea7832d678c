//! Parses the command line and serves the stand-ins.

use bpaf::Bpaf;
use std::io::{Read, Write};
use std::path::PathBuf;
use tealcleat::Result;
use tealcleat::bench::{StandinPlan, start_standins};
use tealcleat::settings::SourceText;

const WORKER_THREADS: usize = 3;

/// Stand-ins for the systems around tealcleat
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Config {
    /// Plan of the systems to imitate, as JSON
    #[bpaf(positional("PLAN"))]
    pub plan: PathBuf,
}

/// Parses the command line; exits the process if it is invalid.
pub fn read_arguments() -> Config {
    config().run()
}

/// Prints all addresses as one line of JSON, then serves until standard input closes.
pub fn run(config: &Config) -> Result<()> {
    let source = SourceText::read(&config.plan)?;
    let plan: StandinPlan = serde_json::from_str(&source.text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let (_set, addresses) = runtime.block_on(start_standins(&plan))?;
    println!("{}", serde_json::to_string(&addresses)?);
    std::io::stdout().flush()?;
    // The bench holds the other end of standard input, so the stand-ins exit when the bench does.
    let mut discarded = Vec::new();
    std::io::stdin().read_to_end(&mut discarded)?;
    std::process::exit(0);
}
