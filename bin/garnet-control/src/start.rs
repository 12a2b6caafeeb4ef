//! Opens the data folder, binds the ports and runs the supervisor tree.

use std::io;
use std::rc::Rc;

use garnet_consensus::{Config, Membership, Restored};
use garnet_control::{Replica, ReplicaSettings};
use garnet_runtime::server::bind_listener;
use garnet_runtime::{HttpClient, Shell, bind};
use garnet_storage::{DiskDirectory, DiskIdentity, ReplicaStorage};
use garnet_types::ReplicaId;

use crate::admin;
use crate::connections::Connections;
use crate::platform;
use crate::replica_task::{self, Opened, Outlets};
use crate::settings::Settings;

/// Runs the replica until a planned stop.
pub(crate) fn run(settings: Settings, bootstrap: bool) -> io::Result<()> {
    let shell = Shell::new();
    let (admin_server, _) = bind(settings.admin_listen)?;
    let peer_listener = smol::block_on(bind_listener(settings.peer_listen))?;
    let (id, replica, storage) = open(&settings, bootstrap, &shell)?;
    let (events_in, events) = smol::channel::unbounded();
    let connections = Connections::new(id, Rc::clone(&shell.executor), events_in.clone());
    let outlets = Outlets {
        connections: connections.clone(),
        http: HttpClient::new(Rc::clone(&shell.executor)),
        executor: Rc::clone(&shell.executor),
        events: events_in.clone(),
    };
    let admin = admin::Admin::new(connections.clone());
    let opened = Opened {
        replica,
        storage,
        clock: shell.clock,
    };
    let mut children = vec![
        replica_task::child(opened, events, outlets),
        connections.listener_child(peer_listener),
        shell.http_child(admin_server, move |request| {
            admin::handle(admin.clone(), request)
        }),
    ];
    if let Some(address) = settings.platform.clone() {
        let http = HttpClient::new(Rc::clone(&shell.executor));
        children.push(platform::child(address, http, events_in));
    }
    let drain = admin::hand_over(connections);
    shell.run(children, drain)
}

/// Opens the data folder. An identity is bound to the disk: an empty folder
/// is a new replica unless this is the group's first start.
fn open(
    settings: &Settings,
    bootstrap: bool,
    shell: &Shell,
) -> io::Result<(ReplicaId, Replica, ReplicaStorage<DiskDirectory>)> {
    let mut directory = DiskDirectory::open(&settings.data).map_err(|error| {
        let folder = settings.data.display();
        io::Error::new(error.kind(), format!("data folder {folder}: {error}"))
    })?;
    let initial = settings.initial_id.filter(|_| bootstrap);
    let fresh = initial.map_or_else(rand::random, |id| id.0);
    let (identity, created) = DiskIdentity::open_or_create(&mut directory, &settings.name, fresh)
        .map_err(io::Error::other)?;
    let id = ReplicaId(identity.incarnation);
    let (storage, recovered) = ReplicaStorage::open(directory).map_err(io::Error::other)?;
    log::info!(
        replica = id.0,
        new_disk = created,
        term = recovered.hard_state.term,
        entries = recovered.entries.len(),
        cut_bytes = recovered.cut_bytes;
        "data_folder_opened"
    );
    // A replica that joins later learns the group from its leader.
    let initial_membership = if settings.members.members.contains_key(&id) {
        settings.members.clone()
    } else {
        Membership::default()
    };
    let restored = Restored {
        hard_state: recovered.hard_state,
        snapshot: recovered.snapshot,
        entries: recovered.entries,
        initial_membership,
    };
    let replica_settings = ReplicaSettings {
        consensus: Config::new(id, rand::random()),
        snapshot_every: settings.snapshot_every,
        planner: settings.planner,
    };
    let replica =
        Replica::new(replica_settings, restored, shell.clock.now()).map_err(io::Error::other)?;
    Ok((id, replica, storage))
}
