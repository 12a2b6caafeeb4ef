//! What makes two requests the same request.

use garnet_types::TenantId;
use xxhash_rust::xxh3::Xxh3;

use crate::call::Work;

/// Hash of everything that makes two requests with one key the same request.
pub(crate) fn body_hash(tenant: &TenantId, work: &Work) -> u64 {
    let mut hash = Xxh3::new();
    let mut add = |part: &[u8]| {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    };
    add(tenant.as_str().as_bytes());
    match work {
        Work::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } => {
            add(model.as_str().as_bytes());
            add(prompt.as_bytes());
            add(&max_tokens.to_le_bytes());
        }
        Work::Application {
            service,
            method,
            path,
            body,
            ..
        } => {
            add(service.as_str().as_bytes());
            add(method.as_bytes());
            add(path.as_bytes());
            add(body);
        }
    }
    hash.digest()
}
