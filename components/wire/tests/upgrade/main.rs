//! Compatibility with data folders and connections of earlier builds, tested with the
//! bytes that those builds wrote.

mod coverage;
mod disks;
mod encodings;
mod hello;
mod recorded;
mod samples;
