//! Reads the platform's list of machines, over HTTP.

use std::time::Duration;

use garnet_control::MachineEntry;
use garnet_control_shell::{DirectoryError, DirectoryPort, ListedMachines};
use garnet_engine_api::paths;
use garnet_runtime::{HttpClient, client};
use garnet_types::ByteCount;

use crate::engines::fetch;

const INTERVAL: Duration = Duration::from_millis(500);
/// Longest list: 10,000 entries of some 800 bytes.
const MAX_LIST: ByteCount = ByteCount(8 * 1024 * 1024);

/// The list at one address.
pub(crate) struct MachineList {
    address: String,
    http: HttpClient,
}

impl MachineList {
    pub(crate) fn new(address: String, http: HttpClient) -> Self {
        MachineList { address, http }
    }
}

impl DirectoryPort for MachineList {
    async fn read(&self) -> Result<ListedMachines, DirectoryError> {
        let http = self.http.clone().with_max_answer(MAX_LIST);
        let request = client::get_request(paths::MACHINES);
        let unreachable = || DirectoryError::Unreachable(self.address.clone());
        let machines: Option<Vec<MachineEntry>> = fetch(&http, &self.address, request).await;
        Ok(ListedMachines {
            machines: machines.ok_or_else(unreachable)?,
            skipped_entries: Vec::new(),
        })
    }

    fn interval(&self) -> Duration {
        INTERVAL
    }

    fn leader_only(&self) -> bool {
        false
    }
}
