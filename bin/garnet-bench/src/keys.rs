//! `garnet-bench keys`: what tenants and their keys cost: bytes of the table,
//! time to make it ready, time of a look-up.

use std::time::{Duration, Instant};

use garnet_routes::{ApiKey, RouteIndex, RouteTable, Tenant};
use garnet_types::TenantId;

use crate::options::Options;

const HELP: &str = "\
Usage: garnet-bench keys [OPTIONS]

  --tenants N   tenants of the table (default 25000)
  --keys N      keys of each tenant (default 4)
  --look-ups N  keys that are looked up, every second one unknown (default 1000000)

Exit codes: 0 measured, 2 wrong usage.
";

/// Different keys that are looked up, one after the other.
const PRESENTED: usize = 4096;

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let tenants: usize = options.value("tenants", 25_000)?;
    let keys: usize = options.value("keys", 4)?;
    let look_ups: usize = options.value("look-ups", 1_000_000)?;
    options.check_all_asked()?;
    let table = table(tenants, keys);
    let encoded = bincode::serde::encode_to_vec(&table, bincode::config::standard());
    let bytes = encoded.map_err(|error| error.to_string())?.len();
    let (checked, check_time) = timed(|| table.check());
    checked.map_err(|findings| findings.to_string())?;
    let (index, build_time) = timed(|| RouteIndex::new(table.clone()));
    let presented: Vec<ApiKey> = (0..PRESENTED)
        .filter_map(|number| ApiKey::new(presented(number, tenants, keys)))
        .collect();
    let (found, look_up_time) = timed(|| {
        let keys = presented.iter().cycle().take(look_ups);
        keys.filter(|key| index.tenant_of(key).is_some()).count()
    });
    garnet_runtime::print_line!("tenants             {tenants}");
    garnet_runtime::print_line!("keys                {}", tenants * keys);
    garnet_runtime::print_line!("bytes of the table  {bytes}");
    garnet_runtime::print_line!("check, ms           {:.1}", millis(check_time));
    garnet_runtime::print_line!("make ready, ms      {:.1}", millis(build_time));
    garnet_runtime::print_line!("look-ups            {look_ups}, {found} found");
    let each = look_up_time.as_secs_f64() * 1e9 / look_ups.max(1) as f64;
    garnet_runtime::print_line!("a look-up, ns       {each:.0}");
    Ok(true)
}

fn table(tenants: usize, keys: usize) -> RouteTable {
    let tenant = |number: usize| Tenant {
        name: TenantId::new(format!("tenant-{number}")),
        priority: Some(1),
        keys: (0..keys)
            .filter_map(|key| ApiKey::new(key_text(number, key)))
            .map(|key| key.digest())
            .collect(),
    };
    RouteTable {
        version: 1,
        tenants: Some((0..tenants).map(tenant).collect()),
        ..RouteTable::default()
    }
}

fn key_text(tenant: usize, key: usize) -> String {
    format!("key-{key}-of-tenant-{tenant}")
}

/// Every second key is held by nobody.
fn presented(number: usize, tenants: usize, keys: usize) -> String {
    // A prime, so that the tenants are spread.
    let tenant = number * 7919 % tenants.max(1);
    match number % 2 {
        0 => key_text(tenant, number % keys.max(1)),
        _ => format!("unknown-{number}"),
    }
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let began = Instant::now();
    let done = work();
    (done, began.elapsed())
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
