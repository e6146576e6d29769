//! Throw-away keys and certificates for the links between daemons.

use std::fs;
use std::path::Path;

use anyhow::Context;
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose};

/// Writes `ca.pem`, `node.pem` and `node.key` to `dir`, and a second set of a foreign authority to `dir/foreign`.
///
/// # Errors
///
/// If a file can't be written.
pub fn write_keys(dir: &Path) -> anyhow::Result<()> {
    write_set(dir)?;
    write_set(&dir.join("foreign"))
}

fn write_set(dir: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(dir).with_context(|| format!("create {}", dir.display()))?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate()?;
    let authority = params.self_signed(&key)?;
    let issuer = Issuer::new(params, key);

    let names = ["pistachiostair", "localhost", "127.0.0.1"].map(String::from);
    let mut params = CertificateParams::new(names)?;
    params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate()?;
    let node = params.signed_by(&key, &issuer)?;

    let write = |name: &str, text: String| {
        let path = dir.join(name);
        fs::write(&path, text).with_context(|| format!("write {}", path.display()))
    };
    write("ca.pem", authority.pem())?;
    write("node.pem", node.pem())?;
    write("node.key", key.serialize_pem())
}
