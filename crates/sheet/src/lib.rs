//! Part of chervillink; see docs/design.md.
