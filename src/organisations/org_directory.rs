use super::{KeyDigest, Organisation};
use crate::keys::OrgKey;
use crate::{Error, Result};
use std::collections::HashMap;
use std::sync::Arc;

/// The organisations of one configuration, indexed by their callers' keys.
#[derive(Debug, Clone, Default)]
pub struct OrgDirectory {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    by_name: HashMap<OrgKey, Arc<Organisation>>,
}

impl TryFrom<&[Arc<Organisation>]> for OrgDirectory {
    type Error = Error;

    /// Fails if two organisations have the same name or a key in common, since the organisation of a
    /// caller would be ambiguous.
    fn try_from(organisations: &[Arc<Organisation>]) -> Result<Self> {
        let mut directory = Self::default();
        for organisation in organisations {
            let name = &organisation.name;
            let duplicate = directory.by_name.insert(organisation.key(), Arc::clone(organisation));
            if duplicate.is_some() {
                return Err(Error::Protocol(format!("duplicate organisation {name:?}")));
            }
            for digest in &organisation.keys {
                let holder = directory.by_key.insert(*digest, Arc::clone(organisation));
                if let Some(other) = holder.filter(|other| other.name != *name) {
                    let other = &other.name;
                    let text = format!("organisations {other:?} and {name:?} have a key in common");
                    return Err(Error::Protocol(text));
                }
            }
        }
        Ok(directory)
    }
}

impl OrgDirectory {
    /// Whether callers need no keys, since there are no organisations.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The organisation that holds a caller's key.
    pub fn holder(&self, digest: KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(&digest)
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// An organisation by the key of its name.
    pub fn organisation(&self, key: OrgKey) -> Option<&Arc<Organisation>> {
        self.by_name.get(&key)
    }
}
