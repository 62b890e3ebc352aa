package aubstore

import (
	"errors"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const lockFile = "lock"

// folderLock is an exclusive lock on a data folder, held through an open lock file.
type folderLock struct {
	file *os.File
}

// lockFolder creates the data folder if it does not exist and locks it. It returns
// an InUseError while another process holds the lock.
func lockFolder(dir string) (*folderLock, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, &IOError{Op: "create folder", Err: err}
	}
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, &IOError{Op: "open lock", Err: err}
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return &folderLock{file: f}, nil
	}
	_ = f.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, &InUseError{Dir: dir}
	}
	return nil, &IOError{Op: "lock", Err: err}
}

// release unlocks the folder; the kernel does the same when the process ends.
func (l *folderLock) release() { _ = l.file.Close() }
