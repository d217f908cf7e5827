//! Account limits that hold over all hosts together.
