//! Runs the commands as a user does and checks exit codes, output and whole rehearsals.

mod input;
mod rehearsal;
mod rollout;
mod serving;
mod support;
