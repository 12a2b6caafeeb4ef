//! The I/O shell of a control replica.
//!
//! Contract: the shell owns the sockets, the disk and the clock of one
//! [`garnet_control::Replica`]. The binary supplies the implementations
//! of three traits, called ports: a [`DirectoryPort`] reads the list of machines, an
//! [`EnginePort`] sends requests to engines, and a [`DutyPort`] calls the platform.
//! Operators' requests reach the replica through [`Connections::ask`].

mod connections;
mod data_folder;
mod directory;
mod disk;
mod disk_space;
mod duties;
mod engines;
mod event_queue;
mod frame_queue;
mod joining;
mod metrics;
mod peer_link;
mod replica_task;
mod shutdown;

pub use connections::Connections;
pub use data_folder::{InitialGroup, OpenSettings, OpenedReplica, open, replica_id_for};
pub use directory::{DirectoryError, DirectoryPort, ListedMachines};
pub use disk_space::wait_for_space;
pub use duties::{DutyPort, NoDuties};
pub use engines::EnginePort;
pub use event_queue::EventQueue;
pub use joining::{GroupAddresses, MemberAddress};
pub use metrics::ReplicaMetrics;
pub use peer_link::{LinkEnd, send_frames};
pub use replica_task::{ControlShell, Ports};
pub use shutdown::transfer_leadership;
