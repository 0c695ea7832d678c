//! Daemons as processes whose steady clock stands still while they are stopped, shared by tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the clock with the C compiler that links this test, and returns the variables of a daemon that uses it.
///
/// `name` tells the files of tests apart that run at the same time.
pub fn held_clock(name: &str) -> Vec<(String, String)> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/suspended_common/held_clock.c");
    let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("held-clock-{name}.so"));
    let built = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .args([&library, &source])
        .status()
        .expect("a C compiler");
    assert!(built.success(), "the clock was not built");
    vec![("LD_PRELOAD".to_owned(), library.display().to_string())]
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
