//! A supervisor tree for tasks on one thread.
//!
//! Contract: a [`Supervisor`] starts its children in order and watches them. A
//! child that fails is restarted by its [`Restart`] rule and the supervisor's
//! [`Strategy`]; more restarts than the [`Intensity`] allows make the
//! supervisor itself fail, which its own parent sees. A planned stop runs
//! through the children in the reverse order: each gets its [`StopSignal`] and
//! is waited for. A supervisor is run as a future, so that a tree is built by
//! making one supervisor the child of another.
//!
//! Source: the supervision principles of Erlang/OTP.

mod stop;
mod supervisor;

pub use stop::{StopHandle, StopSignal, stop_channel};
pub use supervisor::{
    ChildError, ChildSpec, Intensity, Restart, Strategy, Supervisor, SupervisorError,
};
