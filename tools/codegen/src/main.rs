//! Regenerates the committed Rust types of the internal protocols.
//!
//! After a change in `crates/protocol/proto`, run from the repository root:
//! `cargo run --manifest-path tools/codegen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let dir = "crates/protocol/proto";
    let files = protox::compile(["inner.proto", "peers.proto"], [dir])?;
    let out = "crates/protocol/src/generated";
    std::fs::create_dir_all(out)?;
    prost_build::Config::new().out_dir(out).compile_fds(files)?;
    Ok(())
}
