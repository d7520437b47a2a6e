//! The operations of a file system that a data directory is written with. The tests replace the
//! local file system by one that loses power.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// A file system. All durability that the writer relies on is requested through it.
pub trait FileSystem: Send + 'static {
    /// A file that is open for writing.
    type File: OpenFile;

    /// Creates a file, or empties an existing one.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file; an existing file of the new name is replaced.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Returns once the renames and removals in a folder survive a loss of power.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// The names of the files in a folder.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;
}

/// A file that is open for writing.
pub trait OpenFile: Send {
    /// Writes at a position, after cutting off everything behind it.
    fn write_at(&mut self, position: u64, bytes: &[u8]) -> io::Result<()>;

    /// Returns once the file and its contents survive a loss of power.
    fn sync(&mut self) -> io::Result<()>;

    /// Returns once the contents survive a loss of power, of a file that was synced before.
    fn sync_contents(&mut self) -> io::Result<()>;
}

/// The file system of this machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalFileSystem;

impl FileSystem for LocalFileSystem {
    type File = File;

    fn create(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        fs::read_dir(folder)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }
}

impl OpenFile for File {
    fn write_at(&mut self, position: u64, bytes: &[u8]) -> io::Result<()> {
        self.set_len(position)?;
        self.seek(SeekFrom::Start(position))?;
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }

    fn sync_contents(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
