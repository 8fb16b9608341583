//! Stand-in for `chervil_config` until it is merged: a head without records.

use chervil_base::catalog::CatalogSpec;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::PullReply;

pub(crate) const HEAD_KEY: &str = "config/head";

#[derive(serde::Deserialize)]
struct Head {
    revision: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Adopted {
    revision: u64,
    head: Option<Box<str>>,
}

impl Adopted {
    pub(crate) fn new() -> Adopted {
        Adopted::default()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn apply(&mut self, offer: &PullReply) -> Result<bool, serde_json::Error> {
        let Some(text) = &offer.head else { return Ok(false) };
        let head: Head = serde_json::from_str(text)?;
        if head.revision <= self.revision {
            return Ok(false);
        }
        self.revision = head.revision;
        self.head = Some(text.clone());
        Ok(true)
    }

    pub(crate) fn newer_than(&self, revision: u64) -> PullReply {
        let head = self.head.clone().filter(|_| self.revision > revision);
        PullReply { head, ..PullReply::default() }
    }

    pub(crate) fn catalog(&self) -> CatalogSpec {
        CatalogSpec { revision: self.revision, ..CatalogSpec::default() }
    }
}

pub(crate) async fn read_newer(
    store: &dyn Store,
    adopted: &Adopted,
) -> Result<PullReply, StoreError> {
    let Some(found) = store.get(HEAD_KEY).await? else { return Ok(PullReply::default()) };
    let newer =
        serde_json::from_str::<Head>(&found.value).is_ok_and(|h| h.revision > adopted.revision);
    Ok(PullReply { head: Some(found.value).filter(|_| newer), ..PullReply::default() })
}
