//! Start and planned stop of `marjoramwing serve`, run as a process.

mod process;
mod start;
mod stop;
