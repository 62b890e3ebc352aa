package aubprocess

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// incarnationFile is the name of the file with the last incarnation, in the data folder.
const incarnationFile = "incarnation"

// nextIncarnation returns a number above that of every earlier start: the time in
// milliseconds, and with a data folder at least one more than the last number, in case
// the machine's clock was set back.
func nextIncarnation(dataDir string, now time.Time) (uint64, error) {
	next := uint64(now.UnixMilli())
	if dataDir == "" {
		return next, nil
	}
	if err := os.MkdirAll(dataDir, 0o700); err != nil {
		return 0, oops.In("process").Wrapf(err, "make data folder")
	}
	file := filepath.Join(dataDir, incarnationFile)
	last, err := readIncarnation(file)
	if err != nil {
		return 0, err
	}
	next = max(next, last+1)
	return next, writeFileAtomically(file, strconv.FormatUint(next, 10))
}

func readIncarnation(file string) (uint64, error) {
	data, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, oops.In("process").Wrapf(err, "read incarnation")
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	return n, oops.In("process").Wrapf(err, "parse %s", file)
}

// writeFileAtomically replaces the content of a file. After a crash the file has either
// the old or the new content.
func writeFileAtomically(file, text string) error {
	temporary := file + ".new"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return oops.In("process").Wrapf(err, "create %s", temporary)
	}
	defer f.Close()
	if _, err := f.WriteString(text); err != nil {
		return oops.In("process").Wrapf(err, "write %s", temporary)
	}
	if err := f.Sync(); err != nil {
		return oops.In("process").Wrapf(err, "sync %s", temporary)
	}
	if err := os.Rename(temporary, file); err != nil {
		return oops.In("process").Wrapf(err, "rename %s", temporary)
	}
	return syncDir(filepath.Dir(file))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return oops.In("process").Wrapf(err, "open %s", dir)
	}
	defer d.Close()
	return oops.In("process").Wrapf(d.Sync(), "sync %s", dir)
}
