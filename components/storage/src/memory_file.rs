//! One file of a [`crate::MemoryDirectory`], with the changes since its last sync.

/// What a power loss leaves of one unsynced change of a file or a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeFate {
    /// The whole change.
    Kept,
    /// Nothing of it.
    Lost,
    /// The first part of a write, in 256ths of its length. A change of a length or of a
    /// name is lost.
    Torn(u8),
}

#[derive(Debug, Clone)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate { length: usize },
}

#[derive(Debug, Clone, Default)]
pub(crate) struct MemoryFile {
    content: Vec<u8>,
    synced: Vec<u8>,
    /// Changes since the last sync, in order.
    unsynced: Vec<Change>,
}

impl MemoryFile {
    fn with_synced(content: Vec<u8>) -> Self {
        MemoryFile {
            synced: content.clone(),
            content,
            unsynced: Vec::new(),
        }
    }

    pub(crate) fn content(&self) -> &[u8] {
        &self.content
    }

    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.unsynced.push(Change::Write {
            offset: self.content.len(),
            bytes: bytes.to_vec(),
        });
        self.content.extend_from_slice(bytes);
    }

    pub(crate) fn truncate(&mut self, length: usize) {
        self.unsynced.push(Change::Truncate { length });
        self.content.truncate(length);
    }

    pub(crate) fn sync(&mut self) {
        let only_appended = self
            .unsynced
            .iter()
            .all(|change| matches!(change, Change::Write { .. }));
        if only_appended {
            self.synced
                .extend_from_slice(&self.content[self.synced.len()..]);
        } else {
            self.synced.clone_from(&self.content);
        }
        self.unsynced.clear();
    }

    /// Flips one byte, synced or not.
    pub(crate) fn damage(&mut self, offset: usize) {
        for bytes in [&mut self.content, &mut self.synced] {
            if let Some(byte) = bytes.get_mut(offset) {
                *byte ^= 0xff;
            }
        }
    }

    /// The file after a power loss that keeps nothing unsynced.
    pub(crate) fn without_unsynced(&self) -> Self {
        MemoryFile::with_synced(self.synced.clone())
    }

    /// The file after a power loss that keeps the first `bytes` unsynced bytes.
    pub(crate) fn with_unsynced_prefix(&self, bytes: usize) -> Self {
        let mut left = bytes;
        let mut content = self.synced.clone();
        for change in &self.unsynced {
            match change {
                Change::Write { bytes, .. } => {
                    let kept = bytes.len().min(left);
                    left -= kept;
                    content.extend_from_slice(&bytes[..kept]);
                }
                Change::Truncate { length } => content.truncate(*length),
            }
        }
        MemoryFile::with_synced(content)
    }

    /// The file after a power loss that keeps everything, but changes the byte at `offset`
    /// from the first unsynced one.
    pub(crate) fn with_unsynced_flipped(&self, offset: usize) -> Self {
        let mut content = self.content.clone();
        if let Some(byte) = content.get_mut(self.synced.len() + offset) {
            *byte ^= 0x5a;
        }
        MemoryFile::with_synced(content)
    }

    /// The file after a power loss that decides on each unsynced change by itself.
    pub(crate) fn with_fates(&self, next_fate: &mut dyn FnMut() -> ChangeFate) -> Self {
        let mut content = self.synced.clone();
        for change in &self.unsynced {
            let fate = next_fate();
            match change {
                Change::Write { offset, bytes } => {
                    write_at(&mut content, *offset, kept_part(bytes, fate));
                }
                Change::Truncate { length } if fate == ChangeFate::Kept => {
                    content.truncate(*length);
                }
                Change::Truncate { .. } => {}
            }
        }
        MemoryFile::with_synced(content)
    }
}

fn kept_part(bytes: &[u8], fate: ChangeFate) -> &[u8] {
    match fate {
        ChangeFate::Kept => bytes,
        ChangeFate::Lost => &[],
        ChangeFate::Torn(part) => &bytes[..bytes.len() * usize::from(part) / 256],
    }
}

/// Writes at an offset. A gap that a lost write left before it reads as zeros.
fn write_at(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}
