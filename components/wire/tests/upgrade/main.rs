//! Disks and connections of earlier builds, by what those builds wrote.

mod disks;
mod hello;
mod recorded;
