//! Turns of the connections of a thread. A peer that sends without a pause would otherwise hold the thread, because a
//! library that reads a connection goes on while bytes are there.

mod progress;
mod turn;
mod turn_stream;

pub(crate) use progress::Progress;
pub(crate) use turn::Turn;
pub(crate) use turn_stream::TurnStream;
