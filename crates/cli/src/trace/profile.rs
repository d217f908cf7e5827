use masticstair_core::prelude::*;

/// What a deployment's callers ask for.
#[derive(Clone, Debug)]
pub struct TraceProfile {
    /// The pipelines with their shares.
    pub pipelines: Vec<PipelineUse>,
    /// The accounts with their shares of the requests.
    pub accounts: Vec<(AccountId, Weight)>,
}

/// How a pipeline is used.
#[derive(Clone, Debug)]
pub struct PipelineUse {
    /// The pipeline.
    pub name: PipelineName,
    /// Its share of the requests.
    pub share: Weight,
    /// The deadline that callers set.
    pub deadline: Millis,
    /// Whether callers ask for a stream.
    pub stream: bool,
    /// Whether a call must not be repeated.
    pub once: bool,
    /// Tokens of an answer on average; 0 where nothing is generated.
    pub tokens: TokenCount,
}

/// What Trepiserv's fitters ask for.
pub fn trepiserv_profile() -> TraceProfile {
    profile(
        &[
            ("survey-summary", 20, 8_000, false, false, 24),
            ("quote-draft", 20, 5_000, false, false, 16),
            ("profile-suggestions", 15, 6_000, true, false, 24),
            ("stock-lookup", 20, 1_000, false, false, 0),
            ("price-lookup", 10, 1_000, false, false, 0),
            ("report-save", 5, 3_000, false, false, 0),
            ("place-order", 6, 3_000, false, true, 0),
            ("book-visit", 4, 3_000, false, true, 0),
        ],
        &[
            ("north-franchise", 40),
            ("south-franchise", 30),
            ("tartu-fitters", 10),
            ("parnu-fitters", 10),
            ("narva-fitters", 10),
        ],
    )
}

/// What the Council's callers ask for.
pub fn council_profile() -> TraceProfile {
    profile(
        &[
            ("habitat-assessment", 20, 9_000, false, false, 32),
            ("landowner-summary", 20, 7_000, false, false, 24),
            ("crew-answer", 20, 4_000, true, false, 16),
            ("permit-status", 20, 1_000, false, false, 0),
            ("map-lookup", 8, 1_000, false, false, 0),
            ("log-reading", 4, 3_000, false, false, 0),
            ("file-permit", 5, 3_000, false, true, 0),
            ("send-notice", 3, 3_000, false, true, 0),
        ],
        &[
            ("field-crews", 40),
            ("review-office", 30),
            ("ranchers", 10),
            ("road-crews", 10),
            ("nation-monitors", 10),
        ],
    )
}

fn profile(
    pipelines: &[(&str, u32, u64, bool, bool, u64)],
    accounts: &[(&str, u32)],
) -> TraceProfile {
    let pipelines =
        pipelines.iter().filter_map(|&(name, share, deadline, stream, once, tokens)| {
            Some(PipelineUse {
                name: name.parse().ok()?,
                share: share.into(),
                deadline: deadline.into(),
                stream,
                once,
                tokens: tokens.into(),
            })
        });
    let accounts =
        accounts.iter().filter_map(|&(id, share)| Some((id.parse().ok()?, share.into())));
    TraceProfile { pipelines: pipelines.collect(), accounts: accounts.collect() }
}
