//! The operators' tool.

mod app;
mod controller;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let config = app::read_arguments();
    match controller::run(&config) {
        Ok(status) => ExitCode::from(status as u8),
        Err(error) => {
            output::print_error(&error);
            ExitCode::from(controller::ExitStatus::Failed as u8)
        }
    }
}
