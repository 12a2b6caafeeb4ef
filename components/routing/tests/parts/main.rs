//! Tests of the modules of garnet-routing.

mod admission;
mod backoff;
mod choice;
mod limits;
mod prefix_index;
mod recovery;
mod retry_after;
mod waiting;
