//! Common sets of derives.

/// Declares types that travel between processes or into the store.
///
/// The crate that uses it needs `serde` with the `derive` feature.
#[macro_export]
macro_rules! message {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares small `Copy` types that serve as keys.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Declares plain values that stay inside one process.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}
