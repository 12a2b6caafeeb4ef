//! What makes two requests the same request.

use garnet_types::TenantId;
use xxhash_rust::xxh3::Xxh3;

use crate::call::Work;

/// Hash of everything that makes two requests with one key the same request.
pub(crate) fn body_hash(tenant: &TenantId, work: &Work) -> u64 {
    let mut hash = Xxh3::new();
    let mut add_field = |field: &[u8]| {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    };
    add_field(tenant.as_str().as_bytes());
    match work {
        Work::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } => {
            add_field(model.as_str().as_bytes());
            add_field(prompt.as_bytes());
            add_field(&max_tokens.to_le_bytes());
        }
        Work::Application {
            service,
            method,
            path,
            body,
            ..
        } => {
            add_field(service.as_str().as_bytes());
            add_field(method.as_bytes());
            add_field(path.as_bytes());
            add_field(body);
        }
    }
    hash.digest()
}
