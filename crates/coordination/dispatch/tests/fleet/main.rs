//! Several instances before one pool, under virtual time.

mod choice;
mod trial;
