//! Canary permits and suspect requests.
