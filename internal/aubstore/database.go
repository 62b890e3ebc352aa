package aubstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

const (
	databaseFile = "replica.db"
	rewriteFile  = "replica.db.tmp"
	damagedFile  = "replica.db.damaged"
	fileMode     = 0o600
	folderMode   = 0o700
	lockTimeout  = 5 * time.Second
	// rewriteBatchBytes is the maximum size of one transaction while the file is rewritten.
	rewriteBatchBytes = 1 << 20

	// Layout of bbolt's two meta pages, in bytes: a page header, the fields and a
	// checksum over the fields.
	pageHeaderBytes     = 16
	metaBytes           = 64
	metaChecksumOffset  = metaBytes - 8
	metaPageCountOffset = 40
	metaPageSizeOffset  = 8
)

// openDatabase opens the database in the data folder. An existing file is first
// rewritten completely and synced: after a failed sync the kernel may still
// return cached pages that never reached the disk, and opening the file would
// treat them as durable. Sync syncs the data folder; if it fails, no file stays open.
func openDatabase(opts Opts, sync func(dir string) error) (*bbolt.DB, error) {
	path := filepath.Join(opts.DataDir, databaseFile)
	if err := verifyAndRewrite(path, filepath.Join(opts.DataDir, rewriteFile)); err != nil {
		return nil, err
	}
	var db *bbolt.DB
	err := recoverPageFault(func() error {
		var err error
		db, err = bbolt.Open(path, fileMode, &bbolt.Options{
			Timeout:      lockTimeout,
			FreelistType: bbolt.FreelistMapType,
			MaxSize:      opts.MaxBytes,
		})
		return err
	})
	if err != nil {
		return nil, &IOError{Op: "open", Err: err}
	}
	if err := sync(opts.DataDir); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

// verifyAndRewrite removes the temporary file of an interrupted rewrite, then
// verifies and rewrites an existing database file.
func verifyAndRewrite(path, tmp string) error {
	if err := os.Remove(tmp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &IOError{Op: "remove", Err: err}
	}
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &IOError{Op: "stat", Err: err}
	}
	if info.Size() == 0 {
		return nil
	}
	if err := verifyFile(path); err != nil {
		return err
	}
	return rewrite(path, tmp)
}

// rewrite copies the database at path to a new file at tmp and renames that file to path.
func rewrite(path, tmp string) error {
	var src *bbolt.DB
	err := recoverPageFault(func() error {
		var err error
		src, err = bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
		return err
	})
	if err != nil {
		return classifyOpenError(err)
	}
	defer src.Close()
	dst, err := bbolt.Open(tmp, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return &IOError{Op: "rewrite", Err: err}
	}
	if err := recoverPageFault(func() error { return bbolt.Compact(dst, src, rewriteBatchBytes) }); err != nil {
		_ = dst.Close()
		return classifyOpenError(err)
	}
	if err := dst.Close(); err != nil {
		return &IOError{Op: "rewrite", Err: err}
	}
	if err := os.Rename(tmp, path); err != nil {
		return &IOError{Op: "rewrite", Err: err}
	}
	return nil
}

// classifyOpenError returns a CorruptError for a damaged file and an IOError for
// any other failure.
func classifyOpenError(err error) error {
	var corruptErr *CorruptError
	if errors.As(err, &corruptErr) {
		return corruptErr
	}
	for _, invalid := range []error{
		berrors.ErrInvalid, berrors.ErrVersionMismatch, berrors.ErrChecksum, berrors.ErrInvalidMapping,
		berrors.ErrBucketExists, berrors.ErrBucketNameRequired, berrors.ErrKeyRequired, berrors.ErrKeyTooLarge, berrors.ErrIncompatibleValue,
	} {
		if errors.Is(err, invalid) {
			return &CorruptError{Detail: "database is not readable", Err: err}
		}
	}
	return &IOError{Op: "open", Err: err}
}

// verifyFile returns a CorruptError for a damaged file. Both meta pages must be
// valid: if the newer one is damaged, bbolt falls back to the older one and loses
// acknowledged writes.
func verifyFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &IOError{Op: "read", Err: err}
	}
	first, err := readMeta(data, 0)
	if err != nil {
		return err
	}
	pageSize := uint64(binary.NativeEndian.Uint32(first[metaPageSizeOffset:]))
	second, err := readMeta(data, pageSize)
	if err != nil {
		return err
	}
	newest := first
	if binary.NativeEndian.Uint64(second[metaTxIDOffset:]) > binary.NativeEndian.Uint64(first[metaTxIDOffset:]) {
		newest = second
	}
	if binary.NativeEndian.Uint64(newest[metaPageCountOffset:]) > uint64(len(data))/pageSize {
		return &CorruptError{Detail: "database file is truncated"}
	}
	return verifyPages(data, newest)
}

// readMeta returns the fields of the meta page at the offset, in bytes, after
// checking their checksum.
func readMeta(data []byte, offset uint64) ([]byte, error) {
	end := offset + pageHeaderBytes + metaBytes
	if end > uint64(len(data)) {
		return nil, &CorruptError{Detail: "database file is truncated"}
	}
	meta := data[offset+pageHeaderBytes : end]
	h := fnv.New64a()
	_, _ = h.Write(meta[:metaChecksumOffset])
	if h.Sum64() != binary.NativeEndian.Uint64(meta[metaChecksumOffset:]) {
		return nil, &CorruptError{Detail: fmt.Sprintf("meta page at offset %d has a wrong checksum", offset)}
	}
	return meta, nil
}

// syncFolder syncs the directory itself, so that a created or renamed file survives a crash.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return &IOError{Op: "open folder", Err: err}
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return &IOError{Op: "sync folder", Err: err}
	}
	return nil
}

// moveDamagedFile renames the damaged file to keep it for inspection. It replaces
// a damaged file that was kept before.
func moveDamagedFile(dir string) error {
	if err := os.Rename(filepath.Join(dir, databaseFile), filepath.Join(dir, damagedFile)); err != nil {
		return &IOError{Op: "rename damaged file", Err: err}
	}
	return syncFolder(dir)
}
