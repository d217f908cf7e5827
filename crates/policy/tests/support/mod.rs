//! Operators and bundles for tests.

use ed25519_dalek::{Signer as _, SigningKey};
use masticstair_core::bundle::{PublicKey, Right, Signer};
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, CommandSignature, DeploymentName, SignedHeader, signed_text,
};

/// An operator with its signing key.
pub struct Operator {
    pub name: &'static str,
    key: SigningKey,
}

impl Operator {
    pub fn new(name: &'static str, seed: u8) -> Self {
        Self { name, key: SigningKey::from_bytes(&[seed; 32]) }
    }

    pub fn signer(&self, may: &[Right]) -> Signer {
        let key = PublicKey::new(self.key.verifying_key());
        Signer { name: self.name.parse().unwrap(), key, may: may.into() }
    }

    pub fn command(&self, id: &str, expected: u64, action: BundleAction) -> BundleCommand {
        self.command_for(&deployment(), id, expected, action)
    }

    pub fn command_for(
        &self,
        deployment: &DeploymentName,
        id: &str,
        expected: u64,
        action: BundleAction,
    ) -> BundleCommand {
        let (id, signer) = (id.parse().unwrap(), self.name.parse().unwrap());
        let (expected, digest) = (Revision::new(expected), action.digest());
        let text = signed_text(deployment, &id, expected, &signer, action.right(), &digest);
        let signature = CommandSignature::from_bytes(self.key.sign(text.as_bytes()).to_bytes());
        BundleCommand { header: SignedHeader { id, expected, signer, signature }, action }
    }

    fn table(&self) -> String {
        let key = PublicKey::new(self.key.verifying_key());
        let name = self.name;
        format!(
            "[[signers]]\nname = \"{name}\"\nkey = \"{key}\"\nmay = [\"submit\", \"sign-off\", \"roll\"]\n"
        )
    }
}

pub fn deployment() -> DeploymentName {
    "test".parse().unwrap()
}

/// Returns a bundle whose signers have every right.
pub fn bundle_text(version: &str, operators: &[&Operator], accounts: usize) -> String {
    let mut text = format!("version = \"{version}\"\n");
    operators.iter().for_each(|operator| text.push_str(&operator.table()));
    for i in 0..accounts {
        let token = Sha256Digest::of(format!("token-{i}").as_bytes());
        text.push_str(&format!(
            "[[accounts]]\nid = \"account-{i:05}\"\ntoken_sha256 = \"{token}\"\nweight = 10\n\
             rate_per_s = 100.0\nburst = 200\nconcurrency = 50\n"
        ));
    }
    text
}
