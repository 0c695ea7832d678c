//! Assembles a listing from its pages.

use super::store_object::ObjectList;
use super::store_wire::ListPage;
use std::collections::HashSet;

/// A listing in progress.
#[derive(Debug)]
pub(super) struct ListPager {
    list: ObjectList,
    /// The next page begins after this name.
    after: String,
    /// All names that were used as the start of a page.
    start_names: HashSet<String>,
    is_first: bool,
    /// Length of all pages.
    bytes: usize,
}

impl ListPager {
    /// Starts a listing, before its first page is read.
    pub fn new() -> Self {
        let list = ObjectList {
            items: Vec::new(),
            unreadable: Vec::new(),
            is_complete: false,
            revision: u64::MAX,
            newest_revision: 0,
        };
        Self { list, after: String::new(), start_names: HashSet::new(), is_first: true, bytes: 0 }
    }

    /// Whether the next page is the first one.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Length of the pages that were added.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the name after which the next page begins, encoded for a query.
    pub fn after(&self) -> String {
        percent_encode(&self.after)
    }

    /// Whether the first object of a page was already listed: the page may be a copy of an earlier one.
    pub fn repeats(&self, page: &ListPage) -> bool {
        let name = page.items.first().map(|object| &object.name);
        name.is_some_and(|name| self.list.items.iter().any(|object| object.name == *name))
    }

    /// Adds a page; returns true if another page must be read.
    ///
    /// The next page begins after the last readable name, so items without a readable name that follow it are listed
    /// again. A page without any readable name, or whose last name was already used as the start of a page, ends the
    /// listing, because it would be returned over and over.
    pub fn add(&mut self, page: ListPage) -> bool {
        self.is_first = false;
        self.bytes += page.bytes;
        self.list.revision = self.list.revision.min(page.revision);
        self.list.newest_revision = self.list.newest_revision.max(page.revision);
        self.list.items.extend(page.items);
        self.list.unreadable.extend(page.unreadable);
        self.list.is_complete = !page.more;
        match page.last_name {
            Some(name) if page.more && self.start_names.insert(name.clone()) => {
                self.after = name;
                true
            }
            _ => false,
        }
    }

    /// Returns the assembled listing.
    pub fn into_list(self) -> ObjectList {
        self.list
    }
}

/// Percent-encodes all bytes that may have a special meaning in a query.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
