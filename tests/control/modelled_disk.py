"""A folder on a disk whose unsynced changes a loss of power may undo.

Files are written in a real folder. The calls that change or sync them are
recorded, so that the folder can be rewritten as a loss of power leaves it.
"""

import builtins
import errno
import io
import os
import pathlib

CREATE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT

REAL = {
    'open_file': builtins.open,
    'open': os.open,
    'close': os.close,
    'fsync': os.fsync,
    'fdatasync': os.fdatasync,
    'replace': os.replace,
    'unlink': os.unlink,
}


class Killed(BaseException):
    """The process that used the disk was killed."""


class Change:
    """A write to a file, or a change of its length.

    :param data: written bytes; None if the length was set to the offset.
    :ivar is_durable: whether a sync covers it.
    :ivar is_doubtful: whether a sync failed while it was not durable; later
        syncs don't cover it.
    """

    def __init__(self, offset, data=None):
        self.offset = offset
        self.data = data
        self.is_durable = False
        self.is_doubtful = False

    def apply(self, content):
        """Change the content of a file."""
        if self.data is None:
            content.extend(bytes(max(0, self.offset - len(content))))
            del content[self.offset :]
            return
        content.extend(bytes(max(0, self.offset - len(content))))
        content[self.offset : self.offset + len(self.data)] = self.data


class Inode:
    """The changes of one file, in order."""

    def __init__(self, changes=()):
        self.changes = list(changes)

    def read(self):
        """Return the content with all changes."""
        content = bytearray()
        for change in self.changes:
            change.apply(content)
        return bytes(content)

    def sync(self):
        """Make the changes durable, except doubtful ones."""
        for change in self.changes:
            change.is_durable |= not change.is_doubtful

    def fail_sync(self):
        """Leave the changes that aren't durable in doubt for good."""
        for change in self.changes:
            change.is_doubtful |= not change.is_durable

    def read_after_loss(self, rng, kept_share):
        """Return what a loss of power leaves."""
        content = bytearray()
        for change in self.changes:
            if not change.is_durable:
                if rng.random() >= kept_share:
                    continue
                if change.data and rng.random() < 0.3:
                    change = _tear(rng, change)
            change.apply(content)
        return bytes(content)


def _tear(rng, change):
    start = rng.choice([0, rng.randrange(len(change.data))])
    end = rng.randrange(start, len(change.data))
    return Change(change.offset + start, change.data[start:end])


class RecordedFile(io.FileIO):
    """A file in the folder; its writes are recorded."""

    def __init__(self, disk, path, mode):
        self._disk = disk
        self._process = disk.process
        is_new = not path.exists()
        if is_new or 'w' in mode:
            disk.step()
            disk.refuse_if_full()
        super().__init__(path, mode)
        self.inode = disk.names.get(path.name)
        if is_new:
            self.inode = Inode()
            disk.names[path.name] = self.inode
            disk.renames.append(('link', path.name, self.inode))
        elif 'w' in mode:
            self.inode.changes.append(Change(0))
        disk.descriptors[self.fileno()] = self.inode

    def write(self, data):
        """Write as the process, unless it was killed."""
        data = bytes(data)
        if self._process is not self._disk.process:
            return len(data)
        self._disk.refuse_if_full()
        offset = os.fstat(self.fileno()).st_size
        if 'a' not in self.mode:
            offset = self.tell()
        kept = self._disk.step(len(data))
        if kept:
            self.inode.changes.append(Change(offset, data[:kept]))
            super().write(data[:kept])
        self._disk.check_alive()
        return len(data)

    def truncate(self, size=None):
        """Set the length as the process, unless it was killed."""
        if self._process is not self._disk.process:
            return size
        self._disk.refuse_if_full()
        self._disk.step()
        self.inode.changes.append(Change(size))
        return super().truncate(size)

    def close(self):
        """Forget the descriptor."""
        if not self.closed:
            self._disk.descriptors.pop(self.fileno(), None)
        super().close()


class ModelledDisk:
    """Records what processes do to the files of a folder.

    :param folder: the folder.
    :param rng: decides what a loss of power leaves.
    :param needs_folder_sync: whether the name of a new file needs a sync of
        the folder, rather than of the file alone.
    :ivar is_full: whether writes are refused.
    :ivar failing_syncs: how many of the next syncs fail.
    :ivar steps_left: steps after which the process is killed; None if it
        isn't.
    """

    def __init__(self, folder, rng, needs_folder_sync=False):
        self.folder = pathlib.Path(folder)
        self.rng = rng
        self.needs_folder_sync = needs_folder_sync
        self.is_full = False
        self.failing_syncs = 0
        self.steps_left = None
        self.process = object()
        self.is_killed = False
        self.names = {}
        self.synced_names = {}
        self.renames = []
        self.descriptors = {}
        self._opened = set()

    def install(self, monkeypatch):
        """Record the calls of this process from now on."""
        monkeypatch.setattr(builtins, 'open', self._open)
        monkeypatch.setattr(io, 'open', self._open)
        for module, name, replacement in (
            (os, 'open', self._open_descriptor),
            (os, 'close', self._close_descriptor),
            (os, 'fsync', lambda descriptor: self._sync('fsync', descriptor)),
            (
                os,
                'fdatasync',
                lambda descriptor: self._sync('fdatasync', descriptor),
            ),
            (os, 'replace', self._replace),
            (os, 'unlink', self._unlink),
        ):
            monkeypatch.setattr(module, name, replacement)

    def _contains(self, path):
        return (
            isinstance(path, str | os.PathLike)
            and pathlib.Path(path).parent == self.folder
        )

    # Processes

    def step(self, size=0):
        """Count a step, and kill the process if it was the last one.

        :param size: bytes that the step writes.
        :returns: how many of them are written.
        """
        self.check_alive()
        if self.steps_left is None:
            return size
        self.steps_left -= 1
        if self.steps_left > 0:
            return size
        self.is_killed = True
        if not size:
            raise Killed
        return self.rng.choice([0, self.rng.randrange(size), size])

    def check_alive(self):
        """Raise if the process was killed."""
        if self.is_killed:
            raise Killed

    def kill(self):
        """End the process; the next call is that of another one."""
        self.process = object()
        self.is_killed = False
        self.steps_left = None
        self.is_full = False
        self.failing_syncs = 0
        for descriptor in list(self._opened):
            self._close_descriptor(descriptor)

    def refuse_if_full(self):
        """Raise if the disk is full."""
        if self.is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    # Calls

    def _open(self, path, mode='r', buffering=-1, *arguments, **options):
        if not self._contains(path) or 'b' not in mode or mode == 'rb':
            return REAL['open_file'](
                path, mode, buffering, *arguments, **options
            )
        file = RecordedFile(self, pathlib.Path(path), mode)
        if not buffering:
            return file
        if '+' in mode:
            return io.BufferedRandom(file)
        return io.BufferedWriter(file)

    def _open_descriptor(self, path, flags, *arguments, **options):
        opened = REAL['open'](path, flags, *arguments, **options)
        if path == self.folder:
            self.descriptors[opened] = self
            self._opened.add(opened)
        elif self._contains(path):
            assert not flags & CREATE_FLAGS, 'not modelled'
            self.descriptors[opened] = self.names[pathlib.Path(path).name]
            self._opened.add(opened)
        return opened

    def _close_descriptor(self, descriptor):
        if descriptor in self._opened:
            self._opened.discard(descriptor)
            self.descriptors.pop(descriptor, None)
        REAL['close'](descriptor)

    def _sync(self, name, descriptor):
        synced = self.descriptors.get(descriptor)
        if synced is None:
            REAL[name](descriptor)
            return
        self.step()
        if self.failing_syncs:
            self.failing_syncs -= 1
            if synced is not self:
                synced.fail_sync()
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if synced is self:
            self.synced_names = dict(self.names)
            self.renames.clear()
            return
        synced.sync()
        if self.needs_folder_sync:
            return
        for change in list(self.renames):
            kind, new_name, inode = change[:3]
            if kind == 'link' and inode is synced:
                self.synced_names[new_name] = inode
                self.renames.remove(change)

    def _replace(self, source, target, **options):
        if self._contains(source):
            self.step()
            old, new = (pathlib.Path(path).name for path in (source, target))
            inode = self.names.pop(old)
            self.names[new] = inode
            self.renames.append(('rename', new, inode, old))
        REAL['replace'](source, target, **options)

    def _unlink(self, path, **options):
        if self._contains(path) and pathlib.Path(path).name in self.names:
            self.step()
            name = pathlib.Path(path).name
            self.renames.append(('unlink', name, self.names.pop(name)))
        REAL['unlink'](path, **options)

    # Losses of power

    def lose_power(self, kept_share=None):
        """Rewrite the folder as a loss of power leaves it.

        :param kept_share: how many of the changes that aren't durable are
            kept; drawn if None.
        """
        self.kill()
        self.check_complete()
        if kept_share is None:
            kept_share = self.rng.choice([0.0, 0.3, 0.6, 0.9])
        names = dict(self.synced_names)
        for kind, name, inode, *source in self.renames:
            if self.rng.random() >= kept_share:
                continue
            if kind != 'unlink':
                names[name] = inode
            elif names.get(name) is inode:
                del names[name]
            for old in source:
                if names.get(old) is inode:
                    del names[old]
        self.renames = []
        for name in self.names:
            REAL['unlink'](self.folder / name)
        self.names = {}
        for name, inode in names.items():
            content = inode.read_after_loss(self.rng, kept_share)
            with REAL['open_file'](self.folder / name, 'wb') as file:
                file.write(content)
            change = Change(0, content)
            change.is_durable = True
            self.names[name] = Inode([change])
        self.synced_names = dict(self.names)

    def check_complete(self):
        """Verify that no change of the folder was missed."""
        if not self.folder.exists():
            assert not self.names
            return
        present = {path.name for path in self.folder.iterdir()}
        assert present == set(self.names), 'a change was not recorded'
        for name, inode in self.names.items():
            with REAL['open_file'](self.folder / name, 'rb') as file:
                assert file.read() == inode.read(), f'{name} was changed'
