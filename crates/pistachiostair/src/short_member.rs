//! A member as heartbeats carry it, with short field names. The resource API shows members under their full names.

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonName, DomainName, Incarnation, RegionName, Revision};
use crate::resource::{Member, MemberState};

#[derive(Serialize, Deserialize)]
struct ShortMember {
    #[serde(rename = "n", alias = "name")]
    name: DaemonName,
    #[serde(rename = "i", alias = "incarnation")]
    incarnation: Incarnation,
    #[serde(rename = "a", alias = "address")]
    address: String,
    #[serde(rename = "r", alias = "region")]
    region: RegionName,
    #[serde(rename = "d", alias = "domain")]
    domain: DomainName,
    #[serde(rename = "s", alias = "state")]
    state: MemberState,
    #[serde(rename = "p", alias = "policy")]
    policy: Revision,
}

impl From<&Member> for ShortMember {
    fn from(member: &Member) -> Self {
        let Member {
            name,
            incarnation,
            address,
            region,
            domain,
            state,
            policy,
        } = member.clone();
        Self {
            name,
            incarnation,
            address,
            region,
            domain,
            state,
            policy,
        }
    }
}

impl From<ShortMember> for Member {
    fn from(short: ShortMember) -> Self {
        Self {
            name: short.name,
            incarnation: short.incarnation,
            address: short.address,
            region: short.region,
            domain: short.domain,
            state: short.state,
            policy: short.policy,
        }
    }
}

/// One member, for `serde(with)`.
pub(crate) mod one {
    use super::{Deserialize, Member, Serialize, ShortMember};
    use serde::{Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(member: &Member, serializer: S) -> Result<S::Ok, S::Error> {
        ShortMember::from(member).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Member, D::Error> {
        ShortMember::deserialize(deserializer).map(Member::from)
    }
}

/// Several members, for `serde(with)`.
pub(crate) mod many {
    use super::{Deserialize, Member, ShortMember};
    use serde::{Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(members: &[Member], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(members.iter().map(ShortMember::from))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Member>, D::Error> {
        let members = Vec::<ShortMember>::deserialize(deserializer)?;
        Ok(members.into_iter().map(Member::from).collect())
    }
}
