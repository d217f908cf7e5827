//! Messages between hosts over Cap'n Proto RPC.
