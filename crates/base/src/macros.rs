//! Macros that add the usual derives to a declaration.

/// Declares types that are sent between processes or written to the store.
///
/// The calling crate must depend on `serde` with the `derive` feature.
#[macro_export]
macro_rules! message {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares small `Copy` types that are used as map keys.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Declares plain data types that are used within one process only and
/// therefore need no serialization.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}
