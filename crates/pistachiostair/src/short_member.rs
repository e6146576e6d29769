//! A member as heartbeats carry it, with short field names. The resource API shows members under their full names.

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonName, DomainName, Incarnation, RegionName, Revision};
use crate::resource::{Member, MemberState};

/// For `serde(with)` on one member.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Member")]
pub(crate) struct ShortMember {
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

#[derive(Serialize, Deserialize)]
struct Item(#[serde(with = "ShortMember")] Member);

/// Several members, for `serde(with)`.
pub(crate) mod many {
    use super::{Deserialize, Item, Member};
    use serde::{Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(members: &[Member], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(members.iter().cloned().map(Item))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Member>, D::Error> {
        let members = Vec::<Item>::deserialize(deserializer)?;
        Ok(members.into_iter().map(|Item(member)| member).collect())
    }
}
