//! The commands as a user runs them: exit codes, what they print, and whole rehearsals.

mod input;
mod rehearsal;
mod rollout;
mod serving;
mod support;
