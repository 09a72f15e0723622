//! Links the binary at a fixed address (no PIE), still dynamically. Without relocations at startup, data of unused code
//! (the registry, SQLite) stays in file-backed pages and takes no memory. Names the commit that is built, for the log.
use std::path::Path;
use std::process::Command;

/// Changes with each commit and each checkout.
const HEAD_LOG: &str = "../../.git/logs/HEAD";

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    if Path::new(HEAD_LOG).exists() {
        println!("cargo:rerun-if-changed={HEAD_LOG}");
    }
    let commit = commit().unwrap_or_else(|| "unknown".to_string());
    println!("cargo:rustc-env=COTTONDYKE_COMMIT={commit}");
    if std::env::var("CARGO_CFG_TARGET_OS").as_deref() == Ok("linux") {
        println!("cargo:rustc-link-arg-bins=-no-pie");
    }
}

/// The commit that is checked out; `None` outside a repository.
fn commit() -> Option<String> {
    let mut git = Command::new("git");
    let output = git
        .args(["rev-parse", "--short=12", "HEAD"])
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let commit = text.trim();
    (output.status.success() && !commit.is_empty()).then(|| commit.to_string())
}
