use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

use crate::unit::{EngineTime, TokenCount};

/// What a call cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens that were read.
    pub input_tokens: TokenCount,
    /// Tokens that were made.
    pub output_tokens: TokenCount,
    /// Time that the endpoint spent.
    pub engine_us: EngineTime,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.input_tokens = (self.input_tokens.get() + other.input_tokens.get()).into();
        self.output_tokens = (self.output_tokens.get() + other.output_tokens.get()).into();
        self.engine_us = (self.engine_us.get() + other.engine_us.get()).into();
    }
}
