//! One flat folder of files: the only way to the disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Files in one folder. Only synced content and synced names last.
pub trait Directory: Send {
    /// Names of all files, in order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end of a file, which is made when it is not there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's content last.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, replacing a file that has it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes new names, renames and removals last.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder on a real disk.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    /// The file last appended to, kept open.
    open: Option<(String, File)>,
}

impl DiskDirectory {
    /// Opens the folder, making it when it is not there, and checks that it
    /// can be written.
    ///
    /// # Errors
    /// When the folder can't be made or written.
    pub fn open(path: &Path) -> io::Result<Self> {
        make_folder(path)?;
        let probe = path.join(".write-probe");
        File::create(&probe)?.sync_all()?;
        fs::remove_file(&probe)?;
        Ok(DiskDirectory {
            path: path.to_owned(),
            open: None,
        })
    }

    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
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

/// Makes a folder, and those above it, so that its name outlives a loss of
/// power: what is synced inside is gone with a name that is not.
fn make_folder(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let above = match path.parent() {
        Some(above) if !above.as_os_str().is_empty() => above,
        _ => Path::new("."),
    };
    make_folder(above)?;
    match fs::create_dir(path) {
        // Another process was faster.
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists && path.is_dir() => {}
        made => made?,
    }
    File::open(above)?.sync_all()
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
        self.handle(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.handle(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.handle(name)?.sync_data()
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
