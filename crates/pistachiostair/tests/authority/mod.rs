//! An authority that signs daemons' certificates.

use pistachiostair::PeerTls;
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};

pub(crate) struct Authority {
    pub(crate) pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub(crate) fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Self {
            pem,
            issuer: Issuer::new(params, key),
        }
    }

    pub(crate) fn tls(&self) -> PeerTls {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec!["pistachiostair".to_owned()]).unwrap();
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        PeerTls {
            authority: self.pem.clone().into_bytes(),
            certificate: certificate.pem().into_bytes(),
            key: key.serialize_pem().into_bytes(),
        }
    }
}
