//! A supervisor tree for tasks on one thread.
//!
//! Contract: a [`Supervisor`] starts its children in order and monitors them. A
//! child that fails is restarted according to its [`Restart`] rule and the
//! supervisor's [`Strategy`]. More restarts than the [`Intensity`] allows make the
//! supervisor itself fail, which its parent handles. A planned stop goes through
//! the children in reverse order: each receives its [`StopSignal`] and is awaited.
//! A supervisor runs as a future, so a tree is built by making one supervisor the
//! child of another.
//!
//! The design follows the supervision principles of Erlang/OTP.

mod stop;
mod supervisor;

pub use stop::{StopHandle, StopSignal, stop_channel};
pub use supervisor::{
    ChildError, ChildSpec, Intensity, Restart, Strategy, Supervisor, SupervisorError,
};
