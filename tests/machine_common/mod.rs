//! Helpers for tests that run daemons as processes, each as if on a machine of its own that may be suspended.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the library that emulates the clock of a suspended machine, and returns the environment variables of a
/// daemon that uses it.
///
/// `name` distinguishes the files of tests that run at the same time.
pub fn held_clock(name: &str) -> Vec<(String, String)> {
    preload_library(name, "held_clock")
}

/// Does the same for the library that makes a daemon connect from its machine's own address.
pub fn source_address(name: &str) -> Vec<(String, String)> {
    preload_library(name, "source_address")
}

/// Builds a preloaded library with the system's C compiler, and returns the environment variables that load it.
fn preload_library(name: &str, library: &str) -> Vec<(String, String)> {
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

/// Creates a folder for a test's files and returns its path.
pub fn test_folder(name: &str) -> PathBuf {
    let folder = format!("tealcleat-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Path of the built daemon.
pub fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_tealcleatd"))
}
