//! Generates the messages of etcd's protocol from `proto/etcd.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/etcd.proto");
    let files = protox::compile(["proto/etcd.proto"], ["proto"])?;
    prost_build::Config::new().bytes(["."]).compile_fds(files)?;
    Ok(())
}
