//! The program stands where it was linked: nothing is relocated at start, so data of code that is not used (the registry,
//! SQLite) stays in the file's pages and takes no memory. It is linked dynamically as before.
fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    if std::env::var("CARGO_CFG_TARGET_OS").as_deref() == Ok("linux") {
        println!("cargo:rustc-link-arg-bins=-no-pie");
    }
}
