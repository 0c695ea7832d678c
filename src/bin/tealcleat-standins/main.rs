//! Stand-ins for engines, services, the weight store and the platform.

mod app;

use std::process::ExitCode;

fn main() -> ExitCode {
    let config = app::read_arguments();
    match app::run(&config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("[tealcleat error]: {error}");
            ExitCode::FAILURE
        }
    }
}
