//! Stand-in for `chervil_claim` until it is merged: refuses every claim.

use std::sync::Arc;

use async_trait::async_trait;
use chervil_platform::StoreError;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::SettleRequest;

/// At-most-once execution as the agent uses it.
#[async_trait]
pub(crate) trait ClaimBook: Send + Sync {
    /// Bucket of a key, or what to do about a malformed key.
    fn bucket(&self, key: &str) -> Result<Box<str>, Box<str>>;

    /// Claims a key.
    async fn claim(&self, request: ClaimRequest) -> ClaimReply;

    /// Records the end of claimed work.
    async fn settle(&self, request: SettleRequest) -> Result<(), StoreError>;

    /// Deletes buckets past the retention period.
    async fn sweep(&self);
}

struct NoClaims;

pub(crate) fn claims() -> Arc<dyn ClaimBook> {
    Arc::new(NoClaims)
}

#[async_trait]
impl ClaimBook for NoClaims {
    fn bucket(&self, key: &str) -> Result<Box<str>, Box<str>> {
        Ok(key.into())
    }

    async fn claim(&self, _: ClaimRequest) -> ClaimReply {
        ClaimReply::Unavailable
    }

    async fn settle(&self, _: SettleRequest) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn sweep(&self) {}
}
