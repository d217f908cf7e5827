use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

use crate::unit::{EngineTime, TokenCount};

/// The resources that a call consumed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The number of tokens of the input.
    pub input_tokens: TokenCount,
    /// The number of generated tokens.
    pub output_tokens: TokenCount,
    /// The processing time at the endpoint in microseconds.
    pub engine_us: EngineTime,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.input_tokens = (self.input_tokens.get() + other.input_tokens.get()).into();
        self.output_tokens = (self.output_tokens.get() + other.output_tokens.get()).into();
        self.engine_us = (self.engine_us.get() + other.engine_us.get()).into();
    }
}
