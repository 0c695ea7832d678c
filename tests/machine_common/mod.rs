//! Daemons as processes of which each seems to have a machine of its own, which may be suspended; shared by tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the clock of a suspended machine, and returns the variables of a daemon that uses it.
///
/// `name` tells the files of tests apart that run at the same time.
pub fn held_clock(name: &str) -> Vec<(String, String)> {
    preloaded(name, "held_clock")
}

/// The same for a daemon whose connections come from its machine's own address.
pub fn source_address(name: &str) -> Vec<(String, String)> {
    preloaded(name, "source_address")
}

/// Builds a library with the C compiler that links this test.
fn preloaded(name: &str, library: &str) -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/machine_common");
    let source = folder.join(format!("{library}.c"));
    let built = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{library}-{name}.so"));
    let compiled = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .args([&built, &source])
        .status()
        .expect("a C compiler");
    assert!(compiled.success(), "{library} was not built");
    vec![("LD_PRELOAD".to_owned(), built.display().to_string())]
}

/// A new folder for a test's files.
pub fn test_folder(name: &str) -> PathBuf {
    let folder = format!("tealcleat-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The built daemon.
pub fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_tealcleatd"))
}
