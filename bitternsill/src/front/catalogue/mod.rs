//! SRU and Z39.50.
