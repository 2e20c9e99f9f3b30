//! The program `orchidtally-sim-adapter`.

use orchidtally_sim_adapter::run;
use std::io::{stdin, stdout};
use std::process::ExitCode;

const USAGE: &str = "Usage: orchidtally-sim-adapter [--help | --version]
Reads batches of events on standard input and writes a reply to each on standard output.";

fn main() -> ExitCode {
    let mut arguments = lexopt::Parser::from_env();
    match arguments.next() {
        Ok(None) => {}
        Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
            println!("orchidtally-sim-adapter {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    match run(&mut stdin().lock(), &mut stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("orchidtally-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
