//! Command-line arguments.

use bpaf::Bpaf;
use std::path::PathBuf;
use tealcleat::bench::{BenchFault, DeploymentKind};
use tealcleat::placement::PlacementPolicy;

/// The experiment to run.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, descr("The load and experiment tool of tealcleat"))]
pub enum Config {
    /// Run one policy and print its summary as the last line
    #[bpaf(command)]
    Run {
        /// Policy, as in the settings
        #[bpaf(argument("NAME"), fallback(PlacementPolicy::Reserve))]
        policy: PlacementPolicy,
        #[bpaf(external)]
        measure: Measure,
    },
    /// Run all policies with the same seed and print a line for each, then a table
    #[bpaf(command)]
    Compare {
        /// File to write a plot of the shares to
        #[bpaf(argument("SVG"))]
        plot: Option<PathBuf>,
        #[bpaf(external)]
        measure: Measure,
    },
    /// Print a table of the lines of earlier runs and draw their plot
    #[bpaf(command)]
    Report {
        /// File to write the plot to
        #[bpaf(argument("SVG"))]
        plot: Option<PathBuf>,
        /// Output of earlier runs; other lines are skipped
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Measure control traffic, CPU time, memory and store calls at several fleet sizes
    #[bpaf(command)]
    Slopes {
        /// File to write the raw rows to
        #[bpaf(argument("TSV"), fallback(PathBuf::from("docs/slopes.tsv")))]
        rows: PathBuf,
    },
    /// Run the shipped state machines through long seeded simulations with faults
    #[bpaf(command)]
    Soak {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seeds, one after the other
        #[bpaf(argument("N"), fallback(8))]
        seeds: u64,
        /// Steps of each run
        #[bpaf(argument("N"), fallback(200_000))]
        steps: u64,
    },
    /// Run real daemons against stand-ins of the platform while faults are injected from outside
    #[bpaf(command("site-soak"))]
    SiteSoak {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seeds, one after the other
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        /// How long faults are injected, in seconds
        #[bpaf(argument("S"), fallback(8))]
        seconds: u64,
        /// Number of daemons
        #[bpaf(argument("N"), fallback(3))]
        hosts: usize,
        /// Number of failure domains over which the daemons are spread
        #[bpaf(argument("N"), fallback(1))]
        domains: usize,
        /// Number of callers
        #[bpaf(argument("N"), fallback(12))]
        callers: usize,
        /// Send some requests that crash the servers that run them
        crashing: bool,
        /// Suspend daemons; one of their variables names a clock that stops while they are suspended
        suspending: bool,
        /// Let servers announce limits
        limiting: bool,
        /// Switch on all decisions under load
        loaded: bool,
        /// Silence open connections, and check which configuration is in force on the hosts
        silencing: bool,
        /// Partition machines, and check which configuration is in force on the hosts; one of the daemons' variables
        /// names a library that binds their connections to the address in TEALCLEAT_SOURCE
        cutting: bool,
        /// Separate hosts from all servers, and check that their callers are served like others; needs the same library
        separating: bool,
        /// Run engines of several software versions, and check that streams that are taken up go on at the version that
        /// began them; needs the same library
        mixing: bool,
        /// Send prompts with parts that crash the servers that begin to write on them, beside disturbed hosts; needs the
        /// same library
        parts: bool,
        /// Send most new connections to one host, beside disturbed hosts; needs the same library
        herding: bool,
        /// Let servers reject most of what arrives, and sum the repeats of all hosts; needs the same library
        repeating: bool,
        /// Let servers stand still and go on beside stopped, reloaded and killed hosts and changes of the configuration
        hushing: bool,
        /// Let a version come, leave or return beside a kill of all hosts, and take streams up; needs the same library
        moving: bool,
        /// Restart hosts in turn beside streams of up to seven seconds, reloads and changes of the configuration
        restarting: bool,
        /// Stop hosts beside lost answers of the lease, give calls up beside cuts, and take servers away while hosts are cut
        /// off; needs the same library
        handing_over: bool,
        /// Let crowds of clients that do not behave come to the hosts
        misbehaving: bool,
        /// Number of additional configured routes that receive no requests
        #[bpaf(argument("N"), fallback(0))]
        further_routes: usize,
        /// An environment variable of the daemons
        #[bpaf(argument("NAME=VALUE"))]
        variable: Vec<String>,
    },
    /// Measure the latency that the daemon adds to a stream, compared with a direct call
    #[bpaf(command)]
    Overhead {
        /// Number of concurrent streams
        #[bpaf(argument("N"), fallback(200))]
        streams: usize,
    },
    /// Exercise the complete path once and print an `ok:` or `FAIL:` line for each step
    #[bpaf(command)]
    Demo,
}

/// Parameters of a run.
#[derive(Debug, Clone, Bpaf)]
pub struct Measure {
    /// panelbridge, halvorsen or small
    #[bpaf(argument("NAME"), fallback(DeploymentKind::Panelbridge))]
    pub deployment: DeploymentKind,
    /// Load as a fraction of the pools' capacity
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    pub load: f64,
    /// Seed of the request mix
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// none, engine-frozen, host-killed, link-stalled or store-out
    #[bpaf(argument("NAME"), fallback(BenchFault::None))]
    pub fault: BenchFault,
    /// How long calls are sent, in seconds
    #[bpaf(argument("S"), fallback(20))]
    pub seconds: u64,
}

/// Parses the command line; exits the process if it is invalid.
pub fn read_arguments() -> Config {
    config().run()
}
