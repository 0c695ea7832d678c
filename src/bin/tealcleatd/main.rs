//! The daemon that runs on every entry host.

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
