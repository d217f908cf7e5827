//! The bundle: the versioned configuration that operators submit, sign off and roll out.

mod account;
mod bundle_version;
mod limits;
mod model;
mod parse_right_error;
mod parse_stage_kind_error;
mod pipeline;
mod pool;
mod public_key;
mod public_key_error;
mod read;
mod right;
mod signer;
mod stage;
mod stage_kind;
mod validate;

pub use account::Account;
pub use bundle_version::BundleVersion;
pub use limits::Limits;
pub use model::Model;
pub use parse_right_error::ParseRightError;
pub use parse_stage_kind_error::ParseStageKindError;
pub use pipeline::Pipeline;
pub use pool::Pool;
pub use public_key::PublicKey;
pub use public_key_error::PublicKeyError;
pub use right::Right;
pub use signer::Signer;
pub use stage::Stage;
pub use stage_kind::StageKind;

use std::collections::HashMap;
use std::str::FromStr;

use crate::id::{ModelName, PipelineName, PoolName, SignerName};
use crate::toml_reader::{FieldErrors, read_document};
use crate::unit::Sha256Digest;

/// A validated bundle.
#[derive(Clone, Debug)]
pub struct Bundle {
    /// Chosen by the operators who submit the bundle.
    pub version: BundleVersion,
    /// The operators who may submit, sign off and roll; names are unique.
    pub signers: Vec<Signer>,
    /// Names are unique.
    pub models: Vec<Model>,
    /// Names are unique. Contains the services of the bundle as pools of kind `Service`.
    pub pools: Vec<Pool>,
    /// Names are unique; each stage names a pool and a model of this bundle.
    pub pipelines: Vec<Pipeline>,
    /// Ids and token digests are unique.
    pub accounts: Vec<Account>,
    /// The defaults apply where the bundle sets no limits.
    pub limits: Limits,
    /// The SHA-256 digest of the TOML text of the bundle.
    pub digest: Sha256Digest,
    /// Indices into `accounts`.
    accounts_by_token: HashMap<Sha256Digest, usize>,
    /// Indices into `pipelines`.
    pipelines_by_name: HashMap<PipelineName, usize>,
}

impl Bundle {
    /// Finds the account by the digest of its bearer token.
    pub fn account_by_token(&self, token: &Sha256Digest) -> Option<&Account> {
        self.accounts_by_token.get(token).map(|&i| &self.accounts[i])
    }

    /// Finds a pipeline by name, in constant time.
    pub fn pipeline(&self, name: &PipelineName) -> Option<&Pipeline> {
        self.pipelines_by_name.get(name).map(|&i| &self.pipelines[i])
    }

    /// Finds a pool by name; services are pools too.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == *name)
    }

    /// Finds a model by name with a linear search.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|m| m.name == *name)
    }

    /// Finds a signer by name with a linear search.
    pub fn signer(&self, name: &SignerName) -> Option<&Signer> {
        self.signers.iter().find(|s| s.name == *name)
    }
}

impl FromStr for Bundle {
    type Err = FieldErrors;

    /// Parses and validates a bundle in TOML.
    ///
    /// # Errors
    ///
    /// Returns all errors of single values, such as a missing key. If there are none, returns all errors
    /// of rules that involve several values, such as unique names.
    fn from_str(text: &str) -> Result<Self, FieldErrors> {
        let mut bundle =
            read_document(text, |r| read::read_bundle(r, Sha256Digest::of(text.as_bytes())))?;
        validate::check_bundle(&bundle)?;
        let tokens = bundle.accounts.iter().enumerate();
        bundle.accounts_by_token = tokens.map(|(i, a)| (a.token, i)).collect();
        let names = bundle.pipelines.iter().enumerate();
        bundle.pipelines_by_name = names.map(|(i, p)| (p.name.clone(), i)).collect();
        Ok(bundle)
    }
}
