//! `serve` of the real binary: its start and its planned stop.

mod process;
mod start;
mod stop;
