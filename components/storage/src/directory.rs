//! One flat folder of files, through which all disk access goes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Files in one folder. Only synced content and synced names are durable.
pub trait Directory: Send {
    /// Names of all files, in order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The full content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, which is created when it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

impl<D: Directory + ?Sized> Directory for &mut D {
    fn list(&self) -> io::Result<Vec<String>> {
        (**self).list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        (**self).read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (**self).append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        (**self).truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        (**self).sync_names()
    }
}

/// A folder on a real disk.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    /// The file last appended to, kept open.
    open: Option<(String, File)>,
}

impl DiskDirectory {
    /// Opens the folder, creating it when it does not exist, and checks that it is
    /// writable.
    ///
    /// # Errors
    /// When the folder can't be created or written.
    pub fn open(path: &Path) -> io::Result<Self> {
        create_folder(path)?;
        let probe = path.join(".write-probe");
        File::create(&probe)?.sync_all()?;
        fs::remove_file(&probe)?;
        Ok(DiskDirectory {
            path: path.to_owned(),
            open: None,
        })
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

/// Creates a folder and its parents, and syncs each parent. Without that a power loss
/// could remove the name of the folder, and with it everything synced inside.
fn create_folder(path: &Path) -> io::Result<()> {
    let parent_path = match path.parent() {
        Some(parent_path) if !parent_path.as_os_str().is_empty() => parent_path,
        Some(_) => Path::new("."),
        None => return Ok(()),
    };
    if path.is_dir() {
        return sync_existing_name(parent_path);
    }
    create_folder(parent_path)?;
    match fs::create_dir(path) {
        // Another process created it meanwhile.
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists && path.is_dir() => {}
        created => created?,
    }
    File::open(parent_path)?.sync_all()
}

/// Syncs the name of a folder that was found: a process that was killed may have created
/// it and not synced its parent. One that may not open the parent has not created it.
fn sync_existing_name(parent_path: &Path) -> io::Result<()> {
    match File::open(parent_path) {
        Ok(parent) => parent.sync_all(),
        Err(error) if error.kind() == io::ErrorKind::PermissionDenied => Ok(()),
        Err(error) => Err(error),
    }
}

impl Directory for DiskDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_for_append(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
