package aubstore

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

const (
	probeFile = "space.tmp"
	// probeMarginBytes is the space that a probe needs beyond the size of the database.
	probeMarginBytes = 64 << 10
	probeChunkBytes  = 64 << 10
)

// ProbeSpace writes, syncs and removes a file of the size that opening the store of the data
// folder needs, and a little more. The error satisfies errors.Is with syscall.ENOSPC if the
// disk has no space for it.
func ProbeSpace(dataDir string) error {
	size := int64(probeMarginBytes)
	if info, err := os.Stat(filepath.Join(dataDir, databaseFile)); err == nil {
		size += info.Size()
	}
	// A rewrite that was interrupted by the full disk takes space that opening frees.
	if err := os.Remove(filepath.Join(dataDir, rewriteFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return &IOError{Op: "probe", Err: err}
	}
	path := filepath.Join(dataDir, probeFile)
	err := writeZeros(path, size)
	if removeErr := os.Remove(path); removeErr != nil && !errors.Is(removeErr, os.ErrNotExist) {
		err = errors.Join(err, removeErr)
	}
	if err != nil {
		return &IOError{Op: "probe", Err: err}
	}
	return nil
}

// IsDiskFull reports whether the error means that the disk has no space.
func IsDiskFull(err error) bool { return errors.Is(err, syscall.ENOSPC) }

// writeZeros creates a file of the size and syncs it.
func writeZeros(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	chunk := make([]byte, probeChunkBytes)
	for written := int64(0); written < size && err == nil; written += int64(len(chunk)) {
		_, err = file.Write(chunk)
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
