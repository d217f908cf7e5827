//! Generates `src/generated/peer_capnp.rs` from the schema. Requires the `capnp` compiler on the path.

use std::path::Path;

fn main() -> Result<(), capnp::Error> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    capnpc::CompilerCommand::new()
        .src_prefix(&folder)
        .file(folder.join("peer.capnp"))
        .output_path(&folder)
        .default_parent_module(vec!["generated".into()])
        .run()
}
