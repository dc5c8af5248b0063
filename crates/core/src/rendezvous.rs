//! Rendezvous hashing (Thaler and Ravishankar, 1998), which distributes keys over a changing set of
//! members.

use jacinthlever_types::Fingerprint;

/// Returns the member with the highest hash for a key; `None` if there are no members.
pub fn pick<'a, T: AsRef<str> + 'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    members
        .into_iter()
        .max_by_key(|member| score(key, (*member).as_ref()))
}

/// Returns the members sorted by their hashes for a key, highest first.
pub fn order<'a, T: AsRef<str> + 'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut all: Vec<&T> = members.into_iter().collect();
    all.sort_by_key(|member| std::cmp::Reverse(score(key, (*member).as_ref())));
    all
}

/// Returns the hash of a key combined with a member.
pub fn score(key: &str, member: &str) -> u64 {
    Fingerprint::of(&[key.as_bytes(), member.as_bytes()]).0
}
