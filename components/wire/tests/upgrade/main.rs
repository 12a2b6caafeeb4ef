//! Disks and connections of earlier builds, by what those builds wrote.

mod coverage;
mod disks;
mod encodings;
mod hello;
mod recorded;
mod samples;
