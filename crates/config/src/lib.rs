//! Configuration of an installation: its layout in the platform's store, the
//! changes that operators make to it, and the replica that each host keeps.
//!
//! The head, a single key, is replaced with each change by compare-and-swap.
//! It refers to immutable records with the zones, services and servers.

mod change;
mod draft;
mod editor;
mod error;
mod fetch;
mod head;
mod history;
mod records;
mod replica;
mod result;
mod sweep;

pub use change::Change;
pub use editor::Editor;
pub use editor::EditorSettings;
pub use error::ConfigError;
pub use fetch::read_delta;
pub use head::HEAD_KEY;
pub use head::Head;
pub use head::Operation;
pub use head::Override;
pub use head::RecordRef;
pub use head::Target;
pub use history::HISTORY_KEY;
pub use history::read_history;
pub use records::MAX_SERVERS_PER_RECORD;
pub use records::RECORD_PREFIX;
pub use records::RecordBody;
pub use records::record_key;
pub use records::split_catalog;
pub use replica::ConfigReplica;
pub use result::Accepted;
pub use result::ChangeResult;
