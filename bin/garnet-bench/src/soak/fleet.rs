//! The processes of a soak, their settings and their links.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use garnet_stand_in::text::{BUILDS, other_build};
use garnet_test_support::ReservedAddress;
use rustix::process::Signal;
use smol::LocalExecutor;

use super::proxy::Link;
use super::slot::Slot;

pub(super) const REPLICAS: usize = 3;
pub(super) const GATEWAYS: usize = 2;
pub(super) const APPLICATIONS: usize = 3;
pub(super) const ENGINES: usize = 3;
/// The model of the engines.
pub(super) const MODEL: &str = "words-model";
const ENGINE_SERVICE: &str = "words";
/// Engines generate this many times as fast as they are by themselves.
const ENGINE_SPEED: &str = "4";
/// The service of the applications.
pub(super) const SERVICE: &str = "till";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Engines end under a prompt that begins so.
pub(super) const CRASHES: &str = "crash";
/// How far the platform's list of machines is behind.
const LIST_LAG_MS: &str = "300";

/// Which process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Process {
    /// A replica of the control group.
    Replica(usize),
    /// A gateway.
    Gateway(usize),
    /// An engine.
    Engine(usize),
}

/// All processes.
pub(super) struct Fleet {
    folder: PathBuf,
    keeps: bool,
    replicas: Vec<Slot>,
    gateways: Vec<Slot>,
    engines: Vec<Slot>,
    others: Vec<Slot>,
    admin: Vec<SocketAddr>,
    gateway_addresses: Vec<SocketAddr>,
    applications: Vec<SocketAddr>,
    links: Vec<Link>,
    _address: ReservedAddress,
}

/// What an error of the system says.
pub(super) fn text(error: std::io::Error) -> String {
    error.to_string()
}

impl Fleet {
    /// Starts everything.
    pub(super) async fn start(
        executor: &Rc<LocalExecutor<'static>>,
        keep: Option<PathBuf>,
    ) -> Result<Self, String> {
        let mut address = ReservedAddress::reserve();
        let mut sockets = |count: usize| -> Vec<SocketAddr> {
            (0..count).map(|_| address.socket().into()).collect()
        };
        let listens = sockets(REPLICAS);
        let peers = sockets(REPLICAS);
        let admin = sockets(REPLICAS);
        let gateway_addresses = sockets(GATEWAYS);
        let applications = sockets(APPLICATIONS);
        let engines = sockets(ENGINES);
        let platform = sockets(1)[0];
        let keeps = keep.is_some();
        let folder = keep.unwrap_or_else(|| {
            std::env::temp_dir().join(format!("garnet-soak-{}", std::process::id()))
        });
        fs::create_dir_all(&folder).map_err(text)?;
        let mut links = Vec::new();
        for (listen, target) in peers.iter().zip(&listens) {
            let link = Link::start(executor, *listen, *target).await;
            links.push(link.map_err(text)?);
        }
        let programs = programs_folder()?;
        let mut fleet = Fleet {
            replicas: Vec::new(),
            gateways: Vec::new(),
            engines: Vec::new(),
            others: Vec::new(),
            keeps,
            admin,
            gateway_addresses,
            applications,
            links,
            _address: address,
            folder,
        };
        fleet.add_platform(&programs, platform);
        fleet.add_applications(&programs, platform);
        fleet.add_engines(&programs, platform, &engines);
        fleet.add_replicas(&programs, platform, &listens, &peers)?;
        fleet.add_gateways(&programs, &peers)?;
        let folder = fleet.folder.clone();
        let all = fleet
            .others
            .iter_mut()
            .chain(&mut fleet.engines)
            .chain(&mut fleet.replicas)
            .chain(&mut fleet.gateways);
        for slot in all {
            slot.start(&folder, true)?;
        }
        Ok(fleet)
    }

    fn add_platform(&mut self, programs: &Path, platform: SocketAddr) {
        let words = [
            "platform",
            "--name",
            "platform",
            "--listen",
            &platform.to_string(),
            "--report-lag-ms",
            LIST_LAG_MS,
        ];
        self.others.push(Slot::new(
            "platform",
            programs.join("garnet-standin"),
            &words,
        ));
    }

    fn add_applications(&mut self, programs: &Path, platform: SocketAddr) {
        for (number, listen) in self.applications.iter().enumerate() {
            let name = format!("app-{number}");
            let (listen, platform) = (listen.to_string(), platform.to_string());
            let words = [
                "app",
                "--name",
                &name,
                "--listen",
                &listen,
                "--service",
                SERVICE,
                "--zone",
                ZONES[number % ZONES.len()],
                "--platform",
                &platform,
            ];
            self.others
                .push(Slot::new(&name, programs.join("garnet-standin"), &words));
        }
    }

    fn add_engines(&mut self, programs: &Path, platform: SocketAddr, listens: &[SocketAddr]) {
        for (number, listen) in listens.iter().enumerate() {
            let name = format!("engine-{number}");
            let data = self.folder.join(format!("data-{name}"));
            let (listen, platform) = (listen.to_string(), platform.to_string());
            let data = data.display().to_string();
            let words = [
                "engine",
                "--name",
                &name,
                "--listen",
                &listen,
                "--service",
                ENGINE_SERVICE,
                "--zone",
                ZONES[number % ZONES.len()],
                "--platform",
                &platform,
                "--model",
                MODEL,
                "--build",
                BUILDS[0],
                "--data",
                &data,
                "--speed",
                ENGINE_SPEED,
                "--crash-on",
                CRASHES,
            ];
            self.engines
                .push(Slot::new(&name, programs.join("garnet-standin"), &words));
        }
    }

    fn add_replicas(
        &mut self,
        programs: &Path,
        platform: SocketAddr,
        listens: &[SocketAddr],
        peers: &[SocketAddr],
    ) -> Result<(), String> {
        let members: String = (0..REPLICAS)
            .map(|place| {
                let (peer, admin) = (peers[place], self.admin[place]);
                format!(
                    "[[member]]\nid = {}\npeer = \"{peer}\"\nadmin = \"{admin}\"\n",
                    place + 1
                )
            })
            .collect();
        for (place, listen) in listens.iter().enumerate() {
            let name = format!("control-{place}");
            let data = self.folder.join(format!("data-{name}"));
            let settings = format!(
                "name = \"{name}\"\ninitial_id = {}\ndata = \"{}\"\npeer_listen = \"{listen}\"\n\
                 admin_listen = \"{}\"\nplatform = \"{platform}\"\nsnapshot_every = 200\n{members}",
                place + 1,
                data.display(),
                self.admin[place],
            );
            let file = self.write_settings(&name, &settings)?;
            let program = programs.join("garnet-control");
            let slot = Slot::new(&name, program, &["--settings", &file]);
            self.replicas.push(slot.with_first_argument("--bootstrap"));
        }
        Ok(())
    }

    fn add_gateways(&mut self, programs: &Path, peers: &[SocketAddr]) -> Result<(), String> {
        let controls: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        for (number, listen) in self.gateway_addresses.clone().iter().enumerate() {
            let name = format!("gateway-{number}");
            let data = self.folder.join(format!("data-{name}"));
            let settings = format!(
                "name = \"{name}\"\nzone = \"{}\"\ndata = \"{}\"\nlisten = \"{listen}\"\ncontrols = [{}]\n",
                ZONES[number],
                data.display(),
                controls.join(", "),
            );
            let file = self.write_settings(&name, &settings)?;
            let slot = Slot::new(
                &name,
                programs.join("garnet-gateway"),
                &["--settings", &file],
            );
            self.gateways.push(slot);
        }
        Ok(())
    }

    fn write_settings(&self, name: &str, settings: &str) -> Result<String, String> {
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).map_err(text)?;
        Ok(file.display().to_string())
    }

    pub(super) fn gateways(&self) -> Vec<String> {
        self.gateway_addresses
            .iter()
            .map(ToString::to_string)
            .collect()
    }

    pub(super) fn admin(&self, place: usize) -> String {
        self.admin[place].to_string()
    }

    pub(super) fn applications(&self) -> Vec<String> {
        self.applications.iter().map(ToString::to_string).collect()
    }

    pub(super) fn link(&self, place: usize) -> Link {
        self.links[place].clone()
    }

    /// Sends a signal to a process.
    pub(super) fn signal(&self, process: Process, signal: Signal) {
        self.slot(process).signal(signal);
    }

    /// Whether a process has ended.
    pub(super) fn has_ended(&mut self, process: Process) -> bool {
        self.slot_mut(process).has_ended()
    }

    /// Starts a process again from what its disk holds.
    pub(super) fn restart(&mut self, process: Process) -> Result<(), String> {
        let folder = self.folder.clone();
        self.slot_mut(process).start(&folder, false)
    }

    /// Has the next start of an engine be of another build.
    pub(super) fn replace_build(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        let next = other_build(engine.option("--build").unwrap_or(BUILDS[0]));
        engine.set_option("--build", next);
    }

    /// Ends all processes and removes what they wrote.
    pub(super) fn stop(&mut self) {
        let all = self
            .gateways
            .iter_mut()
            .chain(&mut self.replicas)
            .chain(&mut self.engines)
            .chain(&mut self.others);
        for slot in all {
            slot.kill();
        }
        if !self.keeps {
            let _left = fs::remove_dir_all(&self.folder);
        }
    }

    fn slot(&self, process: Process) -> &Slot {
        match process {
            Process::Replica(place) => &self.replicas[place],
            Process::Gateway(place) => &self.gateways[place],
            Process::Engine(place) => &self.engines[place],
        }
    }

    fn slot_mut(&mut self, process: Process) -> &mut Slot {
        match process {
            Process::Replica(place) => &mut self.replicas[place],
            Process::Gateway(place) => &mut self.gateways[place],
            Process::Engine(place) => &mut self.engines[place],
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn programs_folder() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(text)?;
    own.parent()
        .map(Path::to_owned)
        .ok_or_else(|| "the program lies in no folder".to_owned())
}
