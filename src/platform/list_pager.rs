//! Puts the pages of a listing together.

use super::store_object::ObjectList;
use super::store_wire::ListPage;
use std::collections::HashSet;

/// A listing under way.
#[derive(Debug)]
pub(super) struct ListPager {
    list: ObjectList,
    /// The next page begins behind this name.
    after: String,
    /// All names behind which a page began.
    passed: HashSet<String>,
    is_first: bool,
}

impl ListPager {
    /// A listing of which nothing was read yet.
    pub fn new() -> Self {
        let list = ObjectList {
            items: Vec::new(),
            unreadable: Vec::new(),
            is_complete: false,
            revision: u64::MAX,
        };
        Self { list, after: String::new(), passed: HashSet::new(), is_first: true }
    }

    /// Whether no page was read yet.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// The name behind which the next page begins, as it stands in a query.
    pub fn after(&self) -> String {
        query_text(&self.after)
    }

    /// Whether a page holds what was read before: it may be the copy of an earlier one.
    pub fn has_read(&self, page: &ListPage) -> bool {
        let name = page.items.first().map(|object| &object.name);
        name.is_some_and(|name| self.list.items.iter().any(|object| object.name == *name))
    }

    /// Takes a page over; true if a further one is to be read.
    ///
    /// The next page begins behind the last name that can be read: items without one that stand behind
    /// it come again. A page without any name, or whose last name has led to a page before, would come
    /// again for ever, and ends the listing.
    pub fn take(&mut self, page: ListPage) -> bool {
        self.is_first = false;
        self.list.revision = self.list.revision.min(page.revision);
        self.list.items.extend(page.items);
        self.list.unreadable.extend(page.unreadable);
        self.list.is_complete = !page.more;
        match page.last_name {
            Some(name) if page.more && self.passed.insert(name.clone()) => {
                self.after = name;
                true
            }
            _ => false,
        }
    }

    /// What the pages held.
    pub fn into_list(self) -> ObjectList {
        self.list
    }
}

/// A text in which all bytes that may have a meaning in a query are percent-encoded.
fn query_text(text: &str) -> String {
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
