//! Admission: whether a request can still meet its deadline.
