//! Compiles the protobuf messages.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/orchidtally.proto");
    let files = protox::compile(["proto/orchidtally.proto"], ["proto"])?;
    prost_build::Config::new().bytes(["."]).compile_fds(files)?;
    Ok(())
}
