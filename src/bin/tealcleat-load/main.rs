//! The load and experiment tool.

mod app;
mod controller;
mod demo;
mod overhead;
mod site_soak;
mod slopes;
mod soak;

use std::process::ExitCode;

fn main() -> ExitCode {
    let config = app::read_arguments();
    match controller::run(&config) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("[tealcleat error]: {error}");
            ExitCode::FAILURE
        }
    }
}
