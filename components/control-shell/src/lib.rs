//! The I/O shell of a control replica.
//!
//! Contract: the shell owns the sockets, the disk and the clock of one
//! [`garnet_control::Replica`]. What speaks to the outside is plugged in:
//! a [`DirectoryPort`] reads the list of machines, an [`EnginePort`] asks
//! engines, a [`DutyPort`] calls the platform, and operators reach the replica through [`Connections::ask`].

mod connections;
mod directory;
mod disk;
mod disk_room;
mod duties;
mod engines;
mod joining;
mod metrics;
mod opening;
mod peer_link;
mod replica_task;
mod stopping;

pub use connections::Connections;
pub use directory::{DirectoryError, DirectoryPort, Listing};
pub use disk_room::wait_for_room;
pub use duties::{DutyPort, NoDuties};
pub use engines::EnginePort;
pub use joining::{GroupAddresses, MemberAddress};
pub use metrics::ReplicaMetrics;
pub use opening::{FirstGroup, OpenSettings, Opened, identity_of, open};
pub use peer_link::{LinkEnd, carry_frames};
pub use replica_task::{ControlShell, Ports};
pub use stopping::hand_over;
