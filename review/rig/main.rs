//! Plays the script of the review: the platform, its store, its workers and its clients in this process, and the entry
//! hosts in processes of their own. `rig FOLDER` writes FOLDER/record.txt; the exit code is 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod clients;
mod engine;
mod one_holder;
mod platform;
mod store;
mod util;

use std::path::PathBuf;

fn main() {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: rig FOLDER");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match one_holder::play(&folder.join("record.txt"), is_troubled) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            2
        }
    };
    std::process::exit(code);
}
