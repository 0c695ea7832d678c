//! Command-line arguments.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Window length of an account: short enough to separate a burst, long enough for several requests.
const DEFAULT_WINDOW_S: u32 = 10;

/// Arguments of the operators' tool.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr("The operators' tool of tealcleat"),
    footer(
        "Examples:\n  \
         tealcleat check examples/panelbridge/gasan-1.json\n  \
         tealcleat --at 127.0.0.1:7003 plan intent.json\n  \
         tealcleat --at 127.0.0.1:7003 confirm intent.json --base 4 --digest 81af\n  \
         tealcleat account --window 2 host-1.log host-2.log\n  \
         tealcleat --at 127.0.0.1:7003 explain 4bf92f3577b34da6a3ce929d0e0e4736\n\
         \nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 not settled"
    )
)]
pub struct Config {
    /// Operators' address of any host
    #[bpaf(argument("IP:PORT"))]
    pub at: Option<SocketAddr>,
    /// Operator key; better given in the environment
    #[bpaf(env("TEALCLEAT_OPERATOR_KEY"), argument("KEY"))]
    pub key: Option<String>,
    /// Print JSON for scripts
    pub json: bool,
    #[bpaf(external)]
    pub command: Command,
}

/// A command of the operators' tool.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check a settings file or an intent and report all findings
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the plan that an intent implies; changes nothing
    #[bpaf(command)]
    Plan {
        /// The intent
        #[bpaf(positional("INTENT"))]
        file: PathBuf,
    },
    /// Confirm the plan that was shown
    #[bpaf(command)]
    Confirm {
        /// Configuration version on which the plan is based
        #[bpaf(argument("VERSION"))]
        base: u64,
        /// Digest of the plan
        #[bpaf(argument("HEX"))]
        digest: String,
        /// The intent
        #[bpaf(positional("INTENT"))]
        file: PathBuf,
    },
    /// Show a host, the other hosts that it knows and the servers that it owns
    #[bpaf(command)]
    Status,
    /// Show the configuration in force
    #[bpaf(command)]
    Config,
    /// Show metrics in the Prometheus text format
    #[bpaf(command)]
    Metrics,
    /// Explain a request by the spans of its trace from all hosts
    #[bpaf(command)]
    Explain {
        /// Trace id, as in the traceparent header
        #[bpaf(positional("TRACE"))]
        trace: String,
    },
    /// Count requests in the logs of hosts by arrival time, route and outcome
    #[bpaf(command)]
    Account {
        /// Length of a window in seconds
        #[bpaf(argument("SECONDS"), fallback(DEFAULT_WINDOW_S))]
        window: u32,
        /// Log files of any hosts; - reads standard input
        #[bpaf(positional("LOG"), some("name at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Stop a host without interrupting requests
    #[bpaf(command)]
    Drain,
}

/// Parses the command line; exits the process with code 2 if it is invalid.
pub fn read_arguments() -> Config {
    match config().run_inner(bpaf::Args::current_args()) {
        Ok(config) => config,
        Err(failure) => {
            failure.print_message(100);
            std::process::exit(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    }
}
