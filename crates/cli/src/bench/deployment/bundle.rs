/// The bearer token of the only account.
pub const TOKEN: &str = "example-caller";

/// The pools and pipelines of the scenes with one host: `one` has one stage, `four` has four, and
/// `stream` generates.
const POOLS_AND_PIPELINES: &str = r#"
version = "bench"
[[signers]]
name = "example-operator"
key = "baf63dbecf6cf79358a0cbec333e011eea7de9494d3f95af8cf521ffd4bf91c3"
may = ["submit", "sign-off", "roll"]
[limits]
hosts = 1
[[models]]
name = "bench-1b"
version = "1"
[[pools]]
name = "encoders"
kind = "encode"
[[pools]]
name = "retrievers"
kind = "retrieve"
[[pools]]
name = "rerankers"
kind = "rerank"
[[pools]]
name = "engines"
kind = "generate"
[[pipelines]]
name = "one"
deadline_ms = 10000
stages = [{ name = "encode", kind = "encode", pool = "encoders" }]
[[pipelines]]
name = "four"
deadline_ms = 10000
stages = [
  { name = "encode", kind = "encode", pool = "encoders" },
  { name = "retrieve", kind = "retrieve", pool = "retrievers" },
  { name = "rerank", kind = "rerank", pool = "rerankers" },
  { name = "generate", kind = "generate", pool = "engines", model = "bench-1b" },
]
[[pipelines]]
name = "stream"
deadline_ms = 30000
stages = [{ name = "generate", kind = "generate", pool = "engines", model = "bench-1b" }]
"#;

/// Returns the bundle of the scenes with one host. The limits of its account are out of reach, so that
/// the host itself is measured.
pub fn bundle_text() -> String {
    let token = masticstair_core::prelude::Sha256Digest::of(TOKEN.as_bytes());
    format!(
        "{POOLS_AND_PIPELINES}[[accounts]]\nid = \"caller\"\ntoken_sha256 = \"{token}\"\n\
         rate_per_s = 1000000\nburst = 1000000\nconcurrency = 1000000\n"
    )
}
