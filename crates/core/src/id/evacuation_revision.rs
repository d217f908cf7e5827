number_newtype! {
    /// The number of a change of the evacuated data centres. Counts all changes of a deployment from 1; 0 means that there
    /// was none.
    EvacuationRevision(u64)
}
