package aubcli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	namedTest   = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")
	definedTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9]+)\(`)
)

// TestDocsNameExistingTests checks that every test named on a page of docs exists.
func TestDocsNameExistingTests(t *testing.T) {
	defined := map[string]bool{}
	for _, text := range readAll(t, "../..", "_test.go") {
		for _, match := range definedTest.FindAllStringSubmatch(text, -1) {
			defined[match[1]] = true
		}
	}
	for file, text := range readAll(t, "../../docs", ".md") {
		for _, match := range namedTest.FindAllStringSubmatch(text, -1) {
			qt.Check(t, defined[match[1]], qt.IsTrue, qt.Commentf("%s names %s", file, match[1]))
		}
	}
}

// readAll returns the content of all files below a folder whose names end in the suffix,
// by path.
func readAll(t *testing.T, dir, suffix string) map[string]string {
	texts := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		data, err := os.ReadFile(path)
		texts[path] = string(data)
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return texts
}
