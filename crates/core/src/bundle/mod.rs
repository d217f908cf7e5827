//! The bundle: the versioned configuration that operators sign off and roll out.

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

/// A bundle that passed every check.
#[derive(Clone, Debug)]
pub struct Bundle {
    /// The name that the operators gave to this version.
    pub version: BundleVersion,
    /// Who may submit, sign off and roll; names are unique.
    pub signers: Vec<Signer>,
    /// Names are unique.
    pub models: Vec<Model>,
    /// Names are unique; plain services are pools of kind `service`.
    pub pools: Vec<Pool>,
    /// Names are unique; each stage names a pool and a model of this bundle.
    pub pipelines: Vec<Pipeline>,
    /// Ids and token digests are unique.
    pub accounts: Vec<Account>,
    /// Limits that hold for the whole deployment.
    pub limits: Limits,
    /// The digest of the text that this bundle was read from.
    pub digest: Sha256Digest,
    /// Positions in `accounts`.
    accounts_by_token: HashMap<Sha256Digest, usize>,
    /// Positions in `pipelines`.
    pipelines_by_name: HashMap<PipelineName, usize>,
}

impl Bundle {
    /// Finds the account whose token has this digest.
    pub fn account_by_token(&self, token: &Sha256Digest) -> Option<&Account> {
        self.accounts_by_token.get(token).map(|&i| &self.accounts[i])
    }

    /// Finds a pipeline by name.
    pub fn pipeline(&self, name: &PipelineName) -> Option<&Pipeline> {
        self.pipelines_by_name.get(name).map(|&i| &self.pipelines[i])
    }

    /// Finds a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == *name)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|m| m.name == *name)
    }

    /// Finds a signer by name.
    pub fn signer(&self, name: &SignerName) -> Option<&Signer> {
        self.signers.iter().find(|s| s.name == *name)
    }
}

impl FromStr for Bundle {
    type Err = FieldErrors;

    /// Reads and checks a bundle; reports every error that it finds.
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
