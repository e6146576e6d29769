//! Keys of the links between daemons that have no files: an authority in the table service signs a certificate that
//! each daemon makes at its start. Who can write to the table service is trusted with it already.

use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::edge::{Check, Commit, Table, Transaction, Write};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::RegionName;
use crate::peer_tls::{PeerTls, SERVER_NAME};
use crate::record;

record! {
    /// Value of the row `pki/R`, as JSON.
    pub(crate) struct Authority {
        /// Certificate of the authority, PEM.
        certificate: String,
        /// Its private key, PEM.
        key: String,
    }
}

fn broken(error: impl Into<anyhow::Error>) -> Error {
    Error::new(ErrorKind::Internal, "make certificates", error)
}

fn authority_params() -> Result<CertificateParams> {
    let mut params = CertificateParams::new(Vec::new()).map_err(broken)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

/// Key of the row that holds the authority of a region.
fn authority_key(region: &RegionName) -> String {
    format!("pki/{region}")
}

impl Authority {
    fn generate() -> Result<Self> {
        let key = KeyPair::generate().map_err(broken)?;
        let certificate = authority_params()?.self_signed(&key).map_err(broken)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Reads the region's authority, and makes it if there is none.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the table service does not answer: the call can be repeated.
    pub(crate) async fn load(table: &dyn Table, region: &RegionName) -> Result<Self> {
        let key = authority_key(region);
        loop {
            if let Some(row) = table.get(&key).await? {
                return serde_json::from_str(&row.value).map_err(|e| broken(e).at(key.as_str()));
            }
            let made = Self::generate()?;
            let transaction = Transaction {
                checks: vec![Check {
                    key: key.clone(),
                    version: 0,
                }],
                writes: vec![Write {
                    key: key.clone(),
                    value: Some(serde_json::to_string(&made).map_err(broken)?),
                }],
            };
            if let Commit::Done { .. } = table.commit(&transaction).await? {
                return Ok(made);
            }
        }
    }

    /// Makes a key and signs a certificate for it.
    ///
    /// # Errors
    ///
    /// `Internal` if the authority's key can't be used.
    pub(crate) fn issue(&self) -> Result<PeerTls> {
        let authority = KeyPair::from_pem(&self.key).map_err(broken)?;
        let issuer = Issuer::new(authority_params()?, authority);
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(broken)?;
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().map_err(broken)?;
        let certificate = params.signed_by(&key, &issuer).map_err(broken)?;
        Ok(PeerTls {
            authority: self.certificate.clone().into_bytes(),
            certificate: certificate.pem().into_bytes(),
            key: key.serialize_pem().into_bytes(),
        })
    }
}
