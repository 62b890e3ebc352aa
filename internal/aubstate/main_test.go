package aubstate_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		// A fixed seed makes every run draw the same tickets; -rapid.seed overrides it.
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
