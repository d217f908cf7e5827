//! Validation of submitted bundle documents.

use masticstair_core::bundle::{Bundle, Right};
use masticstair_core::toml_reader::FieldError;

use super::{BundleRefusal, MAX_REPORTED_ERRORS};

/// Parses and validates a document, and reports every error.
pub(super) fn parse_content(content: &str) -> Result<Bundle, BundleRefusal> {
    let bundle = content.parse::<Bundle>().map_err(|e| invalid(&e.0))?;
    check_rights(&bundle).map(|()| bundle)
}

/// Refuses a bundle whose signers cannot submit, sign off and roll: once in force, it could never be
/// replaced.
pub(super) fn check_rights(bundle: &Bundle) -> Result<(), BundleRefusal> {
    let errors = missing_rights(bundle);
    if errors.is_empty() { Ok(()) } else { Err(invalid(&errors)) }
}

fn missing_rights(bundle: &Bundle) -> Vec<FieldError> {
    [Right::Submit, Right::SignOff, Right::Roll]
        .into_iter()
        .filter(|right| !bundle.signers.iter().any(|s| s.may.contains(right)))
        .map(|right| {
            let allowed = format!("at least one signer with the right {right}");
            FieldError::new("signers.may", "(none)", allowed)
        })
        .collect()
}

fn invalid(errors: &[FieldError]) -> BundleRefusal {
    let total = u32::try_from(errors.len()).unwrap_or(u32::MAX);
    let errors = errors.iter().take(MAX_REPORTED_ERRORS).map(|e| e.to_string().into()).collect();
    BundleRefusal::Invalid { errors, total }
}
