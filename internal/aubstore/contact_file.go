package aubstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

const (
	contactFileName = "leader_contact"
	// contactHeader names the format. The clock, the end of the record in nanoseconds of it and a
	// CRC-32 of both follow.
	contactHeader = "aubcont1"
	clockIDBytes  = 16
	contactBytes  = len(contactHeader) + clockIDBytes + 8 + crc32.Size
)

// ContactFile keeps a time over the end of the process. It uses the monotonic clock of the
// operating system, which no step of the wall clock changes. After a restart of the machine, or
// on another one, the record is not known. It is not synced: the end of the process loses nothing.
type ContactFile struct {
	file *os.File
	// clockID identifies the boot and the time namespace that the clock belongs to; nil if it is
	// not known, so that no record is written or read.
	clockID []byte
}

// OpenContactFile opens the record in the data folder.
func OpenContactFile(dataDir string) (*ContactFile, error) {
	file, err := os.OpenFile(filepath.Join(dataDir, contactFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	return &ContactFile{file: file, clockID: readClockID()}, nil
}

// RemoveContactFile removes the record in the data folder if there is one.
func RemoveContactFile(dataDir string) error {
	if err := os.Remove(filepath.Join(dataDir, contactFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// readClockID returns the identity of the monotonic clock, nil if the system does not tell it.
func readClockID() []byte {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return nil
	}
	namespace, err := os.Readlink("/proc/self/ns/time")
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(append(boot, namespace...))
	return sum[:clockIDBytes]
}

// Age returns the time since the end of the record, negative if it lies in the future. It returns
// false if there is no record, or if it is damaged or of another clock.
func (c *ContactFile) Age() (time.Duration, bool) {
	data := make([]byte, contactBytes)
	if n, _ := c.file.ReadAt(data, 0); n != contactBytes || c.clockID == nil {
		return 0, false
	}
	body, sum := data[len(contactHeader):contactBytes-crc32.Size], data[contactBytes-crc32.Size:]
	if string(data[:len(contactHeader)]) != contactHeader || crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(sum) ||
		!bytes.Equal(body[:clockIDBytes], c.clockID) {
		return 0, false
	}
	now, err := monotonicTime()
	if err != nil {
		return 0, false
	}
	return now - time.Duration(binary.BigEndian.Uint64(body[clockIDBytes:])), true
}

// Extend replaces the record by one that ends so long from now. The file is overwritten in place,
// which needs no space on the disk.
func (c *ContactFile) Extend(d time.Duration) error {
	now, err := monotonicTime()
	if c.clockID == nil || err != nil {
		return c.Clear()
	}
	data := append(make([]byte, 0, contactBytes), contactHeader...)
	data = append(data, c.clockID...)
	data = binary.BigEndian.AppendUint64(data, uint64(now+d))
	data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data[len(contactHeader):]))
	_, err = c.file.WriteAt(data, 0)
	return err
}

// Clear removes the record.
func (c *ContactFile) Clear() error { return c.file.Truncate(0) }

// Close closes the file.
func (c *ContactFile) Close() error { return c.file.Close() }

// monotonicTime returns the time of the system's monotonic clock, which all processes of one time
// namespace share.
func monotonicTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
