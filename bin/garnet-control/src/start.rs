//! Opens the data folder, binds the ports and runs the supervisor tree.

use std::io;
use std::rc::Rc;

use garnet_consensus::Config;
use garnet_control::ReplicaSettings;
use garnet_control_shell::{
    ControlShell, InitialGroup, NoDuties, OpenSettings, Ports, open, transfer_leadership,
};
use garnet_runtime::server::bind_listener;
use garnet_runtime::{HttpClient, Shell, bind};
use garnet_types::ReplicaId;

use crate::admin;
use crate::engines::EngineHttp;
use crate::machines::MachineList;
use crate::settings::Settings;

/// Runs the replica until a planned stop.
pub(crate) fn run(settings: Settings, bootstrap: bool) -> io::Result<()> {
    let shell = Shell::new();
    let (admin_server, _) = bind(settings.admin_listen)?;
    let peer_listener = smol::block_on(bind_listener(settings.peer_listen))?;
    let settings_of_disk = open_settings(&settings, bootstrap);
    let stop_requested = || shell.stop_was_requested();
    let Some(opened) = open(&settings_of_disk, shell.clock, stop_requested)? else {
        return Ok(());
    };
    let control = ControlShell::new(
        opened.id,
        settings.peer_listen.to_string(),
        Rc::clone(&shell.executor),
    );
    let connections = control.connections.clone();
    let admin = admin::Admin::new(connections.clone(), Rc::clone(&control.metrics));
    let http = HttpClient::new(Rc::clone(&shell.executor));
    let ports = Ports {
        directory: settings
            .platform
            .clone()
            .map(|address| MachineList::new(address, http.clone())),
        engines: EngineHttp::new(http),
        duties: NoDuties,
    };
    let mut children = control.children(opened, peer_listener, ports, None);
    children.push(shell.http_child(admin_server, move |request| {
        admin::handle(admin.clone(), request)
    }));
    let drain = transfer_leadership(connections);
    shell.run(children, drain)
}

fn open_settings(settings: &Settings, bootstrap: bool) -> OpenSettings {
    let replica = ReplicaSettings {
        snapshot_every: settings.snapshot_every,
        planner: settings.planner,
        ..ReplicaSettings::new(Config::new(ReplicaId::default(), 0))
    };
    OpenSettings {
        name: settings.name.clone(),
        data: settings.data.clone(),
        initial_id: settings.initial_id.filter(|_| bootstrap),
        initial_group: InitialGroup::WithIds(settings.members.clone()),
        replica,
    }
}
