use super::ChunkTable;

const ACCOUNTS: usize = 2_000;

/// Returns a document that differs from other versions in its version and the weight of one account.
fn content(version: usize) -> String {
    let account = |i: usize| {
        let weight = if i == version * 31 % ACCOUNTS { 2 } else { 1 };
        format!("[[accounts]]\nid = \"account-{i:05}\"\nweight = {weight}\nburst = 200\n")
    };
    let accounts = (0..ACCOUNTS).map(account).collect::<String>();
    format!("version = \"v{version}\"\n{accounts}")
}

fn stored(table: &ChunkTable) -> usize {
    table.texts().map(str::len).sum()
}

/// Guards against storing whole copies: 64 versions of 37,000 accounts differ in a few lines only.
#[test]
fn contents_share_their_chunks() {
    let mut table = ChunkTable::default();
    for version in 0..64 {
        let text = content(version);
        let chunks = table.insert(&text);
        assert_eq!(table.join(&chunks).as_deref(), Some(&*text), "content {version}");
    }
    let (stored, one) = (stored(&table), content(0).len());
    assert!(stored < 4 * one, "64 contents of {one} bytes take {stored} bytes");
}

/// Guards against chunks that stay after their last content was removed, and against the removal of a chunk
/// that another content still refers to.
#[test]
fn chunks_are_removed_with_their_last_content() {
    let mut table = ChunkTable::default();
    let contents = (0..8).map(content).collect::<Vec<_>>();
    let chunks = contents.iter().map(|text| table.insert(text)).collect::<Vec<_>>();
    chunks[1..].iter().for_each(|chunks| table.remove(chunks));
    assert_eq!(table.join(&chunks[0]).as_deref(), Some(&*contents[0]));
    assert_eq!(stored(&table), contents[0].len());
    table.remove(&chunks[0]);
    assert_eq!(stored(&table), 0);
}
