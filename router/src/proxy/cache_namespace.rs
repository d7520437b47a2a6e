//! The cache namespace of a request: which cached prompt segments it may use and leave.

use crate::fleet::ConfigurationInUse;
use compact_str::{CompactString, format_compact};
use control::configuration::{Configuration, Tenant};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The namespace for a request of `tenant`, or of no tenant, with this API key.
///
/// An isolated tenant has a namespace of its own; the others share one. Where the configuration is
/// not confirmed as the latest, a newer one may have isolated any tenant, so that none of them
/// shares segments.
pub fn cache_namespace(
    in_use: &ConfigurationInUse,
    tenant: Option<&Tenant>,
    api_key: Option<&str>,
) -> CompactString {
    match tenant {
        Some(tenant) if tenant.isolated || !in_use.is_confirmed => own_namespace(tenant),
        None if !in_use.is_confirmed => namespace_of_key(api_key),
        _ => shared_namespace(&in_use.configuration),
    }
}

fn own_namespace(tenant: &Tenant) -> CompactString {
    format_compact!("t{}-", tenant.name)
}

/// The namespace of requests that have no tenant here. A newer configuration may assign their key to
/// one.
fn namespace_of_key(api_key: Option<&str>) -> CompactString {
    let mut hasher = DefaultHasher::new();
    api_key.hash(&mut hasher);
    format_compact!("k{:016x}-", hasher.finish())
}

/// The namespace of all tenants that are not isolated. It contains a hash of the isolated tenants'
/// names, so that segments which a tenant cached before it was isolated are not found afterwards.
fn shared_namespace(configuration: &Configuration) -> CompactString {
    let mut hasher = DefaultHasher::new();
    let isolated = configuration
        .tenants
        .iter()
        .filter(|tenant| tenant.isolated);
    isolated.for_each(|tenant| tenant.name.hash(&mut hasher));
    format_compact!("s{:08x}-", hasher.finish() as u32)
}
